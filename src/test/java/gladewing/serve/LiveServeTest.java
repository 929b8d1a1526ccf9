package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.net.http.WebSocketHandshakeException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Live sessions through a running router, with the JDK's WebSocket client and fake data nodes. */
class LiveServeTest extends ServeTestHarness {
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private final List<FakeSessionNode> nodes = new ArrayList<>();

    /** A client with a session over the JDK's WebSocket; it queues what it receives. */
    private final class SessionClient implements WebSocket.Listener {
        final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        final WebSocket socket;

        private final StringBuilder partialText = new StringBuilder();

        /** Whether it goes on reading after the next message. */
        volatile boolean reads = true;

        SessionClient(String path) {
            socket =
                    HTTP.newWebSocketBuilder()
                            .buildAsync(URI.create("ws://127.0.0.1:" + port + path), this)
                            .join();
        }

        @Override
        public CompletionStage<?> onText(WebSocket sender, CharSequence text, boolean isLast) {
            partialText.append(text);
            if (isLast) {
                received.add(partialText.toString());
                partialText.setLength(0);
            }
            if (reads || !isLast) {
                sender.request(1);
            }
            return null;
        }

        @Override
        public CompletionStage<?> onClose(WebSocket sender, int code, String reason) {
            received.add("close " + code);
            return null;
        }

        @Override
        public void onError(WebSocket sender, Throwable error) {
            received.add("error " + error);
        }

        SessionClient send(int shard, int number, String data) {
            socket.sendText(
                            "{\"shard\":"
                                    + shard
                                    + ",\"n\":"
                                    + number
                                    + ",\"data\":\""
                                    + data
                                    + "\"}",
                            true)
                    .join();
            return this;
        }

        String next() throws InterruptedException {
            return received.poll(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private FakeSessionNode startNode() throws Exception {
        nodes.add(new FakeSessionNode());
        return nodes.get(nodes.size() - 1);
    }

    /** Starts the router with two nodes, one for each cell, and lines to add to its settings. */
    private void startWithSessions(String settings) throws Exception {
        Path live = folder.resolve("live.ini");
        Files.writeString(live, "[live]\non = yes\nsessions = 20\nlegs = 50\n" + settings);
        serveArguments.addAll(List.of("--live", live.toString()));
        start("{\"rev\":1,\"all\":true,\"targets\":[]}", 256);
        startNode();
        startNode();
        discovery.setList(
                7,
                true,
                target("a", nodes.get(0).endpoint(), 0, "up"),
                target("b", nodes.get(1).endpoint(), 1, "up"));
        awaitReady("200");
    }

    @AfterEach
    void stopNodes() throws Exception {
        for (FakeSessionNode node : nodes) {
            node.close();
        }
    }

    /** The status of a handshake, and whether it has a Retry-After. */
    private static String handshakeStatus(Runnable handshake) {
        try {
            handshake.run();
            return "101";
        } catch (CompletionException refused) {
            return refused.getCause() instanceof WebSocketHandshakeException failure
                    ? failure.getResponse().statusCode()
                            + (failure.getResponse().headers().firstValue("Retry-After").isPresent()
                                    ? " come back later"
                                    : "")
                    : refused.getCause().toString();
        }
    }

    /**
     * Guards against messages that begin and do not end, in many sessions at once, and so use up
     * the heap: the one that has been incomplete longest ends its session.
     */
    @Test
    void incompleteMessagesGiveWayWhenTheyHoldTooMuchMemory() throws Exception {
        startWithSessions("held-bytes = 16384\nheld-bytes-in-all = 40000\n");
        List<SessionClient> stuck = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            SessionClient client = new SessionClient("/sheet/live?shards=0");
            client.socket.sendText("{\"shard\":0,\"n\":1,\"data\":\"" + "x".repeat(15_000), false);
            stuck.add(client);
        }
        assertEquals("close 1013", stuck.get(0).next());
        SessionClient sound = new SessionClient("/sheet/live?shards=1");
        assertEquals("{\"shard\":1,\"resume\":0,\"sent\":0}", nodes.get(1).next());
        sound.send(1, 1, "one");
        assertEquals("{\"shard\":1,\"n\":1,\"data\":\"one\"}", nodes.get(1).next());
        assertTrue(stuck.get(3).received.isEmpty());
    }

    /** Guards against messages that reach the other side with another text than was sent. */
    @Test
    void refusesMessagesThatCannotBePassedOnUnchanged() throws Exception {
        startWithSessions("");
        SessionClient client = new SessionClient("/sheet/live?shards=0");
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":0}", nodes.get(0).next());
        client.send(0, 1, "a\\ud800b");
        assertEquals("close 1008", client.next());
    }

