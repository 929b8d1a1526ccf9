package gladewing.sessionpolicy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates nodes, clients and time around one planner, and checks that the planner keeps its rules
 * after each step.
 */
final class SessionSimulation implements SessionActions, NodeSelector {
    static final int CELLS = 3;
    static final long GRACE = 2_000_000;

    static final class Node {
        final String id;
        final int cell;
        final long startedAt;
        long drainedAt = -1;
        boolean isDead;
        double weight;
        final List<Long> handshakes = new ArrayList<>();

        Node(String id, int cell, long startedAt) {
            this.id = id;
            this.cell = cell;
            this.startedAt = startedAt;
        }
    }

    final SessionSettings settings;
    final SessionPlanner planner;
    final Random random;
    final Map<String, Node> nodes = new LinkedHashMap<>();

    /** When each pending handshake is answered or fails. */
    final Map<UpstreamConnection, Long> openingUntil = new LinkedHashMap<>();

    /** When each close handshake is complete. */
    final Map<UpstreamConnection, Long> closingUntil = new LinkedHashMap<>();

    final List<UpstreamConnection> connections = new ArrayList<>();
    final Map<Session, String> states = new LinkedHashMap<>();
    final List<Session> openSessions = new ArrayList<>();
    final Map<Session, Long> parkedSince = new HashMap<>();

    /** Sessions whose last connection failed. */
    private final Set<Session> failedSessions = new HashSet<>();

    /** When connections were opened after a failure, in the last second. */
    private final List<Long> retryTimes = new ArrayList<>();

    long now = 1_000_000;
    int moveCount;
    int acceptedCount;
    int refusedCount;
    int closedCount;
    private int nextNodeId;

    /** Connections on which sending has started. */
    private final Set<UpstreamConnection> started = new HashSet<>();

    SessionSimulation(long seed, SessionSettings settings) {
        this.settings = settings;
        random = new Random(seed);
        planner = new SessionPlanner(settings, this, this, seed);
    }

    static SessionSettings settings(int sessions, double handshakes, int routers) {
        return new SessionSettings(
                sessions,
                sessions / 2,
                sessions,
                3 * sessions,
                handshakes,
                0.1,
                1000,
                10_000,
                1000,
                3_000_000,
                5_000_000,
                4_000_000,
                500_000,
                5_000_000,
                4,
                30,
                100_000,
                GRACE,
                0.2,
                10_000_000,
                routers);
    }

    Node addNode(int cell, boolean cold) {
        Node node = new Node("n" + nextNodeId++, cell, cold ? now : -1);
        nodes.put(node.id, node);
        planner.nodeListed(node.id, node.startedAt, false, now);
        return node;
    }

    void startDrain(Node node) {
        if (node.drainedAt < 0) {
            node.drainedAt = now;
            planner.nodeListed(node.id, node.startedAt, true, now);
        }
    }

    void removeFromList(Node node) {
        node.drainedAt = node.drainedAt < 0 ? now : node.drainedAt;
        planner.nodeRemoved(node.id, now);
        nodes.remove(node.id);
    }

    void killNode(Node node) {
        node.isDead = true;
        for (UpstreamConnection connection : new ArrayList<>(connections)) {
            if (connection.node.equals(node.id)) {
                endConnection(connection, true);
            }
        }
    }

    private void endConnection(UpstreamConnection connection, boolean broken) {
        if (broken) {
            failedSessions.add(connection.session);
        }
        connections.remove(connection);
        openingUntil.remove(connection);
        closingUntil.remove(connection);
        planner.connectionEnded(connection, broken, now);
    }

    Session requestSession(int tenant, int... shards) {
        Session session = planner.requestSession(0, tenant, 1, shards, now);
        if (!states.containsKey(session)) {
            states.put(session, "waiting");
        }
        if (!session.isEnded()) {
            openSessions.add(session);
        }
        return session;
    }

