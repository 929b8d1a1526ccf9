package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.config.Config;
import gladewing.router.Span;
import gladewing.router.Trace;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The process is held up between reading a request and sending its parts, and the client leaves
 * meanwhile. Guards against parts that are sent before the end of its connection is read.
 */
class HeldUpPassTest {
    private static final int HELD_UP_MILLIS = 300;
    private static final int BLOCKED_MILLIS = 150;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private ServeTestHarness.FakeDataNode node;
    private int port;
    @TempDir Path folder;

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        if (node != null) {
            node.close();
        }
    }

    private RouterRuntime startRuntime(String nodeEndpoint) throws Exception {
        ServeTestHarness.FakeDiscovery discovery = new ServeTestHarness.FakeDiscovery();
        String known = ServeTestHarness.target("a", nodeEndpoint, 0, "up");
        try (ServerSocket free = new ServerSocket(0, 1, ServeTestHarness.LOOPBACK)) {
            port = free.getLocalPort();
        }
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Trace.expected("serve-config.json")
                        .replace("\"ConnectTimeout\":250.0", "\"ConnectTimeout\":2500.0")
                        .replace("LISTEN", "127.0.0.1:" + port)
                        .replace("DISCOVERY", "127.0.0.1:" + discovery.listener.getLocalPort())
                        .replace(
                                "\"KNOWN\"",
                                "{\"rev\":1,\"all\":true,\"targets\":[" + known + "]}"));
        Config config = Config.read(file.toString());
        Bootstrap bootstrap = RouterRuntime.bootstrap(thread);
        RouterRuntime runtime =
                thread.submit(
                                () ->
                                        new RouterRuntime(
                                                thread,
                                                config,
                                                (handler, to) ->
                                                        bootstrap
                                                                .clone()
                                                                .handler(handler)
                                                                .connect(to),
                                                null))
                        .get();
        thread.submit(runtime::start).get().sync();
        return runtime;
    }

    private static byte[] request(String id) {
        String body = "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"c4\"}";
        return ("POST /report HTTP/1.1\r\nX-Request-ID: "
                        + id
                        + "\r\nX-Timeout-Ms: 3000\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private Socket connect() throws Exception {
        return new Socket(
                new InetSocketAddress(ServeTestHarness.LOOPBACK, port).getAddress(), port);
    }

    @Test
    void sendsNothingForAClientThatLeftWhileThePassWasHeldUp() throws Exception {
        node = new ServeTestHarness.FakeDataNode();
        RouterRuntime runtime = startRuntime(node.endpoint());
        Socket first = connect();
        first.getOutputStream().write(request("first"));
        node.nextFrame().answer("first.0", "ok", "zero");
        assertTrue(first.getInputStream().read() > 0);
        Socket leaving = connect();
        Thread.sleep(50);
        // The thread is blocked until both the request and the timer that holds the pass up are
        // due,
        // so that one pass has both.
        thread.execute(
                () -> {
                    runtime.loop().schedule(Span.ofMillis(1), () -> sleep(HELD_UP_MILLIS));
                    sleep(BLOCKED_MILLIS);
                });
        Thread.sleep(BLOCKED_MILLIS / 3);
        leaving.getOutputStream().write(request("left"));
        Thread.sleep(BLOCKED_MILLIS);
        leaving.close();
        Thread.sleep(2 * HELD_UP_MILLIS);
        Socket other = connect();
        other.getOutputStream().write(request("other"));
        ServeTestHarness.FakeDataNode.Frame frame = node.frames.poll(5, TimeUnit.SECONDS);
        assertNotNull(frame);
        assertEquals(List.of("Q other.0 0 2|c4"), List.of(frame.toString()));
        other.close();
        first.close();
    }

    /**
     * A request waits behind another, which is answered before the process is held up; its client
     * leaves meanwhile.
     */
    @Test
    void beginsNoWaitingRequestOfAClientThatLeftWhileThePassWasHeldUp() throws Exception {
        node = new ServeTestHarness.FakeDataNode();
        RouterRuntime runtime = startRuntime(node.endpoint());
        Socket leaving = connect();
        leaving.getOutputStream().write(request("first"));
        leaving.getOutputStream().write(request("left"));
        ServeTestHarness.FakeDataNode.Frame first = node.nextFrame();
        thread.execute(
                () -> {
                    runtime.loop().schedule(Span.ofMillis(1), () -> sleep(HELD_UP_MILLIS));
                    sleep(BLOCKED_MILLIS);
                });
        Thread.sleep(BLOCKED_MILLIS / 3);
        first.answer("first.0", "ok", "zero");
        Thread.sleep(BLOCKED_MILLIS);
        leaving.close();
        ServeTestHarness.FakeDataNode.Frame frame =
                node.frames.poll(3 * HELD_UP_MILLIS, TimeUnit.MILLISECONDS);
        assertNull(frame, () -> "sent after the client had left: " + frame);
    }

    /**
     * A part waits for its connection, which comes up just before its client leaves, and both are
     * read in one pass.
     */
    @Test
    void sendsNothingForAClientThatLeftWhenTheConnectionForItCameUp() throws Exception {
        // The system drops what is sent to connect while the backlog is full, and repeats it after
        // a second.
        try (ServerSocket listener = new ServerSocket(0, 1, ServeTestHarness.LOOPBACK)) {
            startRuntime("127.0.0.1:" + listener.getLocalPort());
            for (int i = 0; i < 2; i++) {
                new Socket(ServeTestHarness.LOOPBACK, listener.getLocalPort());
            }
            Socket leaving = connect();
            leaving.getOutputStream().write(request("left"));
            Thread.sleep(300);
            listener.accept();
            listener.accept();
            thread.execute(() -> sleep(1200));
            Socket toNode = listener.accept();
            leaving.close();
            toNode.setSoTimeout(2500);
            assertEquals(-1, firstByte(toNode));
        }
    }

    /** The first byte that arrives; -1 if there is none in time. */
    private static int firstByte(Socket socket) throws Exception {
        try {
            return socket.getInputStream().read();
        } catch (SocketTimeoutException none) {
            return -1;
        }
    }

    private static void sleep(int millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
