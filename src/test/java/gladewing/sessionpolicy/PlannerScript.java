package gladewing.sessionpolicy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A planner whose placements a test chooses, one after the other, and what it has decided. */
final class PlannerScript implements SessionActions, NodeSelector {
    final SessionPlanner planner =
            new SessionPlanner(SessionSimulation.settings(10, 1000, 1), this, this, 1);

    /** The node for each missing shard, for the next placement. */
    String[] selected;

    /** Nodes in the order in which sending to them was started. */
    final List<String> started = new ArrayList<>();

    /** Nodes in the order in which the close of their connection was begun. */
    final List<String> closed = new ArrayList<>();

    private final Map<String, UpstreamConnection> connections = new LinkedHashMap<>();
    private String openedLast;
    private long now;

    PlannerScript(String... selected) {
        this.selected = selected;
        for (String node : List.of("a", "b", "c")) {
            planner.nodeListed(node, -1, false, now);
        }
    }

    /**
     * Lets the planner place what is missing, and completes the handshake of the new connection.
     */
    void openNext() {
        openedLast = null;
        now += 100_000;
        planner.tick(now);
        planner.connectionOpened(connections.get(openedLast), now);
    }

    void drain(String node) {
        planner.nodeListed(node, -1, true, now);
    }

    void end(String node) {
        planner.connectionEnded(connections.get(node), false, now);
    }

    @Override
    public String[] selectNodes(int product, Set<String> excludedNodes, int[] shards) {
        String[] nodes = new String[shards.length];
        for (int i = 0; i < shards.length && i < selected.length; i++) {
            nodes[i] = selected[i];
        }
        return nodes;
    }

    @Override
    public void openConnection(UpstreamConnection connection) {
        openedLast = connection.node;
        connections.put(connection.node, connection);
    }

    @Override
    public void closeConnection(UpstreamConnection connection) {
        closed.add(connection.node);
    }

    @Override
    public void startSending(UpstreamConnection connection) {
        started.add(connection.node);
    }

    @Override
    public void abortConnection(UpstreamConnection connection) {}

    @Override
    public void acceptSession(Session session) {}

    @Override
    public void refuseSession(Session session, long reconnectDelay) {}

    @Override
    public void closeSession(Session session, int code, long reconnectDelay) {}

    @Override
    public void adjustLoad(String node, double change) {}

    @Override
    public void connectionFailed(String node) {}
}