    void leaveSession(Session session) {
        planner.clientLeft(session, now);
        states.merge(session, "left", (a, b) -> a + " " + b);
        openSessions.remove(session);
    }

    void step(long span) {
        now += span;
        for (UpstreamConnection connection : new ArrayList<>(openingUntil.keySet())) {
            Node node = nodes.get(connection.node);
            if (openingUntil.get(connection) <= now) {
                openingUntil.remove(connection);
                if (node == null || node.isDead) {
                    endConnection(connection, true);
                } else {
                    failedSessions.remove(connection.session);
                    planner.connectionOpened(connection, now);
                }
            }
        }
        for (UpstreamConnection connection : new ArrayList<>(closingUntil.keySet())) {
            if (closingUntil.get(connection) <= now) {
                endConnection(connection, false);
            }
        }
        planner.tick(now);
        checkInvariants();
    }

    // SessionActions: the decisions of the planner.

    @Override
    public void openConnection(UpstreamConnection connection) {
        Node node = nodes.get(connection.node);
        require(
                node != null && node.drainedAt < 0,
                "handshake with a node that drains or was removed");
        require(!connection.session.isEnded(), "handshake for a session that has ended");
        node.handshakes.add(now);
        connections.add(connection);
        openingUntil.put(connection, now + 5_000 + random.nextInt(50_000));
        moveCount += connection.session.isOpen() ? 1 : 0;
        if (failedSessions.contains(connection.session)) {
            retryTimes.add(now);
            retryTimes.removeIf(at -> now - at > 1_000_000);
            require(
                    retryTimes.size() <= 2 * settings.retriesPerSecond() + 2,
                    retryTimes.size() + " retries in a second");
        }
    }

    @Override
    public void closeConnection(UpstreamConnection connection) {
        Node node = nodes.get(connection.node);
        require(connections.contains(connection), "close of a connection that has ended");
        if (openingUntil.remove(connection) != null) {
            connections.remove(connection);
        } else {
            require(
                    node == null || node.drainedAt < 0 || now <= node.drainedAt + GRACE,
                    "close frame after the drain grace");
            require(
                    closingUntil.put(connection, now + 1_000 + random.nextInt(400_000)) == null,
                    "connection closed twice");
        }
    }

    @Override
    public void abortConnection(UpstreamConnection connection) {
        require(
                connections.contains(connection) && !openingUntil.containsKey(connection),
                "abort of a connection that is not open");
        require(closingUntil.put(connection, now + 1) == null, "connection closed twice");
    }

    @Override
    public void startSending(UpstreamConnection connection) {
        require(
                connection.canSend() && !connection.session.isEnded(),
                "send on a connection that cannot send");
        require(connection.session.isOpen(), "send before the client is accepted");
        require(started.add(connection), "started to send twice");
        for (int i = 0; i < connection.shardCount(); i++) {
            for (UpstreamConnection other : connections) {
                boolean isPredecessor =
                        other != connection
                                && other.session == connection.session
                                && !openingUntil.containsKey(other)
                                && connections.indexOf(other) < connections.indexOf(connection);
                for (int j = 0; isPredecessor && j < other.shardCount(); j++) {
                    require(
                            other.shardIndex(j) != connection.shardIndex(i),
                            "two connections for one shard");
                }
            }
        }
    }

    @Override
    public void acceptSession(Session session) {
        require(
                "waiting".equals(states.put(session, "open")),
                "accepted in state " + states.get(session));
        acceptedCount++;
    }

    @Override
    public void refuseSession(Session session, long reconnectDelay) {
        String previousState = states.put(session, "refused");
        require(
                previousState == null || previousState.equals("waiting"),
                "refused in state " + previousState);
        require(
                reconnectDelay >= 0 && reconnectDelay <= settings.maxReconnectDelay(),
                "reconnect delay out of range: " + reconnectDelay);
        openSessions.remove(session);
        refusedCount++;
    }