    /**
     * When a node drains, its legs move to another node of the cell. Messages keep their order, and
     * none is lost.
     */
    @Test
    void keepsTheOrderOfMessagesWhenALegMoves() throws Exception {
        startWithSessions("");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0,1");
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":0}", first.next());
        assertEquals("{\"shard\":1,\"resume\":0,\"sent\":0}", nodes.get(1).next());
        client.send(0, 1, "one").send(1, 1, "other");
        assertEquals("{\"shard\":0,\"n\":1,\"data\":\"one\"}", first.next());
        assertEquals("{\"shard\":1,\"n\":1,\"data\":\"other\"}", nodes.get(1).next());
        List<String> acks = new ArrayList<>(List.of(client.next(), client.next()));
        acks.sort(null);
        assertEquals(List.of("{\"shard\":0,\"ack\":1}", "{\"shard\":1,\"ack\":1}"), acks);
        first.sendToAll("{\"shard\":0,\"n\":1,\"data\":\"done\"}");
        assertEquals("{\"shard\":0,\"n\":1,\"data\":\"done\"}", client.next());
        // The node drains, and there is another one in its cell. The client must not notice the
        // move.
        FakeSessionNode second = startNode();
        discovery.setList(
                8,
                false,
                target("a", first.endpoint(), 0, "draining"),
                target("c", second.endpoint(), 0, "up"));
        long drainedAt = System.nanoTime();
        assertEquals("{\"shard\":0,\"resume\":1,\"sent\":1}", second.next());
        assertEquals("close 1001", first.next());
        client.send(0, 2, "two").send(0, 3, "three");
        assertEquals("{\"shard\":0,\"n\":2,\"data\":\"two\"}", second.next());
        assertEquals("{\"shard\":0,\"n\":3,\"data\":\"three\"}", second.next());
        assertEquals("{\"shard\":0,\"ack\":2}", client.next());
        assertEquals("{\"shard\":0,\"ack\":3}", client.next());
        second.sendToAll("{\"shard\":0,\"n\":1,\"data\":\"done\"}");
        second.sendToAll("{\"shard\":0,\"n\":2,\"data\":\"more\"}");
        assertEquals("{\"shard\":0,\"n\":2,\"data\":\"more\"}", client.next());
        assertTrue(first.lastFrameAt - drainedAt < 2_000_000_000L);
        client.socket.sendClose(WebSocket.NORMAL_CLOSURE, "").join();
        assertEquals("close 1001", second.next());
    }

    /**
     * Guards against messages that are lost unsaid, and covered by a later ack, as the node's own
     * close crosses them: whatever its code says, it does not say that they were taken.
     */
    @ParameterizedTest
    @ValueSource(ints = {1000, 1001, 1011, 1012, 4000})
    void tellsWhatMayBeLostWhenANodeClosesItsLeg(int code) throws Exception {
        startWithSessions("back-off = 20ms\n");
        FakeSessionNode node = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0").send(0, 1, "one");
        assertEquals("{\"shard\":0,\"ack\":1}", client.next());
        node.stopsReading = true;
        client.send(0, 2, "two").send(0, 3, "three");
        Thread.sleep(200);
        node.closeLegs(code);
        node.stopsReading = false;
        assertEquals("{\"shard\":0,\"lost\":{\"after\":1,\"to\":3}}", client.next());
        client.send(0, 4, "four");
        assertEquals("{\"shard\":0,\"ack\":4}", client.next());
    }

