package gladewing.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import gladewing.decisions.AcceptedMultiget;
import gladewing.decisions.CallResult;
import gladewing.decisions.Transmission;
import gladewing.events.RouterEvents;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryLimit;
import gladewing.loop.Loop;
import gladewing.router.NodeLoad;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.SocketFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/** Runs a client of data nodes on a loop of its own, and records what it reports. */
abstract class NodeClientHarness implements NodeEventListener, Loop.PassListener {
    static final Span LONG = Span.ofMillis(60_000);

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop thread = group.next();
    final BlockingQueue<String> endsReported = new LinkedBlockingQueue<>();
    final Queue<LifecycleRules.Violation> violations = new ConcurrentLinkedQueue<>();
    final Map<Transmission, String> values = new ConcurrentHashMap<>();
    final StringBuilder trace = new StringBuilder();
    NodeClient client;
    MemoryLimit memory = new MemoryLimit(Long.MAX_VALUE);

    @Override
    public void passBegan(Time now) {}

    @Override
    public void passEnded() {}

    @Override
    public void transmissionEnded(
            Transmission t, CallResult end, Span elapsed, String value, NodeLoad load) {
        if (value != null) {
            values.put(t, value);
        }
        endsReported.add(
                t.multiget.id + "." + t.part + " " + end + (value == null ? "" : " " + value));
    }

    @Override
    public String transmissionReopened(Transmission t) {
        endsReported.add(t.multiget.id + "." + t.part + " reopened");
        return values.get(t);
    }

    @Override
    public void probeEnded(String node, CallResult end, NodeLoad load) {
        endsReported.add(
                "probe of " + node + " " + end + (load == null ? "" : " " + load.queuedParts()));
    }

    void start(int maxConnections, boolean withdrawalsAllowed, Span idleTimeout) throws Exception {
        start(maxConnections, withdrawalsAllowed, idleTimeout, Span.ofMillis(2000));
    }

    void start(
            int maxConnections, boolean withdrawalsAllowed, Span idleTimeout, Span connectTimeout)
            throws Exception {
        run(
                () -> {
                    Loop loop = new Loop(thread);
                    loop.start(this);
                    Bootstrap bootstrap =
                            new Bootstrap()
                                    .group(thread)
                                    .channelFactory(SocketFactory::newSocket)
                                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
                    client =
                            new NodeClient(
                                    loop,
                                    (handler, address) -> connect(bootstrap, handler, address),
                                    new NodeClientOptions(
                                            4,
                                            2,
                                            connectTimeout,
                                            idleTimeout,
                                            () -> maxConnections,
                                            withdrawalsAllowed,
                                            true),
                                    memory,
                                    this,
                                    new RouterEvents(),
                                    new LifecycleRules(violations::add));
                });
    }

    /** Opens a connection to a data node. */
    ChannelFuture connect(Bootstrap bootstrap, ChannelHandler handler, InetSocketAddress address) {
        return bootstrap.clone().handler(handler).connect(address);
    }

    /** Runs a task on the loop's thread and waits for its end. */
    void run(Runnable task) throws Exception {
        thread.submit(task).get();
    }

    void putNode(String node, int port) throws Exception {
        putNode(node, port, 0);
    }

    void putNode(String node, int port, long startedAtMillis) throws Exception {
        run(() -> client.putNode(node, new InetSocketAddress("127.0.0.1", port), startedAtMillis));
    }

    static Transmission to(String node, AcceptedMultiget multiget, int part, Span timeOut) {
        return new Transmission(multiget, part, node, timeOut, 0, 0);
    }

    void transmit(Transmission... transmissions) throws Exception {
        run(() -> client.transmit(List.of(transmissions)));
    }

    void addToTrace(String what, Object value) {
        trace.append(what).append(": ").append(value).append('\n');
    }

    /** Waits for the end of the next transmission or probe, and records it. */
    void recordNextEnd() throws InterruptedException {
        String end = endsReported.poll(30, TimeUnit.SECONDS);
        assertNotNull(end, "the end of a transmission or probe");
        addToTrace("end", end);
    }

    @AfterEach
    void stop() {
        assertEquals(List.of(), List.copyOf(violations));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
