package gladewing.sessionpolicy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Decides which sessions are accepted, which nodes they are connected to, and when sessions are
 * moved, parked or closed. A {@link NodeSelector} chooses the nodes, and {@link SessionActions}
 * carries out the decisions. All times are in microseconds and passed in; randomness comes from one
 * seeded generator, so that runs can be repeated.
 *
 * <p>When a node drains, its connections are replaced within the rate limits for handshakes. The
 * new connection is open before the old one is closed. Sessions with the earliest deadline are
 * moved first, then those with the highest revenue. At the end of the drain grace, remaining
 * sessions are parked: the connection is closed, the client stays connected, and its messages are
 * buffered until the shard is connected again. A session that is parked for too long is closed with
 * a random reconnect delay, so that clients do not return all at once.
 */
public final class SessionPlanner {
    public static final int SERVICE_RESTART = 1012;
    public static final int TRY_AGAIN_LATER = 1013;

    /** The time of a handshake grows to eight times that of the settings. */
    private static final int MAX_HANDSHAKE_DOUBLINGS = 3;

    /** Drains with gaps of at most 30 s belong to one deploy. */
    private static final long DEPLOY_GAP = 30_000_000;

    /** Time by which handshakes with a warm node may be ahead of their rate, in seconds. */
    private static final double HANDSHAKE_BURST_SECONDS = 0.1;

    /**
     * A session avoids nodes that are likely to drain next while more than this share of the grace
     * is left.
     */
    private static final double SELECTIVE_GRACE_SHARE = 0.5;

    private static final class Node {
        final String id;

        /** When it started, in microseconds; -1 if that is long ago. */
        long startedAt = -1;

        /**
         * Time from which nothing may be sent to the node, as it drains; -1 if it does not drain.
         */
        long sendDeadline = -1;

        boolean isRemoved;
        final RateLimiter handshakes = new RateLimiter();
        final Set<UpstreamConnection> connections = new LinkedHashSet<>();

        Node(String id) {
            this.id = id;
        }
    }

    private SessionSettings settings;
    private final NodeSelector nodeSelector;
    private final SessionActions actions;
    private final Random random;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Set<Session> sessions = new LinkedHashSet<>();

    /**
     * Sessions with a shard that needs a new connection, in the order in which they came to need
     * it.
     */
    private final Set<Session> incompleteSessions = new LinkedHashSet<>();

    private final Map<Integer, Integer> sessionsByTenant = new LinkedHashMap<>();

    /**
     * Limits handshakes after a failure, over all sessions, so that a node that fails all
     * connections is not sent all of them again at once.
     */
    private final RateLimiter retries = new RateLimiter();

    private int connectionCount;

    /**
     * Placements that no node could take in the current tick. Equal requests are not tried again in
     * the tick, as the free capacity of nodes only shrinks during it.
     */
    private final Set<List<Object>> unplaceable = new HashSet<>();

    private long nextSessionNumber;

    /** The time that was passed to the current call, in microseconds. */
    private long callTime;

    /** When the first drain of the current deploy started; -1 before any drain. */
    private long deployStartedAt = -1;

    /** When the last drain started; -1 before any drain. */
    private long lastDrainAt = -1;

    /** When all sessions must be closed; -1 unless the router shuts down. */
    private long shutdownEndsAt = -1;

    private long shutdownStartedAt;
    private int sessionsAtShutdown;

    /**
     * @param seed seed of the random delays
     */
    public SessionPlanner(
            SessionSettings settings,
            NodeSelector nodeSelector,
            SessionActions actions,
            long seed) {
        this.settings = settings;
        this.nodeSelector = nodeSelector;
        this.actions = actions;
        this.random = new Random(seed);
    }

    /**
     * Replaces the settings. Open sessions and connections stay, even if they exceed the new
     * limits.
     */
    public void updateSettings(SessionSettings newSettings) {
        settings = newSettings;
    }

