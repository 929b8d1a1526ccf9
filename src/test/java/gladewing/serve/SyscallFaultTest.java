package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * System calls of a running router fail for a moment. Guards against requests that get no whole
 * final answer in time because of it, and against a router that stops doing something for good.
 */
class SyscallFaultTest extends ServeTestHarness {
    /** How long calls fail. */
    private static final int FAULT_MILLIS = 300;

    private static final int ANSWER_DELAY_MILLIS = 100;
    private static final int CLIENT_TIMEOUT_MILLIS = 1000;
    private static final int SHORT_TIMEOUT_MILLIS = 300;

    /** What discovery has to tell counts as told this long after SIGHUP. */
    private static final int HANGUP_MILLIS = 4000;

    /** How late an answer may be; a later one counts as lost (the protocol's slack). */
    private static final int LATE_MILLIS = 500;

    private final ScheduledExecutorService nodes = Executors.newScheduledThreadPool(2);
    private SyscallFaults faults;
    private int requests;

    @AfterEach
    void stopNodes() {
        nodes.shutdownNow();
    }

    /** Answers all calls to a node, each part 100 ms after it has arrived. */
    private void answerCalls(FakeDataNode node) {
        startDaemon(
                () -> {
                    try {
                        while (true) {
                            FakeDataNode.Frame frame = node.frames.take();
                            if (frame.letter == 'Q') {
                                nodes.schedule(
                                        () -> answer(frame),
                                        ANSWER_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            } else if (frame.letter == 'P') {
                                frame.write('P', "ok");
                            }
                        }
                    } catch (InterruptedException stopped) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private static void answer(FakeDataNode.Frame frame) {
        String call = frame.text;
        try {
            for (int at = 0; at < call.length(); ) {
                int end = call.indexOf('\n', at);
                String[] line = call.substring(at, end).split(" ");
                frame.answer(line[0], "ok", "value of " + line[0]);
                at = end + 1 + Integer.parseInt(line[3]);
            }
        } catch (IOException closed) {
            // The router has closed the connection.
        }
    }

    private void startWithFaults() throws Exception {
        faults = new SyscallFaults(folder.resolve("faults"), 1);
        environment.putAll(faults.environment());
        startWithList();
        answerCalls(nodeA);
        answerCalls(nodeB);
    }

    /** The outcome of a request. */
    private record Outcome(String response, long millis, int timeoutMillis) {
        /** Whether the client got no whole answer, or one that is later than the slack. */
        boolean isLost() {
            return !Character.isDigit(response.charAt(0)) || millis > timeoutMillis + LATE_MILLIS;
        }

        /** Whether the connection was closed with the request unread. */
        boolean isClosed() {
            return response.startsWith("broken") || response.equals("end");
        }

        @Override
        public String toString() {
            return (isLost() ? "LOST " : "") + response + " after " + millis + " ms";
        }
    }

    /** Sends a request for both cells, and returns what comes of it. */
    private CompletableFuture<Outcome> ask(Client client, int timeoutMillis) throws IOException {
        long sentAt = System.nanoTime();
        client.socket.setSoTimeout(timeoutMillis + 2 * LATE_MILLIS);
        client.sendMultiget("report", "q" + ++requests, Duration.ofMillis(timeoutMillis), 0, 1);
        return CompletableFuture.supplyAsync(
                () -> {
                    String response;
                    try {
                        response = client.readResponse().split(" ")[0];
                    } catch (SocketTimeoutException none) {
                        response = "none";
                    } catch (IOException reset) {
                        response = "broken: " + reset.getMessage();
                    }
                    long millis = (System.nanoTime() - sentAt) / 1_000_000;
                    return new Outcome(response, millis, timeoutMillis);
                });
    }

    private CompletableFuture<Outcome> ask(int timeoutMillis) throws IOException {
        return ask(new Client(), timeoutMillis);
    }

    private static void assertAnswered(String which, Outcome outcome) {
        assertFalse(outcome.isLost(), which + " request: " + outcome);
    }

    private void closeAll(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /**
     * Requests that are open, sent on a kept connection and sent on a new one while a call fails.
     * Guards against closing connections, and against no longer accepting or reading any.
     */
    @ParameterizedTest
    @CsvSource({
        "READ, EINTR",
        "READ, EIO",
        "READ, ENOBUFS",
        "WRITE, EAGAIN",
        "WRITE, SHORT_WRITE",
        "WRITE, EIO",
        "WRITE, ENOBUFS",
        "ACCEPT, ECONNABORTED",
        "ACCEPT, EMFILE",
        "ACCEPT, ENOBUFS",
        "EPOLL_CTL, ENOMEM",
        "EPOLL_WAIT, EINTR",
        "FCNTL_SET_FLAGS, ENOMEM",
        "SETSOCKOPT, ENOMEM",
        "GETSOCKOPT, ENOBUFS"
    })
    void answersRequestsWhileACallFails(SyscallFaults.Call call, SyscallFaults.Error error)
            throws Exception {
        startWithFaults();
        askWhileCallsFail(error, false, call);
    }

    /** The JDK closes a connection that it can't prepare within accept; nothing was read then. */
    @Test
    void acceptsAgainAfterConnectionsCouldNotBePrepared() throws Exception {
        startWithFaults();
        askWhileCallsFail(
                SyscallFaults.Error.ENOMEM,
                true,
                SyscallFaults.Call.FCNTL_SET_FLAGS,
                SyscallFaults.Call.FCNTL_GET_FLAGS);
    }

    /** The JDK takes a failure to read a socket's flags for success, and leaves it blocking. */
    @Test
    void answersRequestsWhileSocketFlagsCannotBeRead() throws Exception {
        startWithFaults();
        askWhileCallsFail(SyscallFaults.Error.ENOMEM, false, SyscallFaults.Call.FCNTL_GET_FLAGS);
    }

    /** Netty sleeps for a second on the loop's thread when its wait for sockets fails. */
    @Test
    void answersRequestsWhileTheWaitForSocketsFails() throws Exception {
        startWithFaults();
        askWhileCallsFail(SyscallFaults.Error.EIO, false, SyscallFaults.Call.EPOLL_WAIT);
    }

    private void askWhileCallsFail(
            SyscallFaults.Error error, boolean mayCloseNewConnections, SyscallFaults.Call... calls)
            throws Exception {
        Client kept = new Client();
        assertAnswered("first", ask(kept, CLIENT_TIMEOUT_MILLIS).get());
        CompletableFuture<Outcome> open = ask(CLIENT_TIMEOUT_MILLIS);
        Thread.sleep(30);
        for (SyscallFaults.Call call : calls) {
            faults.fail(call, error, SyscallFaults.ALWAYS);
        }
        Thread.sleep(20);
        CompletableFuture<Outcome> onKept = ask(kept, CLIENT_TIMEOUT_MILLIS);
        CompletableFuture<Outcome> onNew = ask(CLIENT_TIMEOUT_MILLIS);
        CompletableFuture<Outcome> withShortTimeout = ask(SHORT_TIMEOUT_MILLIS);
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        Thread.sleep(50);
        CompletableFuture<Outcome> after = ask(CLIENT_TIMEOUT_MILLIS);
        assertTrue(faults.injected(calls[0]) > 0, "no call failed");
        assertAnswered("open", open.get());
        assertAnswered("kept", onKept.get());
        assertAnswered("later", after.get());
        for (Outcome outcome : List.of(onNew.get(), withShortTimeout.get())) {
            if (!(mayCloseNewConnections && outcome.isClosed())) {
                assertAnswered("new", outcome);
            }
        }
        assertEquals("200", ask(CLIENT_TIMEOUT_MILLIS).get().response());
    }

    /**
     * Discovery and the nodes close their connections while new ones can't be opened. Guards
     * against a watch on discovery, or calls to nodes, that end for good.
     */
    @ParameterizedTest
    @CsvSource({
        "SOCKET, EMFILE",
        "CONNECT, EADDRNOTAVAIL",
        "EPOLL_CTL, ENOMEM",
        "SETSOCKOPT, ENOMEM",
        "GETSOCKOPT, ENOBUFS",
        "THREAD_CREATE, EAGAIN"
    })
    void opensConnectionsAgainAfterACallFailed(SyscallFaults.Call call, SyscallFaults.Error error)
            throws Exception {
        startWithFaults();
        Client kept = new Client();
        assertAnswered("first", ask(kept, CLIENT_TIMEOUT_MILLIS).get());
        CompletableFuture<Outcome> open = ask(CLIENT_TIMEOUT_MILLIS);
        Thread.sleep(30);
        faults.fail(call, error, SyscallFaults.ALWAYS);
        closeAll(nodeA.sockets);
        closeAll(nodeB.sockets);
        closeAll(discovery.sockets);
        Thread.sleep(20);
        CompletableFuture<Outcome> onKept = ask(kept, CLIENT_TIMEOUT_MILLIS);
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        int revision = discovery.revision + 1;
        discovery.setList(revision, false);
        assertAnswered("open", open.get());
        assertAnswered("kept", onKept.get());
        assertTrue(discovery.awaitWatch(revision, HANGUP_MILLIS), "discovery is no longer asked");
        assertEquals("200", ask(CLIENT_TIMEOUT_MILLIS).get().response());
    }

    /** Guards against a new address of discovery that is never asked, or only once the old ends. */
    @ParameterizedTest
    @CsvSource({"SOCKET, EMFILE", "OPEN, EMFILE", "FILE_READ, EIO"})
    void asksTheNewDiscoveryAfterHangup(SyscallFaults.Call call, SyscallFaults.Error error)
            throws Exception {
        startWithFaults();
        FakeDiscovery moved = new FakeDiscovery();
        moved.setList(9, true, target("a", nodeA.endpoint(), 0, "up"));
        String oldPort = Integer.toString(discovery.listener.getLocalPort());
        String newPort = Integer.toString(moved.listener.getLocalPort());
        Files.writeString(config, Files.readString(config).replace(oldPort, newPort));
        faults.fail(call, error, SyscallFaults.ALWAYS);
        signal("HUP");
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        assertTrue(moved.awaitWatch(9, HANGUP_MILLIS - FAULT_MILLIS), "the new one is not asked");
    }

    /**
     * Guards against connections that wait to be accepted when the router stops accepting, which is
     * 550 ms after the signal.
     */
    @ParameterizedTest
    @ValueSource(ints = {FAULT_MILLIS, 700})
    void answersWaitingConnectionsWhenItEndsWhileAcceptFails(int faultMillis) throws Exception {
        startWithFaults();
        faults.fail(SyscallFaults.Call.ACCEPT, SyscallFaults.Error.EMFILE, SyscallFaults.ALWAYS);
        signal("TERM");
        Thread.sleep(20);
        CompletableFuture<Outcome> waiting = ask(CLIENT_TIMEOUT_MILLIS);
        Thread.sleep(faultMillis);
        faults.clear();
        assertAnswered("waiting", waiting.get());
    }

    /**
     * A client leaves while writes to its node fail. Guards against a frame that is sent once they
     * work again, for a multiget that has ended.
     */
    @ParameterizedTest
    @CsvSource({"EAGAIN", "ENOBUFS"})
    void sendsNothingForAClientThatLeftWhileWritesFailed(SyscallFaults.Error error)
            throws Exception {
        faults = new SyscallFaults(folder.resolve("faults"), 1);
        environment.putAll(faults.environment());
        startWithList();
        Client client = new Client().sendMultiget("report", "r1", 0);
        nodeA.nextFrame().answer("r1.0", "ok", "zero");
        client.readResponse();
        faults.setPort(nodeA.port());
        faults.fail(SyscallFaults.Call.WRITE, error, SyscallFaults.ALWAYS);
        client.sendMultiget("report", "r2", 0);
        Thread.sleep(30);
        client.close();
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        Client other = new Client().sendMultiget("report", "r3", 0);
        FakeDataNode.Frame frame = nodeA.nextFrame();
        while (!frame.text.startsWith("r3")) {
            assertFalse(frame.letter == 'Q', "sent after the client had left: " + frame);
            frame = nodeA.nextFrame();
        }
        frame.answer("r3.0", "ok", "zero");
        assertTrue(other.readResponse().startsWith("200"));
    }

    /**
     * Requests that no node answers wait while they can't be accepted or read, or behind another
     * one on their connection. Guards against an answer that is late by the time they waited.
     */
    @ParameterizedTest
    @CsvSource({"ACCEPT, EMFILE", "READ, EIO"})
    void countsTheTimeThatARequestWaitedToBeRead(SyscallFaults.Call call, SyscallFaults.Error error)
            throws Exception {
        startWithFaults();
        nodes.shutdownNow();
        Client client = new Client().send("GET /health/ready HTTP/1.1\r\n\r\n");
        client.readResponse();
        faults.fail(call, error, SyscallFaults.ALWAYS);
        CompletableFuture<Outcome> waiting =
                call == SyscallFaults.Call.READ
                        ? ask(client, SHORT_TIMEOUT_MILLIS)
                        : ask(SHORT_TIMEOUT_MILLIS);
        Thread.sleep(2 * FAULT_MILLIS);
        faults.clear();
        assertAnswered("waiting", waiting.get());
    }

    /** As above, without any failure. */
    @Test
    void countsTheTimeThatARequestWaitedBehindAnother() throws Exception {
        startWithFaults();
        nodes.shutdownNow();
        Client client = new Client();
        int[] shards = {0, 1};
        Duration timeLimit = Duration.ofMillis(CLIENT_TIMEOUT_MILLIS);
        long sentAt = System.nanoTime();
        client.sendMultiget("report", "first", timeLimit, shards);
        client.sendMultiget("report", "second", timeLimit, shards);
        client.readResponse();
        String response = client.readResponse();
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        assertAnswered("second", new Outcome(response, millis, CLIENT_TIMEOUT_MILLIS));
    }

    /**
     * A client leaves while it can't be noticed: its connection can't be accepted, or not be read.
     * Guards against parts that are sent for it later.
     */
    @ParameterizedTest
    @CsvSource({"ACCEPT, EMFILE", "READ, EIO", "READ, EINTR", "READ, EAGAIN"})
    void sendsNothingForAClientThatLeftUnseen(SyscallFaults.Call call, SyscallFaults.Error error)
            throws Exception {
        faults = new SyscallFaults(folder.resolve("faults"), 1);
        environment.putAll(faults.environment());
        startWithList();
        faults.setPort(port);
        FakeDataNode.Frame first = null;
        Client client = null;
        if (call == SyscallFaults.Call.READ) {
            client = new Client().sendMultiget("report", "r1", 0);
            first = nodeA.nextFrame();
        }
        faults.fail(call, error, SyscallFaults.ALWAYS);
        if (client == null) {
            client = new Client().sendMultiget("report", "r1", 0);
        }
        client.close();
        Thread.sleep(FAULT_MILLIS / 2);
        if (first != null) {
            first.answer("r1.0", "busy", "");
        }
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        Client other = new Client().sendMultiget("report", "r2", 0);
        FakeDataNode.Frame frame = nodeA.nextFrame();
        while (!frame.text.startsWith("r2")) {
            assertFalse(frame.letter == 'Q', "sent after the client had left: " + frame);
            frame = nodeA.nextFrame();
        }
        frame.answer("r2.0", "ok", "zero");
        assertTrue(other.readResponse().startsWith("200"));
    }

    /**
     * Connections are reset while no file can be opened or read. Guards against classes that are
     * loaded only when an error occurs: without them the event loop ends.
     */
    @Test
    void goesOnWhileNoFileCanBeRead() throws Exception {
        startWithFaults();
        Client kept = new Client();
        assertAnswered("first", ask(kept, CLIENT_TIMEOUT_MILLIS).get());
        faults.fail(SyscallFaults.Call.OPEN, SyscallFaults.Error.EMFILE, SyscallFaults.ALWAYS);
        faults.fail(SyscallFaults.Call.FILE_READ, SyscallFaults.Error.EIO, SyscallFaults.ALWAYS);
        List<Socket> sockets = new ArrayList<>(nodeA.sockets);
        sockets.addAll(nodeB.sockets);
        sockets.addAll(discovery.sockets);
        Client unusable = new Client().send("POST /nothing HTTP/1.1\r\nContent-Length: x\r\n\r\n");
        sockets.add(new Client().sendMultiget("report", "left", 0, 1).socket);
        Thread.sleep(30);
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        assertEquals("400 close", unusable.readResponse());
        assertAnswered("kept", ask(kept, CLIENT_TIMEOUT_MILLIS).get());
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        assertEquals("200", ask(CLIENT_TIMEOUT_MILLIS).get().response());
        int revision = discovery.revision + 1;
        discovery.setList(revision, false);
        assertTrue(discovery.awaitWatch(revision, HANGUP_MILLIS), "discovery is no longer asked");
        assertTrue(log.stream().noneMatch(line -> line.contains("NoClassDef")), log.toString());
    }

    /**
     * A client leaves while it can't be accepted, and its end can't be read at first when its
     * request is. Guards against parts that are sent for it in between.
     */
    @Test
    void sendsNothingForALateRequestWhoseEndCannotBeRead() throws Exception {
        faults = new SyscallFaults(folder.resolve("faults"), 1);
        environment.putAll(faults.environment());
        startWithList();
        faults.setPort(port);
        faults.fail(SyscallFaults.Call.ACCEPT, SyscallFaults.Error.EMFILE, SyscallFaults.ALWAYS);
        new Client().sendMultiget("report", "r1", 0).close();
        Thread.sleep(FAULT_MILLIS);
        faults.fail(SyscallFaults.Call.READ, SyscallFaults.Error.EINTR, SyscallFaults.EVERY_SECOND);
        faults.fail(SyscallFaults.Call.ACCEPT, SyscallFaults.Error.EMFILE, 0);
        Thread.sleep(FAULT_MILLIS);
        faults.clear();
        assertTrue(faults.injected(SyscallFaults.Call.READ) > 0, "no read failed");
        assertTrue(nodeA.hasNoFrames(), () -> "sent after the client had left: " + nodeA.frames);
    }
}
