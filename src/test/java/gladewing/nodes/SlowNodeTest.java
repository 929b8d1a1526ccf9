package gladewing.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladewing.router.Span;
import gladewing.router.Trace;
import gladewing.serve.ServeTestHarness.FakeDataNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Data nodes that take longer than the connect timeout for a handshake, or for a probe. */
class SlowNodeTest extends NodeClientHarness {
    private static final Span CONNECT_TIMEOUT = Span.ofMillis(200);

    private final AtomicInteger handshakes = new AtomicInteger();
    private volatile long handshakeMillis;

    @Override
    ChannelFuture connect(Bootstrap bootstrap, ChannelHandler handler, InetSocketAddress address) {
        handshakes.incrementAndGet();
        Channel channel = bootstrap.clone().handler(handler).register().channel();
        ChannelPromise connected = channel.newPromise();
        channel.eventLoop()
                .schedule(
                        () -> channel.connect(address, connected),
                        handshakeMillis,
                        TimeUnit.MILLISECONDS);
        return connected;
    }

    private String nextEnd() throws InterruptedException {
        return endsReported.poll(30, TimeUnit.SECONDS);
    }

    /**
     * Guards against a node that is never reached, as each of its handshakes is given up and begun
     * anew: the connection that was late serves the next call.
     */
    @Test
    void aHandshakeThatIsLateEveryTimeServesLaterCalls() throws Exception {
        handshakeMillis = 600;
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, CONNECT_TIMEOUT);
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 1, 0), 0, LONG));
            assertEquals("1.0 NOT_WRITTEN", nextEnd());
            transmit(to("n", Trace.silentMultiget("2", 1, 0), 0, LONG));
            assertEquals("2.0 NOT_WRITTEN", nextEnd());
            Thread.sleep(400);
            transmit(to("n", Trace.silentMultiget("3", 1, 0), 0, LONG));
            node.nextFrame().answer("3.0", "ok", "three");
            assertEquals("3.0 ANSWERED three", nextEnd());
            assertEquals(2, handshakes.get(), "handshakes");
            assertEquals(1, client.connectionCount(), "connections");
        }
    }

    /** A node that has gone or begun to drain meanwhile gets nothing on a late connection. */
    @Test
    void aLateConnectionToANodeThatHasGoneIsClosed() throws Exception {
        handshakeMillis = 600;
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, CONNECT_TIMEOUT);
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 1, 0), 0, LONG));
            assertEquals("1.0 NOT_WRITTEN", nextEnd());
            run(() -> client.removeNode("n"));
            Thread.sleep(1600);
            assertEquals(0, client.connectionCount(), "connections");
            assertEquals(true, node.hasNoFrames());
        }
    }

    /** A handshake that never ends is given up, and holds no descriptor for ever. */
    @Test
    void aHandshakeThatNeverEndsIsGivenUp() throws Exception {
        handshakeMillis = 60_000;
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, CONNECT_TIMEOUT);
            putNode("n", node.port());
            for (int i = 1; i <= 3; i++) {
                transmit(to("n", Trace.silentMultiget("" + i, 1, 0), 0, LONG));
                assertEquals(i + ".0 NOT_WRITTEN", nextEnd());
                assertEquals(1, client.connectionCount(), "connections");
            }
            Thread.sleep(2000);
            assertEquals(0, client.connectionCount(), "connections");
        }
    }

    /** A connection that is late gives way where no more may be open. */
    @Test
    void aLateConnectionGivesWayAtTheLimit() throws Exception {
        handshakeMillis = 600;
        try (FakeDataNode slow = new FakeDataNode();
                FakeDataNode other = new FakeDataNode()) {
            start(1, true, LONG, CONNECT_TIMEOUT);
            putNode("slow", slow.port());
            putNode("other", other.port());
            transmit(to("slow", Trace.silentMultiget("1", 1, 0), 0, LONG));
            assertEquals("1.0 NOT_WRITTEN", nextEnd());
            handshakeMillis = 0;
            transmit(to("other", Trace.silentMultiget("2", 1, 0), 0, LONG));
            other.nextFrame().answer("2.0", "ok", "two");
            assertEquals("2.0 ANSWERED two", nextEnd());
        }
    }
}
