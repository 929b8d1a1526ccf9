package gladewing.clients;

import gladewing.events.Event;
import gladewing.events.RouterEvents;
import gladewing.http.MessageReader;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryLimit;
import gladewing.lifecycle.RequestIds;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.routes.RouteTable;
import gladewing.sockets.ResilientServerSocketChannel;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * The HTTP server that clients connect to. It passes their multigets to a {@link MultigetListener},
 * and keeps the number of connections within the limit on descriptors. It is used on the event
 * loop's thread only.
 */
public final class HttpServer {
    private static final Logger LOG = Logger.getLogger(HttpServer.class.getName());

    private static final String VERSION_PATH = "/health/version";
    private static final Span CHECK_INTERVAL = Span.ofMillis(200);

    private static final Span STOP_ACCEPTING_RETRY_DELAY = Span.ofMillis(10);

    final Loop loop;
    final MultigetListener listener;
    final RequestReader reader;
    final RequestAdmission admission;
    final RouterEvents events;
    final LifecycleRules rules;

    /** What the connections have received and not finished, and responses that are not read. */
    final MemoryLimit memory;

    private final IntSupplier maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    /** Under which ids requests may begin. */
    final RequestIds ids;

    /** Null if no upgrade of a connection is supported. */
    private UpgradeHandler upgradeHandler;

    /** The body of the version page; null if there is no such page. */
    private Supplier<String> versionPage;

    /**
     * Upgraded connections. They have limits of their own, and do not count towards the limit on
     * HTTP connections.
     */
    private final Set<ClientConnection> upgraded = new LinkedHashSet<>();

    private ResilientServerSocketChannel acceptor;
    private boolean isReady;

    /** The time by which everything must be answered; null before the shutdown. */
    private Time finalDeadline;

    private boolean isDraining;

    /** Whether the limit is reached with no connection to close, so that none is accepted. */
    private boolean isFull;

    private boolean limitLogged;
    private boolean memoryLimitLogged;

    /**
     * @param maxConnections how many connections there may be at present
     * @param memory limit on what the connections hold
     */
    public HttpServer(
            Loop loop,
            ServedCatalog catalog,
            IntSupplier maxConnections,
            MemoryLimit memory,
            MultigetListener listener,
            RouterEvents events,
            LifecycleRules rules,
            RequestIds ids) {
        this.ids = ids;
        this.loop = loop;
        this.events = events;
        this.rules = rules;
        this.maxConnections = maxConnections;
        this.memory = memory;
        this.listener = listener;
        this.admission = new RequestAdmission(listener);
        this.reader = new RequestReader(catalog);
    }

