package gladewing.serve;

import gladewing.decisions.NodeTable;
import gladewing.discovery.NodeListUpdate;
import gladewing.nodes.NodeClient;
import gladewing.router.Time;
import gladewing.sessionsockets.SessionServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Passes lists of data nodes on to those who connect to them, and translates them for decisions.
 */
final class NodeListApplier {
    private final NodeClient nodeClient;

    /**
     * Unix time minus the time of the loop's clock, in microseconds. It is fixed at the start, so
     * that the start times of nodes do not change when the system clock is set.
     */
    private final long unixOffsetMicros;

    NodeListApplier(NodeClient nodeClient, long unixOffsetMicros) {
        this.nodeClient = nodeClient;
        this.unixOffsetMicros = unixOffsetMicros;
    }

    /** The entries of an update, in its order, as the decisions take them. */
    List<NodeTable.Entry<String>> entries(NodeListUpdate update) {
        List<NodeTable.Entry<String>> entries = new ArrayList<>();
        for (NodeListUpdate.NodeEntry node : update.entries()) {
            NodeTable.State state =
                    switch (node.state()) {
                        case UP -> NodeTable.State.UP;
                        case DRAINING -> NodeTable.State.DRAINING;
                        case REMOVED -> NodeTable.State.REMOVED;
                    };
            Time startedAt =
                    node.startedAtMillis() > 0
                            ? new Time(node.startedAtMillis() * 1000 - unixOffsetMicros)
                            : null;
            entries.add(new NodeTable.Entry<>(node.uid(), node.cell(), startedAt, state));
        }
        return entries;
    }

    /** Tells the connections to data nodes which nodes there are, and where. */
    void applyToConnections(NodeListUpdate update) {
        if (update.isSnapshot()) {
            nodeClient.removeAllNodes();
        }
        for (NodeListUpdate.NodeEntry node : update.entries()) {
            if (node.state() == NodeListUpdate.State.REMOVED) {
                nodeClient.removeNode(node.uid());
                continue;
            }
            nodeClient.putNode(node.uid(), node.endpoint(), node.startedAtMillis());
            if (node.state() == NodeListUpdate.State.DRAINING) {
                nodeClient.markDraining(node.uid());
            }
        }
    }

    /** Tells the long-lived sessions which nodes there are, and where. */
    void applyToSessions(
            NodeListUpdate update, List<NodeTable.Entry<String>> entries, SessionServer sessions) {
        Set<String> listed = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            NodeTable.Entry<String> entry = entries.get(i);
            if (entry.state() == NodeTable.State.REMOVED) {
                sessions.nodeRemoved(entry.id());
            } else {
                listed.add(entry.id());
                sessions.nodeListed(
                        entry.id(),
                        update.entries().get(i).endpoint(),
                        entry.startedAt(),
                        entry.state() == NodeTable.State.DRAINING);
            }
        }
        if (update.isSnapshot()) {
            sessions.removeNodesExcept(listed);
        }
    }
}
