package gladewing.nodes;

import gladewing.router.Span;
import gladewing.router.Time;
import java.util.ArrayList;
import java.util.List;

/** The connections to one data node, including those to earlier incarnations of it. */
final class ConnectionPool {
    private static final Span SILENT_REPLACEMENT_INTERVAL = Span.ofMillis(1000);
    private static final Span RECENT_BREAK_WINDOW = Span.ofMillis(2000);

    final String node;
    private Time silentReplacedAt;
    private Time lastBrokenAt;

    /** The run of the node that new connections go to; null once the node is off the list. */
    NodeIncarnation incarnation;

    /** Whether the node is draining: calls that are not yet written are not sent to it. */
    boolean isDraining;

    final List<NodeConnection> connections = new ArrayList<>();

    ConnectionPool(String node) {
        this.node = node;
    }

    /**
     * Whether calls may be sent to a run of the node: it is listed, is the last, and not draining.
     */
    boolean takesNew(NodeIncarnation run) {
        return !isDraining && run.equals(incarnation);
    }

    /** Whether a connection is coming up after its time. */
    boolean hasLateConnection() {
        return connections.stream().anyMatch(NodeConnection::isComingUpLate);
    }

    /** Records that a connection broke while answers were awaited on it. */
    void connectionBroke(Time now) {
        lastBrokenAt = now;
    }

    /**
     * Whether a connection broke recently while answers were awaited on it. In that case each call
     * should get a connection of its own: a break loses all that is in flight on the connection,
     * including work that the node has nearly finished, and repeating that work costs the node more
     * than one more connection does.
     */
    boolean brokeRecently(Time now) {
        return lastBrokenAt != null && RECENT_BREAK_WINDOW.longerThan(now.since(lastBrokenAt));
    }

    /**
     * Returns the best connection with room for a call, by {@link NodeConnection#isBetterThan}, or
     * null if a new one is to be opened. Where all connections with room are silent, null is
     * returned at most once per {@link #SILENT_REPLACEMENT_INTERVAL} and a silent one is used until
     * then: a node that is only slow would be overwhelmed by new connections, each of which costs
     * it work.
     */
    NodeConnection findConnection(List<InFlightTransmission> call, int maxParts, Time now) {
        NodeConnection best = null;
        for (NodeConnection c : connections) {
            if (c.incarnation.equals(incarnation)
                    && c.hasRoom(call, maxParts)
                    && (best == null || c.isBetterThan(best))) {
                best = c;
            }
        }
        if (best != null
                && best.isSilent()
                && (silentReplacedAt == null
                        || now.since(silentReplacedAt).longerThan(SILENT_REPLACEMENT_INTERVAL))) {
            silentReplacedAt = now;
            return null;
        }
        return best;
    }
}
