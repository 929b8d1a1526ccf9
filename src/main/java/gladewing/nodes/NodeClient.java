package gladewing.nodes;

import gladewing.decisions.CallResult;
import gladewing.decisions.Transmission;
import gladewing.events.Event;
import gladewing.events.RouterEvents;
import gladewing.frames.LoadReport;
import gladewing.frames.NodeFrames;
import gladewing.frames.PartAnswer;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryLimit;
import gladewing.lifecycle.SpoiltAnswers;
import gladewing.loop.Loop;
import gladewing.router.NodeLoad;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ConnectionAttempt;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Logger;

/**
 * Sends transmissions and probes to data nodes, keeps their time-outs, and tells a listener how
 * each ended. The parts that go to a node in one frame make up a call. All methods are called on
 * the loop's thread.
 */
public final class NodeClient {
    private static final Logger LOG = Logger.getLogger(NodeClient.class.getName());
    private static final Span IDLE_CHECK_INTERVAL = Span.ofMillis(1000);

    /** How soon calls are tried again for which the machine had no socket. */
    private static final Span NO_SOCKET_RETRY_DELAY = Span.ofMillis(10);

    private static final Span POLL_INTERVAL = Span.ofMillis(200);

    /**
     * How long after its withdrawal an answer to a part is expected at most, even if the part's
     * time limit is longer. Clients may set that to minutes, and leave at once.
     */
    private static final Span MAX_ANSWER_DELAY = Span.ofMillis(10_000);

    /** For how many connect timeouts a connection may be coming up. */
    private static final int LATE_CONNECT_FACTOR = 10;

    private record DeferredCall(String node, List<InFlightTransmission> parts) {}

    final Loop loop;
    private final Connector connector;
    final NodeClientOptions options;
    final RouterEvents events;
    final LifecycleRules rules;
    final SpoiltAnswers spoiltAnswers = new SpoiltAnswers();

    /** What the connections have received of frames that are not complete. */
    final MemoryLimit memory;

    private final NodeEventListener listener;
    private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();
    private final Map<Transmission, InFlightTransmission> inFlight = new HashMap<>();

    /**
     * Calls for which no connection could be opened, as the limit was reached or the machine had no
     * socket, oldest first. Each waits for at most the connect timeout.
     */
    private final List<DeferredCall> deferredCalls = new ArrayList<>();

    private int connectionCount;
    private boolean isLimitLogged;

    /**
     * @param memory limit on what the connections hold
     */
    public NodeClient(
            Loop loop,
            Connector connector,
            NodeClientOptions options,
            MemoryLimit memory,
            NodeEventListener listener,
            RouterEvents events,
            LifecycleRules rules) {
        this.loop = loop;
        this.events = events;
        this.rules = rules;
        this.connector = connector;
        this.options = options;
        this.memory = memory;
        this.listener = listener;
        loop.schedule(IDLE_CHECK_INTERVAL, this::closeIdle);
        loop.schedule(POLL_INTERVAL, this::pollUnwatched);
    }

    /** Reads the connections that an answer is awaited on and the selector may not watch. */
    private void pollUnwatched() {
        loop.schedule(POLL_INTERVAL, this::pollUnwatched);
        for (ConnectionPool pool : pools.values()) {
            new ArrayList<>(pool.connections).forEach(NodeConnection::pollIfUnwatched);
        }
    }

    /**
     * Adds a data node, or updates its address and start; it counts as not draining. Connections to
     * an earlier incarnation get nothing new: if its machine vanished, they fail only when they are
     * written to.
     *
     * @param startedAtMillis in Unix milliseconds, 0 if it was long ago
     */
    public void putNode(String node, InetSocketAddress address, long startedAtMillis) {
        ConnectionPool pool = pools.computeIfAbsent(node, ConnectionPool::new);
        pool.incarnation = new NodeIncarnation(address, startedAtMillis);
        pool.isDraining = false;
    }

    /**
     * Marks a node as draining: it finishes what is in flight, and parts that are not yet written
     * to it end as {@link CallResult#NOT_SENT}.
     */
    public void markDraining(String node) {
        ConnectionPool pool = pools.get(node);
        if (pool != null) {
            pool.isDraining = true;
        }
    }

    /** Removes a node: nothing new is sent to it, while what is in flight goes on. */
    public void removeNode(String node) {
        ConnectionPool pool = pools.get(node);
        if (pool != null) {
            pool.incarnation = null;
        }
    }