    @Override
    public void closeSession(Session session, int code, long reconnectDelay) {
        require(
                "open".equals(states.put(session, "closed")),
                "closed in state " + states.get(session));
        openSessions.remove(session);
        closedCount++;
    }

    // NodeSelector: any node of the cell that does not drain and is not excluded.

    @Override
    public String[] selectNodes(int product, Set<String> excludedNodes, int[] shards) {
        String[] selected = new String[shards.length];
        for (int i = 0; i < shards.length; i++) {
            int cell = shards[i] % CELLS;
            List<Node> candidates =
                    nodes.values().stream()
                            .filter(
                                    n ->
                                            n.cell == cell
                                                    && n.drainedAt < 0
                                                    && !excludedNodes.contains(n.id))
                            .toList();
            selected[i] =
                    candidates.isEmpty()
                            ? null
                            : candidates.get(random.nextInt(candidates.size())).id;
        }
        return selected;
    }

    @Override
    public void adjustLoad(String node, double change) {
        if (nodes.containsKey(node)) {
            nodes.get(node).weight += change;
        }
    }

    @Override
    public void connectionFailed(String node) {}

    static void require(boolean condition, String fault) {
        if (!condition) {
            throw new AssertionError(fault);
        }
    }

    /** Checks what must hold after each step. */
    private void checkInvariants() {
        require(
                planner.sessionCount() <= settings.maxSessions()
                        && planner.sessionCount() == openSessions.size(),
                "sessions were lost or exceed the limit");
        for (Node node : nodes.values()) {
            long up =
                    connections.stream()
                            .filter(l -> l.node.equals(node.id) && !openingUntil.containsKey(l))
                            .count();
            require(
                    Math.abs(node.weight - up * settings.connectionWeight()) < 1e-6,
                    "wrong load at " + node.id);
            require(
                    node.drainedAt < 0
                            || now < node.drainedAt + GRACE
                            || connections.stream()
                                    .noneMatch(
                                            l ->
                                                    l.node.equals(node.id)
                                                            && !closingUntil.containsKey(l)),
                    "connection to a drained node after its grace");
            node.handshakes.removeIf(at -> now - at > 1_000_000);
            double warmUpShare =
                    node.startedAt < 0 ? 1 : Math.min(1, 0.2 + 0.8 * (now - node.startedAt) / 10e6);
            double maxRate = settings.handshakesPerSecond() / settings.routerCount();
            require(
                    node.handshakes.size()
                            <= maxRate * warmUpShare
                                    + 1
                                    + (warmUpShare < 1 ? 0 : maxRate * 0.2 + 1),
                    node.handshakes.size() + " handshakes in a second at " + node.id);
        }
        Map<Session, Integer> connectedShards = new HashMap<>();
        for (UpstreamConnection connection : connections) {
            for (int i = 0;
                    i < connection.shardCount() && !openingUntil.containsKey(connection);
                    i++) {
                connectedShards.merge(
                        connection.session, 1 << connection.shardIndex(i), (x, y) -> x | y);
            }
        }
        for (Session session : openSessions) {
            boolean isComplete =
                    connectedShards.getOrDefault(session, 0) == (1 << session.shardCount()) - 1;
            if (isComplete || !session.isOpen()) {
                parkedSince.remove(session);
            } else {
                long since = parkedSince.computeIfAbsent(session, s -> now);
                require(
                        now - since <= settings.maxParkedTime() + 2_000_000,
                        "parked for longer than allowed");
            }
        }
        for (Session session : openSessions) {
            for (int i = 0; i < session.shardCount() && session.isOpen(); i++) {
                UpstreamConnection target = session.sendTarget(i);
                require(
                        target == null || started.contains(target) || !planner.maySend(target, now),
                        "messages for a connection that was not started");
            }
        }
        connections.forEach(
                l ->
                        require(
                                !l.session.isEnded() || closingUntil.containsKey(l),
                                "open connection of a session that has ended"));
    }
}