    /** Returns the number of sessions that are waiting or open. */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Handles the request of a client for a session. The session is refused at once if a limit is
     * reached or the router shuts down. Otherwise exactly one of acceptSession and refuseSession
     * follows, unless the client leaves first.
     *
     * @param tenant index of the tenant
     * @param revenue revenue of the product; of sessions with the same deadline, the ones with more
     *     revenue are connected first
     */
    public Session requestSession(int product, int tenant, double revenue, int[] shards, long now) {
        callTime = now;
        Session session =
                new Session(nextSessionNumber++, product, tenant, revenue, shards.clone(), now);
        boolean isLimitReached =
                sessions.size() >= settings.maxSessions()
                        || sessionsByTenant.getOrDefault(tenant, 0)
                                >= settings.maxSessionsPerTenant();
        sessions.add(session);
        sessionsByTenant.merge(tenant, 1, Integer::sum);
        if (isLimitReached || shutdownEndsAt >= 0) {
            refuseSession(session);
        } else {
            incompleteSessions.add(session);
        }
        return session;
    }

    /**
     * Handles an entry of the node list.
     *
     * @param startedAt when the node started, in microseconds; -1 if that is long ago
     */
    public void nodeListed(String id, long startedAt, boolean isDraining, long now) {
        callTime = now;
        Node node = nodes.computeIfAbsent(id, Node::new);
        node.startedAt = startedAt;
        node.isRemoved = false;
        if (!isDraining) {
            node.sendDeadline = -1;
        } else if (node.sendDeadline < 0) {
            startDrain(node, now);
        }
    }

    /**
     * Handles the removal of a node from the list: it drains, and is forgotten when its last
     * connection has ended.
     */
    public void nodeRemoved(String id, long now) {
        callTime = now;
        Node node = nodes.get(id);
        if (node != null && !node.isRemoved) {
            node.isRemoved = true;
            if (node.sendDeadline < 0) {
                startDrain(node, now);
            }
            removeIfUnused(node);
        }
    }

    private void startDrain(Node node, long now) {
        node.sendDeadline = now + settings.sendGrace();
        deployStartedAt = lastDrainAt < 0 || now - lastDrainAt > DEPLOY_GAP ? now : deployStartedAt;
        lastDrainAt = now;
        node.connections.forEach(connection -> markIncomplete(connection.session));
    }

    private void removeIfUnused(Node node) {
        if (node.isRemoved && node.connections.isEmpty()) {
            nodes.remove(node.id);
        }
    }

    private void markIncomplete(Session session) {
        if (session.state != Session.State.ENDED) {
            incompleteSessions.add(session);
        }
    }

    /**
     * Returns whether data may be sent on the connection now. The tick closes the connections of a
     * node at the end of its grace. After a stall of this router, however, pending input is handled
     * before that tick, and nothing may be sent in response to it.
     */
    public boolean maySend(UpstreamConnection connection, long now) {
        Node node = nodes.get(connection.node);
        return node != null && (node.sendDeadline < 0 || now < node.sendDeadline);
    }

    /** Handles the successful handshake of a connection. */
    public void connectionOpened(UpstreamConnection connection, long now) {
        callTime = now;
        Node node = nodes.get(connection.node);
        if (connection.state != UpstreamConnection.State.OPENING) {
            return;
        }
        boolean isLate = node == null || node.sendDeadline >= 0 && now >= node.sendDeadline;
        connection.state = UpstreamConnection.State.OPEN;
        connection.weight = settings.connectionWeight();
        nodeSelector.adjustLoad(connection.node, connection.weight);
        if (connection.session.state == Session.State.ENDED || isLate) {
            closeConnection(connection);
            return;
        }
        Session session = connection.session;
        session.consecutiveFailures = 0;
        Set<UpstreamConnection> replacedConnections = new LinkedHashSet<>();
        for (int shardIndex : connection.shardIndexes) {
            UpstreamConnection replaced = session.active[shardIndex];
            session.pending[shardIndex] = null;
            session.active[shardIndex] = connection;
            if (replaced != null) {
                replacedConnections.add(replaced);
            }
        }
        // Connections that are already replaced or being closed may still deliver the rest of their
        // messages.
        for (UpstreamConnection other : session.connections) {
            boolean isUp =
                    other.state == UpstreamConnection.State.OPEN
                            || other.state == UpstreamConnection.State.CLOSING;
            if (other != connection && isUp && haveCommonShard(other, connection)) {
                connection.predecessors.add(other);
            }
        }
        replacedConnections.stream()
                .filter(replaced -> isUnused(session, replaced))
                .forEach(this::closeConnection);
        if (session.state == Session.State.OPEN) {
            startSendingIfReady(connection, now);
        }
        updateSessionState(session, now);
    }

