package gladewing.serve;

import gladewing.clients.HttpServer;
import gladewing.clients.MultigetListener;
import gladewing.clients.RetryPolicyLookup;
import gladewing.clients.ServedCatalog;
import gladewing.config.Config;
import gladewing.decisions.AcceptedMultiget;
import gladewing.decisions.Actions;
import gladewing.decisions.CallResult;
import gladewing.decisions.Decisions;
import gladewing.decisions.NodeTable;
import gladewing.decisions.Transmission;
import gladewing.discovery.DiscoveryListener;
import gladewing.discovery.DiscoveryWatcher;
import gladewing.discovery.NodeListUpdate;
import gladewing.events.Event;
import gladewing.events.RouterEvents;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryLimit;
import gladewing.lifecycle.RequestIds;
import gladewing.loop.Loop;
import gladewing.nodes.Connector;
import gladewing.nodes.NodeClient;
import gladewing.nodes.NodeClientOptions;
import gladewing.nodes.NodeEventListener;
import gladewing.router.NodeLoad;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.routes.RouteTable;
import gladewing.sessionsockets.SessionServer;
import gladewing.sockets.ResilientServerSocketChannel;
import gladewing.sockets.SocketFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Logger;

/**
 * One running router: connects the HTTP server, the connections to data nodes and discovery with
 * the module that decides. Everything runs on one event loop; unless a method says otherwise, it is
 * called on the loop's thread.
 */