    /** Removes all nodes, as {@link #removeNode} does for one. */
    public void removeAllNodes() {
        pools.values().forEach(pool -> pool.incarnation = null);
    }

    /**
     * Sends transmissions. Those to the same node are put into calls of at most maxPartsPerCall
     * parts, and no more than one connection may carry.
     */
    public void transmit(List<Transmission> transmissions) {
        Map<String, List<InFlightTransmission>> calls = new LinkedHashMap<>();
        Time now = loop.enterPass();
        for (Transmission t : transmissions) {
            InFlightTransmission part = new InFlightTransmission(t, now);
            inFlight.put(t, part);
            part.timeoutTimer =
                    loop.schedule(t.timeout, () -> end(part, CallResult.TIMED_OUT, null, null));
            List<InFlightTransmission> call = calls.computeIfAbsent(t.node, n -> new ArrayList<>());
            call.add(part);
            if (call.size()
                    == Math.min(options.maxPartsPerCall(), options.maxPartsPerConnection())) {
                calls.remove(t.node);
                send(t.node, call);
            }
        }
        calls.forEach(this::send);
    }

    private void send(String node, List<InFlightTransmission> call) {
        NodeConnection connection = connectionFor(node, call);
        if (connection != null) {
            connection.send(call);
        } else if (isListed(node)) {
            DeferredCall deferred = new DeferredCall(node, call);
            deferredCalls.add(deferred);
            loop.schedule(
                    options.connectTimeout(),
                    () -> {
                        if (deferredCalls.remove(deferred)) {
                            call.forEach(this::notSent);
                        }
                    });
        } else {
            loop.runInLaterPass(
                    () -> call.forEach(part -> end(part, CallResult.NOT_WRITTEN, null, null)));
        }
    }

    private boolean isListed(String node) {
        return pools.containsKey(node) && pools.get(node).incarnation != null;
    }

    /**
     * Tries again to send the deferred calls, as a connection may have room again, or may be closed
     * in favour of another.
     */
    private void sendDeferredCalls() {
        for (DeferredCall deferred : new ArrayList<>(deferredCalls)) {
            deferred.parts.stream()
                    .filter(part -> part.transmission.multiget.hasEnded())
                    .forEach(this::notSent);
            List<InFlightTransmission> remaining =
                    deferred.parts.stream().filter(part -> !part.isEnded).toList();
            NodeConnection connection =
                    remaining.isEmpty() ? null : connectionFor(deferred.node, remaining);
            if (connection != null) {
                connection.send(remaining);
            } else if (!isListed(deferred.node)) {
                remaining.forEach(this::notSent);
            } else if (!remaining.isEmpty()) {
                continue;
            }
            deferredCalls.remove(deferred);
        }
    }

    /** Sends a probe to a node, which may ask for its load; it ends within the connect timeout. */
    public void probe(String node) {
        loop.enterPass();
        Probe probe = new Probe(node);
        // The connection's own timer is started before the probe's: a connection that never comes
        // up ends the probe as NOT_WRITTEN, not as TIMED_OUT.
        NodeConnection connection = connectionFor(node, List.of());
        probe.timeoutTimer =
                loop.schedule(
                        options.connectTimeout(), () -> end(probe, CallResult.TIMED_OUT, null));
        if (connection != null) {
            connection.send(
                    probe, options.usesLoadProbes() ? NodeFrames.LOAD_PROBE : NodeFrames.PROBE);
        } else {
            // A listed node without a connection means that this program has reached its limit of
            // connections, which is no failure of the node.
            CallResult result = isListed(node) ? CallResult.NOT_SENT : CallResult.NOT_WRITTEN;
            loop.runInLaterPass(() -> end(probe, result, null));
        }
    }

    /** Withdraws a transmission; has no effect if it has ended. */
    public void withdraw(Transmission transmission) {
        InFlightTransmission withdrawn = inFlight.get(transmission);
        // Ended in a later pass, as this is called while the query router is still deciding.
        if (withdrawn != null) {
            loop.runInLaterPass(
                    () ->
                            end(
                                    withdrawn,
                                    withdrawn.frameWrite == null
                                            ? CallResult.NOT_SENT
                                            : CallResult.WITHDRAWN,
                                    null,
                                    null));
        }
    }