    /**
     * Starts to accept connections; the result is done once the address is bound.
     *
     * @param bootstrap creates a {@link ResilientServerSocketChannel}
     */
    public ChannelFuture listen(ServerBootstrap bootstrap, InetSocketAddress address) {
        ChannelFuture bound =
                bootstrap
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(newConnectionHandler());
                                    }
                                })
                        .bind(address);
        acceptor = (ResilientServerSocketChannel) bound.channel();
        acceptor.setRoom(() -> maxConnections.getAsInt() - connections.size());
        loop.schedule(CHECK_INTERVAL, this::checkConnections);
        return bound;
    }

    /** Creates the handler for one more client's connection. */
    public ChannelHandler newConnectionHandler() {
        return new ClientConnection(this);
    }

    /**
     * Routes requests by this table from now on, or routes none if it is null. Multigets that were
     * accepted before keep their route.
     */
    public void setRoutes(RouteTable table) {
        admission.setRoutes(table);
    }

    /** Sets by which settings the parts of multigets accepted from now on are sent again. */
    public void setRetryPolicies(RetryPolicyLookup lookup) {
        admission.setRetryPolicies(lookup);
    }

    /** Sets what GET requests for /health/version are answered with. */
    public void setVersionPage(Supplier<String> body) {
        versionPage = body;
    }

    /** Returns null if the request is not for the version page, or there is no such page. */
    String versionPage(MessageReader request) {
        return versionPage != null && request.startLine().startsWith("GET " + VERSION_PATH + " ")
                ? versionPage.get()
                : null;
    }

    /**
     * Refuses new multigets of these products from now on; open ones are finished.
     *
     * @param products indices in the configuration
     */
    public void setClosedProducts(List<Integer> products) {
        admission.setClosedProducts(products);
    }

    public void setUpgradeHandler(UpgradeHandler handler) {
        upgradeHandler = handler;
    }

    /** Returns null if the request does not ask for an upgrade, or none is supported. */
    UpgradedConnection upgrade(
            ClientConnection connection, Channel channel, MessageReader request) {
        UpgradedConnection result =
                upgradeHandler == null ? null : upgradeHandler.upgrade(channel, request);
        if (result != null) {
            connections.remove(connection);
            upgraded.add(connection);
        }
        return result;
    }

    /** Reads what the selector may not have told of, and closes connections that have stalled. */
    private void checkConnections() {
        loop.schedule(CHECK_INTERVAL, this::checkConnections);
        Time now = loop.enterPass();
        acceptor.poll();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.pollIfUnwatched();
            connection.closeIfStalled(now);
        }
        new ArrayList<>(upgraded).forEach(ClientConnection::pollIfUnwatched);
        limitMemory();
    }

    /** Looks for the ends of connections with open multigets once more, in a pass that was long. */
    public void readOpenConnectionsAgain() {
        new ArrayList<>(connections).forEach(ClientConnection::readAgainIfOpen);
    }

    /** Lets connections give way while they hold more memory together than they may. */
    void limitMemory() {
        if (memory.enforce(connections) > 0 && !memoryLimitLogged) {
            LOG.warning(
                    "connections to clients held more than "
                            + memory.maxBytes()
                            + " bytes; those that held most had to give way");
            memoryLimitLogged = true;
        }
    }

    /** Sets how readiness checks are answered. */
    public void setReady(boolean ready) {
        isReady = ready;
    }

    boolean isReady() {
        return isReady;
    }

    /**
     * Sets the time by which all open and all further multigets must be answered, because the
     * process ends then.
     */
    public void setFinalDeadline(Time deadline) {
        finalDeadline = deadline;
        listener.setFinalDeadline(deadline);
    }

    /** Cuts the time that a client grants its request off at the final deadline. */
    Span limitToDeadline(Span timeLeft) {
        return finalDeadline == null
                ? timeLeft
                : Span.shortest(timeLeft, finalDeadline.since(loop.enterPass()));
    }

    /**
     * Whether connections are closed after their next response: while they are drained, and while
     * clients wait for a connection at the limit.
     */
    boolean closesAfterResponse() {
        return isDraining || isFull;
    }

    /**
     * Accepts what has come up, then closes the listener; connections that wait would be reset with
     * it. While accepting fails, the listener stays open until connections are drained.
     */
    public void stopAccepting() {
        boolean hasAccepted = true;
        while (hasAccepted) {
            hasAccepted = acceptor.poll();
        }
        if (acceptor.isFailing() && !isDraining) {
            loop.schedule(STOP_ACCEPTING_RETRY_DELAY, this::stopAccepting);
        } else {
            acceptor.close();
        }
    }

    /** Closes idle connections now, and each other one after its next response. */
    public void drainConnections() {
        isDraining = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.isIdle()) {
                events.record(Event.CLIENT_CLOSED_WHEN_DRAINING, connection, "idle");
                connection.close();
            }
        }
    }

    /** The number of HTTP connections, without those that were upgraded. */
    public int connectionCount() {
        return connections.size();
    }

    /** Whether there is no connection, upgraded ones included. */
    public boolean hasNoConnections() {
        return connections.isEmpty() && upgraded.isEmpty();
    }

    /**
     * Adds a connection. When the limit is reached, another one that serves no request is closed;
     * if there is none, no connection is accepted until one is closed.
     */
    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
        if (connections.size() < maxConnections.getAsInt()) {
            return;
        }
        Time now = loop.enterPass();
        ClientConnection evicted = null;
        for (ClientConnection c : connections) {
            int rank = c.evictionRank(now);
            if (c != connection
                    && rank >= 0
                    && (evicted == null
                            || rank < evicted.evictionRank(now)
                            || rank == evicted.evictionRank(now)
                                    && c.lastReadAt.before(evicted.lastReadAt))) {
                evicted = c;
            }
        }
        if (!limitLogged) {
            LOG.warning("all " + maxConnections.getAsInt() + " connections to clients are in use");
            limitLogged = true;
        }
        if (evicted != null) {
            // Removed from the count at once, because its close is reported only in a later pass
            // and more connections may be opened in this one.
            connections.remove(evicted);
            events.record(Event.CLIENT_EVICTED, evicted, "limit of connections");
            evicted.close();
        } else {
            isFull = true;
            acceptor.suspendAccepting();
        }
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        upgraded.remove(connection);
        isFull = false;
        acceptor.resumeAccepting();
    }
}