    /**
     * Guards against a close of the node that crosses this router's, and is taken for the answer to
     * it: the messages before may be lost.
     */
    @Test
    void tellsWhatMayBeLostWhenClosesCross() throws Exception {
        startWithSessions("back-off = 20ms\n");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0").send(0, 1, "one");
        assertEquals("{\"shard\":0,\"ack\":1}", client.next());
        first.stopsReading = true;
        client.send(0, 2, "two").send(0, 3, "three");
        moveToANewNode(first);
        Thread.sleep(500);
        first.closeLegs(1001);
        assertEquals("{\"shard\":0,\"lost\":{\"after\":1,\"to\":3}}", client.next());
        client.send(0, 4, "four");
        assertEquals("{\"shard\":0,\"ack\":4}", client.next());
        first.stopsReading = false;
    }

    /**
     * Guards against a loss that is told of and did not happen: the node took all, and was slow.
     */
    @Test
    void tellsOfNoLossWhenANodeHasReadAllBeforeTheMove() throws Exception {
        startWithSessions("");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0").send(0, 1, "one");
        assertEquals("{\"shard\":0,\"ack\":1}", client.next());
        first.acknowledges = false;
        client.send(0, 2, "two").send(0, 3, "three");
        FakeSessionNode second = moveToANewNode(first);
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":3}", second.next());
        client.send(0, 4, "four");
        assertEquals("{\"shard\":0,\"ack\":4}", client.next());
    }

    /**
     * Guards against messages of a node that are counted as delivered, and so never come, as one
     * leg of the session stands before the other and the client is not accepted yet.
     */
    @Test
    void losesNoMessageBeforeAllLegsStand() throws Exception {
        startWithSessions("");
        FakeSessionNode early = nodes.get(0);
        nodes.get(1).handshakeMillis = 500;
        CompletableFuture<SessionClient> opening =
                CompletableFuture.supplyAsync(() -> new SessionClient("/sheet/live?shards=0,1"));
        while (early.handshakes == 0) {
            Thread.sleep(10);
        }
        Thread.sleep(200);
        assertTrue(early.received.isEmpty(), "it is not told to begin");
        early.sendToAll("{\"shard\":0,\"n\":1,\"data\":\"unasked\"}");
        early.sendToAll("{\"shard\":0,\"ack\":1}");
        SessionClient client = opening.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":0}", early.next());
        early.sendToAll("{\"shard\":0,\"n\":1,\"data\":\"one\"}");
        assertEquals("{\"shard\":0,\"n\":1,\"data\":\"one\"}", client.next());
    }

    /**
     * Guards against messages of the new leg of a move that are counted before the old one has
     * delivered its last: those would be dropped as seen before, and a gap told.
     */
    @Test
    void newLegDeliversNothingBeforeTheOldOneHasEnded() throws Exception {
        startWithSessions("");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0");
        first.next();
        first.stopsReading = true;
        FakeSessionNode second = moveToANewNode(first);
        while (second.handshakes == 0) {
            Thread.sleep(10);
        }
        Thread.sleep(100);
        second.sendToAll("{\"shard\":0,\"n\":2,\"data\":\"unasked\"}");
        Thread.sleep(100);
        first.sendToAll("{\"shard\":0,\"n\":1,\"data\":\"one\"}");
        assertEquals("{\"shard\":0,\"n\":1,\"data\":\"one\"}", client.next());
        first.stopsReading = false;
        assertEquals("{\"shard\":0,\"resume\":1,\"sent\":0}", second.next());
        second.sendToAll("{\"shard\":0,\"n\":2,\"data\":\"two\"}");
        assertEquals("{\"shard\":0,\"n\":2,\"data\":\"two\"}", client.next());
    }

    /**
     * Guards against a move that waits in vain for the answer to its close, and tells of a loss, as
     * the old leg is not read while its client does not read. What is not passed on is asked for
     * again.
     */
    @Test
    void movesTheLegOfAClientThatDoesNotRead() throws Exception {
        startWithSessions("");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0");
        first.next();
        first.acknowledges = false;
        client.send(0, 1, "one");
        first.next();
        client.reads = false;
        String data = "x".repeat(4_000);
        startDaemon(
                () -> {
                    for (int n = 1; n <= 5_000; n++) {
                        first.sendToAll("{\"shard\":0,\"n\":" + n + ",\"data\":\"" + data + "\"}");
                    }
                });
        Thread.sleep(1000);
        FakeSessionNode second = moveToANewNode(first);
        String resume = second.next();
        int last = Integer.parseInt(resume.replaceAll("\\D+(0)\\D+(\\d+)\\D+1\\D+", "$2"));
        assertTrue(last < 5_000, resume);
        second.sendToAll("{\"shard\":0,\"n\":" + (last + 1) + ",\"data\":\"after\"}");
        client.reads = true;
        client.socket.request(1);
        for (int n = 1; n <= last; n++) {
            assertTrue(client.next().startsWith("{\"shard\":0,\"n\":" + n + ","));
        }
        assertEquals("{\"shard\":0,\"n\":" + (last + 1) + ",\"data\":\"after\"}", client.next());
    }

    /** Lists a node as draining, and a new one in its place. */
    private FakeSessionNode moveToANewNode(FakeSessionNode first) throws Exception {
        FakeSessionNode second = startNode();
        discovery.setList(
                8,
                false,
                target("a", first.endpoint(), 0, "draining"),
                target("c", second.endpoint(), 0, "up"));
        return second;
    }

    /**
     * When a node dies and no other one has its shard, the session stays open: messages of the
     * client are buffered until there is a node, and the client is told which may be lost.
     */
    @Test
    void keepsTheSessionWhenANodeDies() throws Exception {
        startWithSessions("back-off = 20ms\nparked = 20s\n");
        FakeSessionNode first = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0");
        first.next();
        client.send(0, 1, "one");
        assertEquals("{\"shard\":0,\"ack\":1}", client.next());
        first.next();
        first.acknowledges = false;
        client.send(0, 2, "two");
        first.next();
        first.close();
        assertEquals("{\"shard\":0,\"lost\":{\"after\":1,\"to\":2}}", client.next());
        client.send(0, 3, "three");
        FakeSessionNode second = startNode();
        discovery.setList(
                8,
                false,
                target("a", first.endpoint(), 0, "removed"),
                target("c", second.endpoint(), 0, "up"));
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":2}", second.next());
        assertEquals("{\"shard\":0,\"n\":3,\"data\":\"three\"}", second.next());
        assertEquals("{\"shard\":0,\"ack\":3}", client.next());
    }

    /**
     * Guards against handshakes that are given up and begun anew until their session ends, as each
     * takes longer than the time of one.
     */
    @Test
    void keepsTheSessionWhenHandshakesAreSlowerThanTheTimeOfOne() throws Exception {
        startWithSessions("back-off = 20ms\nopening = 500ms\nparked = 10s\n");
        FakeSessionNode node = nodes.get(0);
        SessionClient client = new SessionClient("/sheet/live?shards=0");
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":0}", node.next());
        node.handshakeMillis = 1200;
        node.closeLegs(1001);
        client.send(0, 1, "one");
        String next = node.next();
        while (next != null && !next.startsWith("{")) {
            next = node.next();
        }
        assertEquals("{\"shard\":0,\"resume\":0,\"sent\":0}", next);
        assertEquals("{\"shard\":0,\"n\":1,\"data\":\"one\"}", node.next());
        assertEquals("{\"shard\":0,\"ack\":1}", client.next());
    }

    /**
     * Beyond a limit, or without a node for its shards, a client gets 503 with Retry-After, instead
     * of an upgrade to a session that fails at once.
     */
    @Test
    void refusesSessionsItCannotKeepBeforeTheUpgrade() throws Exception {
        startWithSessions(
                "sessions-per-tenant = 3\nopening = 300ms\nattempts = 2\nback-off = 10ms\n");
        List<SessionClient> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(new SessionClient("/sheet/live?shards=0"));
        }
        assertEquals(
                "503 come back later",
                handshakeStatus(() -> new SessionClient("/sheet/live?shards=0")));
        clients.get(0).socket.sendClose(WebSocket.NORMAL_CLOSURE, "").join();
        assertEquals("close 1000", clients.get(0).next());
        assertEquals("101", handshakeStatus(() -> new SessionClient("/sheet/live?shards=1")));
        clients.get(1).socket.abort();
        nodes.get(1).refusesHandshakes = true;
        Thread.sleep(100);
        assertEquals(
                "503 come back later",
                handshakeStatus(() -> new SessionClient("/sheet/live?shards=1")));
        assertEquals("400", handshakeStatus(() -> new SessionClient("/sheet/live?shards=9")));
        assertEquals("400", handshakeStatus(() -> new SessionClient("/nothing/live?shards=0")));
        String handshake =
                "GET /sheet/live?shards=0 HTTP/1.1\r\n"
                        + "Host: x\r\n"
                        + "Upgrade: websocket\r\n"
                        + "Connection: Upgrade\r\n"
                        + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                        + "Sec-WebSocket-Version: 8\r\n\r\n";
        assertEquals("426 close", new Client().send(handshake).readResponse());
        // Other requests are still processed.
        assertEquals(
                "400 close",
                new Client()
                        .send("POST /sheet HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                        .readResponse());
    }

    /**
     * A session whose client breaks the protocol is closed with the code for its fault. The process
     * exits in time even if a client ignores the close.
     */
    @Test
    void closesSessionsOfMisbehavingClients() throws Exception {
        startWithSessions("closing = 300ms\nsilence = 1s\n");
        SessionClient wrongNumber =
                new SessionClient("/sheet/live?shards=0").send(0, 2, "no one before");
        assertEquals("close 1008", wrongNumber.next());
        SessionClient wrongShard =
                new SessionClient("/sheet/live?shards=0").send(1, 1, "not its shard");
        assertEquals("close 1008", wrongShard.next());
        SessionClient binary = new SessionClient("/sheet/live?shards=0");
        binary.socket.sendBinary(java.nio.ByteBuffer.allocate(3), true).join();
        assertEquals("close 1003", binary.next());
        String handshake =
                "GET /sheet/live?shards=0 HTTP/1.1\r\n"
                        + "Host: x\r\n"
                        + "Upgrade: websocket\r\n"
                        + "Connection: Upgrade\r\n"
                        + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                        + "Sec-WebSocket-Version: 13\r\n\r\n";
        // A client that answers no ping is sent a close, and is closed although it does not answer
        // that either.
        Client silent = new Client().send(handshake);
        byte[] bytes = silent.socket.getInputStream().readAllBytes();
        assertTrue(new String(bytes).startsWith("HTTP/1.1 101"));
        assertEquals((byte) 0x88, bytes[bytes.length - 21]);
        Client unmasked = new Client().send(handshake).send("\u0081\u0001x");
        byte[] closeFrame = unmasked.socket.getInputStream().readAllBytes();
        assertEquals(
                "a frame that is not masked", new String(closeFrame, closeFrame.length - 26, 26));
        SessionClient wellBehaved = new SessionClient("/sheet/live?shards=0");
        Client ignoringClose = new Client().send(handshake);
        ignoringClose.socket.getInputStream().readNBytes(60);
        new ProcessBuilder("kill", "-TERM", Long.toString(process.pid())).start().waitFor();
        assertEquals("close 1012", wellBehaved.next());
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        String last = "";
        for (String line = log.poll(1, TimeUnit.SECONDS);
                line != null;
                line = log.poll(1, TimeUnit.SECONDS)) {
            last = line;
        }
        assertTrue(last.endsWith("ended: all is answered"), last);
    }

    /**
     * When a client keeps sending to a node that does not read, the router buffers up to a limit
     * and then closes the session; others are not affected.
     */
    @Test
    void limitsTheBufferForANodeThatDoesNotRead() throws Exception {
        startWithSessions("held-bytes = 40000\nlongest-message = 16000\n");
        nodes.get(0).stopsReading = true;
        SessionClient flooding = new SessionClient("/sheet/live?shards=0");
        String longText = "m".repeat(15_000);
        for (int i = 1; i < 5_000 && flooding.received.isEmpty(); i++) {
            try {
                flooding.send(0, i, longText);
            } catch (CompletionException closed) {
                break;
            }
        }
        String end = flooding.next();
        assertTrue(end.equals("close 1013") || end.startsWith("error"), end);
        SessionClient other = new SessionClient("/sheet/live?shards=1").send(1, 1, "here");
        assertEquals("{\"shard\":1,\"ack\":1}", other.next());
        nodes.get(0).stopsReading = false;
    }

    /**
     * Without settings for sessions, an upgrade request is answered like any other GET, and no
     * class of the sessions is loaded. Settings that are invalid prevent the start.
     */
    @Test
    void loadsNoClassesWithoutSessionsAndRefusesInvalidSettings() throws Exception {
        jvmOptions.add("-Xlog:class+load:file=" + folder.resolve("classes.txt"));
        startWithList();
        assertEquals("405", handshakeStatus(() -> new SessionClient("/sheet/live?shards=0")));
        stop();
        assertEquals(
                List.of(),
                Files.readAllLines(folder.resolve("classes.txt")).stream()
                        .filter(
                                line ->
                                        line.matches(
                                                ".*gladewing\\."
                                                    + "(sessionpolicy|sessionsockets|websocket)\\..*"))
                        .toList());
        Files.writeString(
                folder.resolve("bad.ini"),
                "[live]\non = maybe\nsessions = 4000\nlegs = 10\nparkd = 1s\n");
        Process refused =
                startProcess(
                        config,
                        folder,
                        List.of(),
                        List.of("--live", folder.resolve("bad.ini").toString()));
        String output =
                new String(refused.getInputStream().readAllBytes())
                        .replaceAll("(?m)^.*/bad.ini ", "");
        assertEquals(1, refused.waitFor());
        assertEquals(
                "[live] parkd: no such key, wanted: parked\n[live] on: 'maybe', wanted: no or yes\n"
                        + "[live] legs: 10, wanted: no less than sessions, 4000\n",
                output);
    }

    /**
     * A client of a session sends pings at full speed and reads nothing. Guards against pongs that
     * use up the heap, and against a session that stays without end.
     */
    @Test
    void pingsOfAClientThatReadsNothingDoNotUseUpTheHeap() throws Exception {
        startWithSessions("silence = 3s\n");
        Client rude = new Client();
        rude.send(
                "GET /sheet/live?shards=0 HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                        + "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                        + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
        assertEquals('H', rude.socket.getInputStream().read());
        byte[] ping = new byte[6 + 125];
        ping[0] = (byte) 0x89;
        ping[1] = (byte) (0x80 | 125);
        byte[] pings = new byte[500 * ping.length];
        for (int i = 0; i < 500; i++) {
            System.arraycopy(ping, 0, pings, i * ping.length, ping.length);
        }
        AtomicBoolean isClosed = new AtomicBoolean();
        startDaemon(
                () -> {
                    try {
                        while (true) {
                            rude.socket.getOutputStream().write(pings);
                        }
                    } finally {
                        isClosed.set(true);
                    }
                });
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!isClosed.get() && System.nanoTime() < deadline) {
            Thread.sleep(100);
        }
        assertTrue(process.isAlive(), log.toString());
        assertTrue(log.stream().noneMatch(line -> line.contains("OutOfMemory")), log.toString());
        assertTrue(isClosed.get(), "the session of a client that reads nothing stays");
        assertEquals("101", handshakeStatus(() -> new SessionClient("/sheet/live?shards=0")));
    }
}