    /**
     * Returns a connection for a call, or for a probe if the call is empty. Opens one if none has
     * room, and also if a connection to the node broke recently, since a call should then not share
     * one. Returns null if the node is not listed, the limit of connections is reached, or the
     * machine has no socket for another.
     */
    private NodeConnection connectionFor(String node, List<InFlightTransmission> call) {
        ConnectionPool pool = pools.get(node);
        if (pool == null || pool.incarnation == null) {
            return null;
        }
        NodeConnection withRoom =
                pool.findConnection(call, options.maxPartsPerConnection(), loop.enterPass());
        boolean needsOwnConnection =
                withRoom != null
                        && withRoom.load() > 0
                        && !call.isEmpty()
                        && pool.brokeRecently(loop.enterPass())
                        && connectionCount < options.maxConnections().getAsInt();
        return withRoom != null && !needsOwnConnection ? withRoom : open(pool);
    }

    private NodeConnection open(ConnectionPool pool) {
        if (connectionCount >= options.maxConnections().getAsInt() && !closeLeastRecentlyUsed()) {
            if (!isLimitLogged) {
                LOG.warning(
                        "all "
                                + options.maxConnections().getAsInt()
                                + " connections to data nodes are in use");
                isLimitLogged = true;
            }
            return null;
        }
        NodeConnection connection = new NodeConnection(this, pool);
        pool.connections.add(connection);
        connectionCount++;
        ChannelFuture opening = connector.connect(connection, pool.incarnation.address());
        if (ConnectionAttempt.hasNoSocket(opening)) {
            // Says nothing about the node: what is to be sent waits as at the limit.
            events.record(Event.NODE_CONNECT_FAILED, pool.node, opening.cause());
            pool.connections.remove(connection);
            connectionCount--;
            loop.schedule(NO_SOCKET_RETRY_DELAY, this::sendDeferredCalls);
            return null;
        }
        connection.setChannel(opening.channel());
        events.record(Event.NODE_CONNECTING, pool.node, pool.incarnation.address());
        loop.schedule(
                options.connectTimeout(),
                () -> {
                    if (!opening.isDone()) {
                        connectTimeoutExceeded(connection, pool, opening);
                    }
                });
        ConnectionAttempt.onFailure(
                loop,
                opening,
                cause -> {
                    events.record(Event.NODE_CONNECT_FAILED, pool.node, cause);
                    connection.connectionLost();
                });
        return connection;
    }

    /**
     * Ends what waits for a connection that has not come up in time. One such connection to each
     * node goes on coming up for a while, as all handshakes with the node may be slow.
     */
    private void connectTimeoutExceeded(
            NodeConnection connection, ConnectionPool pool, ChannelFuture opening) {
        events.record(Event.NODE_CONNECT_FAILED, pool.node, "time-out");
        if (pool.hasLateConnection() || !connection.incarnation.equals(pool.incarnation)) {
            close(connection);
            return;
        }
        connection.connectTimeoutExceeded();
        loop.schedule(
                options.connectTimeout().times(LATE_CONNECT_FACTOR - 1),
                () -> {
                    if (!opening.isDone()) {
                        close(connection);
                    }
                });
    }

    /** Closes the idle connection that was not used for longest; false if none is idle. */
    private boolean closeLeastRecentlyUsed() {
        Optional<NodeConnection> leastRecentlyUsed =
                pools.values().stream()
                        .flatMap(pool -> pool.connections.stream())
                        .filter(NodeConnection::isIdle)
                        .min(Comparator.comparingLong(c -> c.lastUsedAt.micros()));
        leastRecentlyUsed.ifPresent(this::close);
        return leastRecentlyUsed.isPresent();
    }

    private void close(NodeConnection connection) {
        connection.close();
        connection.connectionLost();
    }

    /**
     * Closes idle connections that belong to an earlier incarnation, are silent, or have been
     * unused for longer than the idle timeout less two check intervals. On all connections, forgets
     * withdrawn transmissions that no longer matter. The node must not be the first to close: a
     * part written to a connection that it is closing is lost, and may have run.
     */
    private void closeIdle() {
        loop.schedule(IDLE_CHECK_INTERVAL, this::closeIdle);
        Time now = loop.enterPass();
        Span maxIdle = new Span(options.idleTimeout().micros() - IDLE_CHECK_INTERVAL.micros() * 2);
        for (ConnectionPool pool : new ArrayList<>(pools.values())) {
            for (NodeConnection c : new ArrayList<>(pool.connections)) {
                c.forgetWithdrawn(now.minus(IDLE_CHECK_INTERVAL), now.minus(MAX_ANSWER_DELAY));
                boolean isRetired = !c.incarnation.equals(pool.incarnation);
                if (c.isIdle()
                        && (isRetired
                                || c.isSilent()
                                || now.since(c.lastUsedAt).longerThan(maxIdle))) {
                    events.record(
                            Event.NODE_CLOSED_WHEN_IDLE,
                            c,
                            isRetired ? "retired" : c.isSilent() ? "silent" : "unused");
                    close(c);
                }
            }
            if (pool.incarnation == null && pool.connections.isEmpty()) {
                pools.remove(pool.node);
            }
        }
    }