    /**
     * Starts to send on a connection of an open session. A node is not told where to go on before
     * the client is accepted, as nothing that it sends could be forwarded.
     */
    private void startSendingIfReady(UpstreamConnection connection, long now) {
        if (connection.canSend() && maySend(connection, now)) {
            actions.startSending(connection);
        }
    }

    private static boolean haveCommonShard(UpstreamConnection a, UpstreamConnection b) {
        for (int x : a.shardIndexes) {
            for (int y : b.shardIndexes) {
                if (x == y) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isUnused(Session session, UpstreamConnection connection) {
        for (UpstreamConnection activeConnection : session.active) {
            if (activeConnection == connection) {
                return false;
            }
        }
        return true;
    }

    /** Accepts or parks the session, depending on whether all its shards are connected. */
    private void updateSessionState(Session session, long now) {
        boolean allConnected = true;
        for (UpstreamConnection connection : session.active) {
            allConnected &= connection != null;
        }
        if (allConnected && session.state == Session.State.WAITING) {
            session.state = Session.State.OPEN;
            actions.acceptSession(session);
            new ArrayList<>(session.connections).forEach(c -> startSendingIfReady(c, now));
        }
        session.parkedAt =
                allConnected || session.state != Session.State.OPEN
                        ? -1
                        : session.parkedAt < 0 ? now : session.parkedAt;
        if (session.state != Session.State.ENDED) {
            if (isComplete(session)) {
                incompleteSessions.remove(session);
            } else {
                incompleteSessions.add(session);
            }
        }
    }

    /**
     * Returns whether each shard has a connection to a node that does not drain, or one that is
     * being opened.
     */
    private boolean isComplete(Session session) {
        for (int shardIndex = 0; shardIndex < session.shards.length; shardIndex++) {
            if (needsConnection(session, shardIndex)) {
                return false;
            }
        }
        return true;
    }

    private boolean needsConnection(Session session, int shardIndex) {
        if (session.pending[shardIndex] != null) {
            return false;
        }
        UpstreamConnection connection = session.active[shardIndex];
        Node node = connection == null ? null : nodes.get(connection.node);
        return node == null || node.sendDeadline >= 0;
    }

    /**
     * Handles the end of a connection: it could not be opened, its close handshake is complete, or
     * it broke.
     *
     * @param isBroken whether the end counts as a failure of the node
     */
    public void connectionEnded(UpstreamConnection connection, boolean isBroken, long now) {
        callTime = now;
        if (connection.state == UpstreamConnection.State.ENDED) {
            return;
        }
        boolean wasOpening = connection.state == UpstreamConnection.State.OPENING;
        boolean wasClosing = connection.state == UpstreamConnection.State.CLOSING;
        connection.state = UpstreamConnection.State.ENDED;
        Session session = connection.session;
        connectionCount--;
        session.connections.remove(connection);
        if (!wasOpening) {
            nodeSelector.adjustLoad(connection.node, -connection.weight);
        }
        if (isBroken && !wasClosing) {
            nodeSelector.connectionFailed(connection.node);
        }
        Node node = nodes.get(connection.node);
        if (node != null) {
            node.connections.remove(connection);
            removeIfUnused(node);
        }
        for (UpstreamConnection next : new ArrayList<>(session.connections)) {
            if (next.predecessors.remove(connection) && session.state == Session.State.OPEN) {
                startSendingIfReady(next, now);
            }
        }
        if (session.state == Session.State.ENDED) {
            return;
        }
        for (int shardIndex : connection.shardIndexes) {
            session.active[shardIndex] =
                    session.active[shardIndex] == connection ? null : session.active[shardIndex];
            session.pending[shardIndex] =
                    session.pending[shardIndex] == connection ? null : session.pending[shardIndex];
        }
        if (!wasClosing) {
            session.consecutiveFailures++;
            long backoff = settings.retryBackoff() << Math.min(session.consecutiveFailures - 1, 10);
            session.retryAt = now + (long) (backoff * (0.5 + random.nextDouble()));
        }
        updateSessionState(session, now);
    }

    /** Handles the end of a session by its client: the client disconnected or closed it. */
    public void clientLeft(Session session, long now) {
        callTime = now;
        endSession(session);
    }

    private void endSession(Session session) {
        if (session.state != Session.State.ENDED) {
            session.state = Session.State.ENDED;
            sessions.remove(session);
            incompleteSessions.remove(session);
            sessionsByTenant.computeIfPresent(session.tenant, (t, n) -> n == 1 ? null : n - 1);
            new ArrayList<>(session.connections).forEach(this::closeConnection);
        }
    }

    private void closeConnection(UpstreamConnection connection) {
        if (connection.state == UpstreamConnection.State.OPENING
                || connection.state == UpstreamConnection.State.OPEN) {
            // A connection that is still being opened has no load on its node.
            if (connection.state == UpstreamConnection.State.OPENING) {
                connectionCount--;
                connection.session.connections.remove(connection);
                Node node = nodes.get(connection.node);
                connection.state = UpstreamConnection.State.ENDED;
                if (node != null) {
                    node.connections.remove(connection);
                    removeIfUnused(node);
                }
            } else {
                connection.state = UpstreamConnection.State.CLOSING;
                // After a stall of this router the grace may have ended. Then not even a close
                // frame may be sent.
                Node node = nodes.get(connection.node);
                if (node != null
                        && node.sendDeadline >= 0
                        && callTime - node.sendDeadline
                                > settings.drainGrace() - settings.sendGrace()) {
                    actions.abortConnection(connection);
                    return;
                }
            }
            actions.closeConnection(connection);
        }
    }

    private long randomReconnectDelay() {
        return (long) (settings.maxReconnectDelay() * random.nextDouble());
    }

    private void refuseSession(Session session) {
        endSession(session);
        actions.refuseSession(session, randomReconnectDelay());
    }

    /**
     * Closes all open sessions, spread evenly until the given time, and refuses the waiting and all
     * new ones.
     */
    public void startShutdown(long now, long until) {
        callTime = now;
        shutdownStartedAt = now;
        shutdownEndsAt = until;
        sessionsAtShutdown = sessions.size();
        for (Session session : new ArrayList<>(sessions)) {
            if (session.state == Session.State.WAITING) {
                refuseSession(session);
            }
        }
    }

    /**
     * Connects, refuses, parks and closes sessions whose time has come. It must be called every few
     * milliseconds.
     */
    public void tick(long now) {
        callTime = now;
        for (Node node : new ArrayList<>(nodes.values())) {
            if (node.sendDeadline >= 0 && now >= node.sendDeadline) {
                endDrainGrace(node, now);
            }
        }
        List<Session> order = new ArrayList<>(incompleteSessions);
        order.sort(
                Comparator.comparingLong(this::deadline)
                        .thenComparing(s -> -s.revenue)
                        .thenComparingLong(s -> s.number));
        Set<String> likelyNext = likelyNext(now);
        Set<String> full = unavailableNodes(now);
        unplaceable.clear();
        for (Session session : order) {
            if (session.state == Session.State.WAITING
                    && (now - session.requestedAt >= settings.openTimeout()
                            || session.consecutiveFailures >= settings.maxOpenAttempts())) {
                refuseSession(session);
            } else if (session.parkedAt >= 0
                    && now - session.parkedAt >= settings.maxParkedTime()) {
                endSession(session);
                actions.closeSession(session, TRY_AGAIN_LATER, randomReconnectDelay());
            } else if (now >= session.retryAt) {
                connectMissingShards(session, likelyNext, full, now);
            }
        }
        closeDueSessions(now);
    }

    /**
     * Closes all connections of a node whose time for sending is over. Their sessions are parked.
     */
    private void endDrainGrace(Node node, long now) {
        for (UpstreamConnection connection : new ArrayList<>(node.connections)) {
            if (connection.state == UpstreamConnection.State.OPENING
                    || connection.state == UpstreamConnection.State.OPEN) {
                Session session = connection.session;
                closeConnection(connection);
                for (int shardIndex : connection.shardIndexes) {
                    session.active[shardIndex] =
                            session.active[shardIndex] == connection
                                    ? null
                                    : session.active[shardIndex];
                    session.pending[shardIndex] =
                            session.pending[shardIndex] == connection
                                    ? null
                                    : session.pending[shardIndex];
                }
                updateSessionState(session, now);
            }
        }
    }

    /**
     * Returns the time by which the session must be accepted, moved, or closed because it is
     * parked: the earliest that applies.
     */
    private long deadline(Session session) {
        if (session.state == Session.State.WAITING) {
            return session.requestedAt + settings.openTimeout();
        }
        long earliest =
                session.parkedAt >= 0
                        ? session.parkedAt + settings.maxParkedTime()
                        : Long.MAX_VALUE;
        for (UpstreamConnection connection : session.active) {
            Node node = connection == null ? null : nodes.get(connection.node);
            if (node != null && node.sendDeadline >= 0) {
                earliest = Math.min(earliest, node.sendDeadline);
            }
        }
        return earliest;
    }

    /**
     * Returns the time in which the handshake of the session's next connection must end, in
     * microseconds. After each that failed the next gets twice the time, up to eight times: one
     * that is slow each time would else be begun anew until the session ends.
     */
    public long handshakeTimeLimit(Session session) {
        return settings.openTimeout()
                << Math.min(session.consecutiveFailures, MAX_HANDSHAKE_DOUBLINGS);
    }

    /**
     * Returns the nodes that are likely to drain next. During a deploy these are the nodes that
     * started before it.
     */
    private Set<String> likelyNext(long now) {
        Set<String> next = new HashSet<>();
        if (lastDrainAt >= 0 && now - lastDrainAt <= DEPLOY_GAP) {
            for (Node node : nodes.values()) {
                if (node.startedAt < deployStartedAt) {
                    next.add(node.id);
                }
            }
        }
        return next;
    }

    /** Returns the nodes that drain or have no capacity for another connection. */
    private Set<String> unavailableNodes(long now) {
        Set<String> full = new HashSet<>();
        for (Node node : nodes.values()) {
            if (node.sendDeadline >= 0 || !hasCapacity(node, now)) {
                full.add(node.id);
            }
        }
        return full;
    }

    private boolean hasCapacity(Node node, long now) {
        return node.connections.size() < settings.maxConnectionsPerNode()
                && node.handshakes.isAllowed(
                        now,
                        handshakeRate(node, now),
                        warmUpFactor(node, now) < 1 ? 0 : HANDSHAKE_BURST_SECONDS);
    }

    /**
     * Returns how many handshakes per second this router may start with the node: its share of the
     * rate of all routers, scaled by the warm-up of the node.
     */
    private double handshakeRate(Node node, long now) {
        return settings.handshakesPerSecond() * warmUpFactor(node, now) / settings.routerCount();
    }

    /**
     * Returns the share of its capacity that a node has, from the initial share to 1. It grows
     * linearly with the time since its start.
     */
    private double warmUpFactor(Node node, long now) {
        double age =
                node.startedAt < 0
                        ? 1
                        : (now - node.startedAt) / (double) Math.max(1, settings.warmUpSpan());
        return Math.min(
                1,
                settings.initialCapacityShare()
                        + (1 - settings.initialCapacityShare()) * Math.max(0, age));
    }

    /**
     * Opens connections for all shards of the session that need one, as far as nodes have capacity.
     */
    private void connectMissingShards(
            Session session, Set<String> likelyNext, Set<String> full, long now) {
        List<Integer> missing = new ArrayList<>();
        for (int shardIndex = 0; shardIndex < session.shards.length; shardIndex++) {
            if (needsConnection(session, shardIndex)) {
                missing.add(shardIndex);
            }
        }
        int[] shards =
                missing.stream().mapToInt(shardIndex -> session.shards[shardIndex]).toArray();
        if (shards.length == 0) {
            incompleteSessions.remove(session);
            return;
        }
        if (session.consecutiveFailures > 0
                && !retries.isAllowed(now, settings.retriesPerSecond(), 1)) {
            return;
        }
        boolean isSelective = isSelective(session, now);
        List<Object> placement =
                List.of(session.product, isSelective, Arrays.stream(shards).boxed().toList());
        if (unplaceable.contains(placement)) {
            return;
        }
        Set<String> excludedNodes = new HashSet<>(full);
        if (isSelective) {
            excludedNodes.addAll(likelyNext);
        }
        String[] selected = nodeSelector.selectNodes(session.product, excludedNodes, shards);
        Map<String, List<Integer>> byNode = new LinkedHashMap<>();
        for (int i = 0; i < selected.length; i++) {
            if (selected[i] != null && nodes.containsKey(selected[i])) {
                byNode.computeIfAbsent(selected[i], id -> new ArrayList<>()).add(missing.get(i));
            }
        }
        if (byNode.isEmpty()) {
            unplaceable.add(placement);
        }
        if (connectionCount + byNode.size() > settings.maxConnections()) {
            return;
        }
        byNode.forEach(
                (id, shardIndexes) -> {
                    connectionCount++;
                    if (session.consecutiveFailures > 0) {
                        retries.recordUse(now, settings.retriesPerSecond());
                    }
                    Node node = nodes.get(id);
                    UpstreamConnection connection =
                            new UpstreamConnection(
                                    session, id, shardIndexes.stream().mapToInt(p -> p).toArray());
                    session.connections.add(connection);
                    node.connections.add(connection);
                    shardIndexes.forEach(p -> session.pending[p] = connection);
                    node.handshakes.recordUse(now, handshakeRate(node, now));
                    if (!hasCapacity(node, now)) {
                        full.add(id);
                    }
                    actions.openConnection(connection);
                });
        if (isComplete(session)) {
            incompleteSessions.remove(session);
        }
    }

    /**
     * Returns whether the session waits for a node that is unlikely to drain next. It does so while
     * enough time is left, as waiting is better than being moved twice.
     */
    private boolean isSelective(Session session, long now) {
        long timeLeft = deadline(session) - now;
        return session.parkedAt < 0 && timeLeft > settings.drainGrace() * SELECTIVE_GRACE_SHARE;
    }

    /** Closes the sessions that are due during a shutdown, oldest first. */
    private void closeDueSessions(long now) {
        if (shutdownEndsAt < 0) {
            return;
        }
        double elapsedShare =
                now >= shutdownEndsAt
                        ? 1
                        : (now - shutdownStartedAt)
                                / (double) Math.max(1, shutdownEndsAt - shutdownStartedAt);
        int remainingSessions = (int) Math.floor(sessionsAtShutdown * (1 - elapsedShare));
        for (Session session : new ArrayList<>(sessions)) {
            if (sessions.size() <= remainingSessions) {
                return;
            }
            endSession(session);
            actions.closeSession(session, SERVICE_RESTART, randomReconnectDelay());
        }
    }
}