final class RouterRuntime
        implements Loop.PassListener, MultigetListener, NodeEventListener, DiscoveryListener {
    private static final Logger LOG = Logger.getLogger(RouterRuntime.class.getName());

    /**
     * Descriptors for everything but connections of clients and to data nodes: the jar and the
     * class data archive, the selector, the listening socket and discovery.
     */
    private static final int RESERVED_DESCRIPTORS = 64;

    /** How many connections may wait to be accepted. */
    private static final int LISTEN_BACKLOG = 512;

    /**
     * A connection behind a full backlog is accepted within a few passes, however long they are.
     */
    private static final int MAX_ACCEPTED_PER_PASS = 128;

    /** How long the router waits for the first list of discovery if it already knows nodes. */
    private static final Span FIRST_LIST_WAIT = Span.ofMillis(1000);

    /** Shortest time between two rereads of the configuration while discovery fails. */
    private static final Span CONFIG_REREAD_INTERVAL = Span.ofMillis(1000);

    private final Loop loop;
    private final EventLoop thread;
    private final Decisions decisions;
    private final HttpServer httpServer;
    private final NodeClient nodeClient;
    private final DiscoveryWatcher discoveryWatcher;
    private final GracefulShutdown shutdown;
    private final DescriptorBudget descriptors;
    private final MultigetMemory multigetMemory;
    private final RouterEvents events = new RouterEvents();
    private final LifecycleRules rules = new LifecycleRules(this::ruleViolated);

    /** Null without long-lived sessions. */
    private final SessionServer live;

    private Config config;
    private Runnable discoveryFailureAction = () -> {};
    private Time configRereadAt;

    /**
     * The address of discovery from a version of the control service; null if that of the
     * configuration is used.
     */
    private InetSocketAddress discoveryOverride;

    /** Null without a control service. */
    private NodeListCache nodeListCache;

    private boolean isStarted;
    private long finished;
    private long dismissed;
    private long givenUp;

    private final NodeListApplier nodeLists;

    /**
     * @param connector opens connections to data nodes
     * @param sessions null to run without long-lived sessions
     */
    RouterRuntime(EventLoop thread, Config config, Connector connector, SessionConfig sessions) {
        this.thread = thread;
        this.config = config;
        loop = new Loop(thread);
        decisions = new Decisions(config.settings(), config.seed(), Loop.readClock());
        descriptors =
                new DescriptorBudget(
                        config.sockets(),
                        RESERVED_DESCRIPTORS
                                + (sessions == null ? 0 : sessions.settings.descriptors()));
        MemoryBudget memory = MemoryBudget.ofThisProcess();
        Config.Connections limits = config.connections();
        nodeClient =
                new NodeClient(
                        loop,
                        connector,
                        new NodeClientOptions(
                                limits.partsPerConnection(),
                                limits.partsPerCall(),
                                limits.connectTimeOut(),
                                limits.idle(),
                                this::maxNodeConnections,
                                config.settings().permissions().withdrawals(),
                                limits.loadProbes()),
                        new MemoryLimit(memory.nodeConnections()),
                        this,
                        events,
                        rules);
        nodeLists =
                new NodeListApplier(
                        nodeClient, System.currentTimeMillis() * 1000 - Loop.readClock().micros());
        ServedCatalog catalog =
                new ServedCatalog(
                        config.products(),
                        config.settings().products().stream()
                                .map(Settings.Product::effect)
                                .toList(),
                        config.tenants(),
                        config.shards());
        multigetMemory =
                new MultigetMemory(new MemoryLimit(memory.multigets()), this::maxClientConnections);
        httpServer =
                new HttpServer(
                        loop,
                        catalog,
                        this::maxClientConnections,
                        new MemoryLimit(memory.clientConnections()),
                        this,
                        events,
                        rules,
                        new RequestIds(config.seed()));
        discoveryWatcher =
                new DiscoveryWatcher(
                        loop,
                        bootstrap(thread),
                        config.discovery(),
                        config.settings().shards().cells(),
                        this,
                        events);
        Span longestTimeLimit = Span.ZERO;
        for (Settings.Product product : config.settings().products()) {
            longestTimeLimit = Span.longest(longestTimeLimit, product.timeLimit());
        }
        shutdown = new GracefulShutdown(loop, httpServer, longestTimeLimit, events);
        live =
                sessions == null
                        ? null
                        : new SessionServer(loop, connector, decisions, sessions.settings, config);
        if (live != null) {
            httpServer.setUpgradeHandler(live);
            shutdown.setSessionShutdown(live::startShutdown);
        }
        loop.start(this);
    }

    private void ruleViolated(LifecycleRules.Violation violation) {
        if (!isStarted) {
            // The warm-up is slow, and sends nothing.
            return;
        }
        if (events.count(Event.RULE_VIOLATED) == 0) {
            LOG.severe("a rule was broken: " + violation);
        }
        events.record(Event.RULE_VIOLATED, violation, "");
    }

    private int maxNodeConnections() {
        return descriptors.forNodes(httpServer.connectionCount());
    }

    private int maxClientConnections() {
        return descriptors.forClients(nodeClient.connectionCount());
    }

    /** The number of descriptors for all connections, of clients and to data nodes. */
    static int connectionDescriptors(Config config) {
        return config.sockets() - RESERVED_DESCRIPTORS;
    }

    static Bootstrap bootstrap(EventLoop thread) {
        return new Bootstrap()
                .group(thread)
                .channelFactory(SocketFactory::newSocket)
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /** Creates the handler for one more client's connection. */
    ChannelHandler newClientHandler() {
        return httpServer.newConnectionHandler();
    }

    /**
     * Starts discovery and the HTTP server; the result is done once the address is bound. The first
     * list of data nodes is that of the configuration or, if it is empty, the saved one.
     */
    ChannelFuture start() {
        isStarted = true;
        loop.enterPass();
        NodeListUpdate knownNodes =
                NodeListUpdate.parse(config.knownNodes(), config.settings().shards().cells());
        if (knownNodes.entries().isEmpty()
                && nodeListCache != null
                && nodeListCache.saved() != null) {
            knownNodes = nodeListCache.saved();
        }
        applyNodeList(knownNodes);
        discoveryWatcher.start();
        // If discovery does not answer, the router serves by the list that it knows.
        if (!knownNodes.entries().isEmpty()) {
            loop.schedule(FIRST_LIST_WAIT, this::becomeReady);
        }
        return httpServer.listen(
                new ServerBootstrap()
                        .group(thread)
                        .channelFactory(ResilientServerSocketChannel::new)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_ACCEPTED_PER_PASS))
                        .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false)),
                config.listen());
    }

    /** Routes requests by this table from now on; null for no routes. */
    void setRoutes(RouteTable table) {
        httpServer.setRoutes(table);
    }

    /** Sets how the parts of multigets accepted from now on are sent again; null for defaults. */
    void setRetryPolicies(RetryPolicyLookup lookup) {
        httpServer.setRetryPolicies(lookup);
    }

    /**
     * Takes over a configuration that was read again. Only the address of discovery can change
     * without a restart; other changes are logged.
     */
    void reconfigure(Config newConfig) {
        loop.enterPass();
        List<String> fixedSettings = config.changesNeedingRestart(newConfig);
        if (!fixedSettings.isEmpty()) {
            LOG.warning(
                    "configuration: a change of "
                            + String.join(", ", fixedSettings)
                            + " needs a new start");
        }
        if (discoveryOverride != null) {
            LOG.info(
                    "configuration read anew: the version in force sets discovery to "
                            + discoveryOverride);
        } else if (newConfig.discovery().equals(config.discovery())) {
            LOG.info("configuration read anew: discovery stays at " + newConfig.discovery());
        } else {
            LOG.info("configuration read anew: discovery is at " + newConfig.discovery());
            discoveryWatcher.moveTo(newConfig.discovery());
        }
        config = newConfig;
    }

    /**
     * Sets what is run while discovery fails, at most once per second: it reads the configuration
     * again and calls {@link #configReread}. Called on any thread before {@link #start}.
     */
    void onDiscoveryFailure(Runnable action) {
        discoveryFailureAction = action;
    }

    /** Takes over a configuration that was read again without a signal, if discovery has moved. */
    void configReread(Config newConfig) {
        if (!newConfig.discovery().equals(config.discovery())) {
            reconfigure(newConfig);
        }
    }

    /** Sets another address of discovery than the configuration's; null for the configuration's. */
    void setDiscoveryOverride(InetSocketAddress address) {
        InetSocketAddress oldAddress =
                discoveryOverride == null ? config.discovery() : discoveryOverride;
        discoveryOverride = address;
        InetSocketAddress newAddress = address == null ? config.discovery() : address;
        if (!newAddress.equals(oldAddress)) {
            discoveryWatcher.moveTo(newAddress);
        }
    }

    /** Sets where the list of data nodes is recorded from now on. */
    void setNodeListCache(NodeListCache cache) {
        nodeListCache = cache;
    }

    HttpServer httpServer() {
        return httpServer;
    }

    /** Null without long-lived sessions. */
    SessionServer live() {
        return live;
    }

    Loop loop() {
        return loop;
    }

    /** The number of multigets that were answered, completely or in part. */
    long finished() {
        return finished;
    }

    long dismissed() {
        return dismissed;
    }

    long givenUp() {
        return givenUp;
    }

    /** The number of open multigets, by the index of their product. */
    int[] openByProduct() {
        return decisions.openByProduct(config.products().size());
    }

    @Override
    public void passBegan(Time now) {
        decisions.beginTurn(now);
    }

    @Override
    public void passEnded() {
        if (rules.mustReadAgain(loop.passDuration())) {
            events.record(Event.PASS_LONG, loop.passDuration(), "");
            httpServer.readOpenConnectionsAgain();
        }
        carryOut(decisions.endTurn());
    }

    @Override
    public boolean mayAccept(int payloadBytes) {
        boolean mayAccept = multigetMemory.mayAccept(payloadBytes);
        if (!mayAccept) {
            events.record(Event.REQUEST_OVER_MEMORY, payloadBytes, "");
        }
        return mayAccept;
    }

    @Override
    public void multigetReceived(AcceptedMultiget multiget) {
        multigetMemory.accepted(multiget);
        carryOut(decisions.accept(multiget));
    }

    @Override
    public void setFinalDeadline(Time deadline) {
        decisions.limitDeadlines(deadline);
    }

    @Override
    public void limitDeadline(AcceptedMultiget multiget, Time deadline) {
        decisions.limitDeadline(multiget, deadline);
    }

    @Override
    public void clientDisconnected(AcceptedMultiget multiget) {
        carryOut(decisions.clientLeft(multiget));
        multigetMemory.ended(multiget);
    }

    @Override
    public void transmissionEnded(
            Transmission transmission, CallResult result, Span took, String value, NodeLoad load) {
        AcceptedMultiget multiget = transmission.multiget;
        if (value != null && !multigetMemory.mayStore(multiget, value)) {
            // The part has run, but its value can't be kept.
            events.record(Event.VALUE_OVER_MEMORY, multiget.id, value.length());
            carryOut(decisions.transmissionEnded(transmission, CallResult.ERROR, took, null, load));
            return;
        }
        long bytesBefore = multiget.heldBytes();
        Actions actions = decisions.transmissionEnded(transmission, result, took, value, load);
        multigetMemory.changed(multiget, bytesBefore);
        carryOut(actions);
    }

    @Override
    public String transmissionReopened(Transmission transmission) {
        long bytesBefore = transmission.multiget.heldBytes();
        String value = decisions.reopen(transmission);
        multigetMemory.changed(transmission.multiget, bytesBefore);
        return value;
    }

    @Override
    public void probeEnded(String node, CallResult result, NodeLoad load) {
        carryOut(decisions.probeEnded(node, result, load));
    }

    @Override
    public void nodeListUpdated(NodeListUpdate update) {
        applyNodeList(update);
        becomeReady();
    }

    @Override
    public void discoveryFailed() {
        carryOut(decisions.nodeListFailed());
        Time now = loop.enterPass();
        if (configRereadAt == null
                || now.since(configRereadAt).longerThan(CONFIG_REREAD_INTERVAL)) {
            configRereadAt = now;
            discoveryFailureAction.run();
        }
    }

    private void becomeReady() {
        if (!shutdown.hasBegun()) {
            httpServer.setReady(true);
        }
    }

    /** Called on any thread. */
    GracefulShutdown shutdown() {
        return shutdown;
    }

    /** Passes a list of data nodes on to the decisions and the connections. */
    private void applyNodeList(NodeListUpdate update) {
        if (nodeListCache != null) {
            nodeListCache.update(update);
        }
        List<NodeTable.Entry<String>> entries = nodeLists.entries(update);
        nodeLists.applyToConnections(update);
        carryOut(decisions.nodeListReceived(update.isSnapshot(), entries));
        if (live != null) {
            nodeLists.applyToSessions(update, entries, live);
        }
    }

    /**
     * Sends the final answers, and passes what is to be sent or withdrawn to the connections. None
     * of these actions is decided again, so a fault in one must not lose the others.
     */
    private void carryOut(Actions actions) {
        for (Actions.FinalAnswer finalAnswer : actions.finalAnswers) {
            loop.runGuarded(() -> deliver(finalAnswer));
        }
        for (Transmission withdrawn : actions.withdrawals) {
            loop.runGuarded(() -> nodeClient.withdraw(withdrawn));
        }
        if (!actions.transmissions.isEmpty()) {
            loop.runGuarded(() -> nodeClient.transmit(actions.transmissions));
        }
        for (String node : actions.probes) {
            loop.runGuarded(() -> nodeClient.probe(node));
        }
        if (actions.timerDelay != null) {
            loop.schedule(actions.timerDelay, decisions::timerFired);
        }
    }

    private void deliver(Actions.FinalAnswer finalAnswer) {
        answer(finalAnswer);
        multigetMemory.ended(finalAnswer.multiget());
    }

    private void answer(Actions.FinalAnswer finalAnswer) {
        switch (finalAnswer.kind()) {
            case WHOLE, PARTIAL -> {
                finished++;
                finalAnswer.multiget().answered(finalAnswer.kind() == Actions.Kind.WHOLE);
            }
            case DISMISSED -> {
                dismissed++;
                finalAnswer.multiget().dismissed(finalAnswer.retryAfter());
            }
            default -> {
                givenUp++;
                finalAnswer.multiget().givenUp();
            }
        }
    }
}