    /** Lets connections give way while they hold more memory together than they may. */
    void limitMemory() {
        if (!memory.isExceeded()) {
            return;
        }
        List<NodeConnection> connections =
                pools.values().stream().flatMap(pool -> pool.connections.stream()).toList();
        memory.enforce(connections);
    }

    /** Returns how many withdrawn transmissions are remembered. */
    int withdrawnCount() {
        return pools.values().stream()
                .flatMap(pool -> pool.connections.stream())
                .mapToInt(NodeConnection::withdrawnCount)
                .sum();
    }

    /** Returns how many connections are open or being opened. */
    public int connectionCount() {
        return connectionCount;
    }

    void remove(NodeConnection connection, boolean answersWereAwaited) {
        for (ConnectionPool pool : pools.values()) {
            if (pool.connections.remove(connection)) {
                connectionCount--;
                retryDeferredCalls();
                if (answersWereAwaited) {
                    pool.connectionBroke(loop.enterPass());
                }
                return;
            }
        }
    }

    void answered(InFlightTransmission part, PartAnswer answer) {
        CallResult result =
                answer.status().equals(PartAnswer.OK)
                        ? CallResult.ANSWERED
                        : answer.status().equals(PartAnswer.BUSY)
                                ? CallResult.BUSY
                                : CallResult.ERROR;
        part.connection = null;
        end(part, result, result == CallResult.ANSWERED ? answer.value() : null, answer.load());
    }

    /**
     * Waits again for the answer to a part that was reported as answered; its time-out goes on.
     * Returns its value, or null if the answer has been used already.
     */
    String reopen(InFlightTransmission part) {
        String value = listener.transmissionReopened(part.transmission);
        if (value == null) {
            return null;
        }
        events.record(Event.NODE_ANSWER_REOPENED, part.id, part.transmission.node);
        part.isEnded = false;
        part.endedAt = null;
        inFlight.put(part.transmission, part);
        part.timeoutTimer =
                loop.schedule(
                        part.timeLeft(loop.enterPass()),
                        () -> end(part, CallResult.TIMED_OUT, null, null));
        return value;
    }

    void notSent(InFlightTransmission part) {
        end(part, CallResult.NOT_SENT, null, null);
    }

    void connectionLost(InFlightTransmission part) {
        part.connection = null;
        end(part, InFlightTransmission.endOnConnectionLoss(part.frameWrite), null, null);
    }

    void probeAnswered(Probe probe, String answer) {
        end(
                probe,
                answer.equals(PartAnswer.ERROR) ? CallResult.ERROR : CallResult.ANSWERED,
                LoadReport.parse(answer));
    }

    void connectionLost(Probe probe) {
        end(probe, InFlightTransmission.endOnConnectionLoss(probe.frameWrite), null);
    }

    private void retryDeferredCalls() {
        if (!deferredCalls.isEmpty()) {
            loop.runInLaterPass(this::sendDeferredCalls);
        }
    }

    private void end(InFlightTransmission part, CallResult result, String value, NodeLoad load) {
        if (part.isEnded) {
            return;
        }
        Time now = loop.enterPass();
        part.isEnded = true;
        part.endedAt = now;
        part.timeoutTimer.cancel();
        inFlight.remove(part.transmission);
        events.record(Event.TRANSMISSION_ENDED, part.id, result);
        if (part.connection != null) {
            part.connection.drop(part, options.withdrawalsAllowed());
        }
        retryDeferredCalls();
        listener.transmissionEnded(part.transmission, result, now.since(part.sentAt), value, load);
    }

    private void end(Probe probe, CallResult result, NodeLoad load) {
        if (!probe.isEnded) {
            loop.enterPass();
            probe.isEnded = true;
            probe.timeoutTimer.cancel();
            if (probe.connection != null) {
                probe.connection.noLongerAwaited();
            }
            listener.probeEnded(probe.node, result, load);
        }
    }
}
