package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import gladewing.router.Trace;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a router as a process of its own for a test, with fake clients, data nodes and discovery
 * that speak to it over loopback sockets.
 */
public abstract class ServeTestHarness {
    /** How long a test waits for anything before it fails. */
    static final int TIMEOUT_S = 30;

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** Serves one accepted connection, on a thread of its own. */
    interface ConnectionHandler {
        void serve(Socket socket) throws IOException;
    }

    static ServerSocket listen(ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, LOOPBACK);
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        startDaemon(() -> handler.serve(socket));
                    }
                });
        return listener;
    }

    interface IoTask {
        void run() throws IOException;
    }

    static void startDaemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException closed) {
                                // The other side has closed the connection, which is normal in
                                // tests.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A data node that queues the frames it receives, and answers only what the test tells it. */
    public static final class FakeDataNode implements AutoCloseable {
        /** One frame that the router has sent, with the connection to answer it on. */
        public final class Frame {
            public final char letter;
            public final String text;

            /** Connections are numbered from 1 in the order in which they are accepted. */
            public final int connection;

            private final Socket socket;

            Frame(Socket socket, int connection, char letter, String text) {
                this.socket = socket;
                this.connection = connection;
                this.letter = letter;
                this.text = text;
            }

            /**
             * Answers one part.
             *
             * @param id of the part
             * @param result ok or busy
             */
            public void answer(String id, String result, String value) throws IOException {
                write('A', id + " " + result + " 1 -\n" + value);
            }

            /** Sends a frame. */
            public void write(char frameLetter, String content) throws IOException {
                byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
                byte[] frame = new byte[bytes.length + 5];
                for (int i = 0; i < 4; i++) {
                    frame[i] = (byte) (bytes.length + 1 >> 8 * i);
                }
                frame[4] = (byte) frameLetter;
                System.arraycopy(bytes, 0, frame, 5, bytes.length);
                writeBytes(frame);
            }

            public void writeBytes(byte[] bytes) throws IOException {
                socket.getOutputStream().write(bytes);
            }

            public void close() throws IOException {
                socket.close();
            }

            /**
             * Waits until the router closes this frame's connection; returns false if it does not.
             */
            public boolean awaitClosed() throws InterruptedException {
                for (int i = 0; i < 100 * TIMEOUT_S; i++) {
                    synchronized (sockets) {
                        if (closedConnections.contains(connection)) {
                            return true;
                        }
                    }
                    Thread.sleep(10);
                }
                return false;
            }

            /** Letter and text on one line, without the deadlines of the parts. */
            @Override
            public String toString() {
                return letter + " " + text.replaceAll(" d=\\d+ ", " ").replace("\n", "|");
            }
        }

        final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final List<Socket> sockets = new ArrayList<>();
        final List<Integer> closedConnections = new ArrayList<>();
        final ServerSocket listener;

        public FakeDataNode() throws IOException {
            listener = listen(this::serve);
        }

        void serve(Socket socket) throws IOException {
            int connection;
            synchronized (sockets) {
                sockets.add(socket);
                connection = sockets.size();
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            try {
                while (true) {
                    byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                    in.readFully(frame);
                    frames.add(
                            new Frame(
                                    socket,
                                    connection,
                                    (char) frame[0],
                                    new String(
                                            frame, 1, frame.length - 1, StandardCharsets.UTF_8)));
                }
            } finally {
                synchronized (sockets) {
                    closedConnections.add(connection);
                }
            }
        }

        public String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        public int port() {
            return listener.getLocalPort();
        }

        /** Waits for the next frame. */
        public Frame nextFrame() throws InterruptedException {
            Frame frame = frames.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(frame, "a frame to the data node");
            return frame;
        }

        /** Waits for the next frame; the argument is evaluated first, and sends the request. */
        public Frame nextFrame(Object sentRequest) throws InterruptedException {
            return nextFrame();
        }

        public boolean hasNoFrames() {
            return frames.isEmpty();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /**
     * The agent of discovery: answers with the current list, and a watch once there is a newer one.
     */
    static final class FakeDiscovery {
        final ServerSocket listener;
        String answer;
        int revision;
        int calls;

        /** The revision that the latest call watched for changes of; negative for none. */
        int lastWatched = -1;

        String firstRequest;

        /** All connections that were accepted. */
        final List<Socket> sockets = new ArrayList<>();

        /** Whether the next call is left without an answer. */
        boolean loseNext;

        FakeDiscovery() throws IOException {
            listener = listen(this::serve);
        }

        void serve(Socket socket) throws IOException {
            synchronized (this) {
                sockets.add(socket);
            }
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String request = line;
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream().write(answerTo(request).getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized String answerTo(String request) throws IOException {
            int after =
                    request.contains("after=")
                            ? Integer.parseInt(request.replaceAll(".*after=(\\d+).*", "$1"))
                            : -1;
            calls++;
            lastWatched = after;
            firstRequest = firstRequest == null ? request : firstRequest;
            notifyAll();
            boolean isLost = loseNext;
            loseNext = false;
            long until =
                    System.nanoTime()
                            + 1_000_000L
                                    * (after < 0
                                            ? 0
                                            : Long.parseLong(
                                                    request.replaceAll(
                                                            ".*wait_ms=(\\d+).*", "$1")));
            try {
                while (isLost || answer == null || revision <= after) {
                    if (!isLost && answer != null && System.nanoTime() > until) {
                        return nodeListResponse(after, false);
                    }
                    wait(100);
                }
            } catch (InterruptedException stopped) {
                throw new IOException(stopped);
            }
            return answer;
        }

        /** Sets the raw answer to the open call and to later ones. */
        synchronized void setAnswer(int newRevision, String text) {
            revision = newRevision;
            answer = text;
            notifyAll();
        }

        /** Waits for a call that watches for changes after a revision; false if none comes. */
        synchronized boolean awaitWatch(int after, int millis) throws InterruptedException {
            long deadline = System.nanoTime() + millis * 1_000_000L;
            while (lastWatched != after && System.nanoTime() < deadline) {
                wait(10);
            }
            return lastWatched == after;
        }

        synchronized void awaitCall(int number) throws InterruptedException {
            while (calls < number) {
                wait(1000 * TIMEOUT_S);
            }
        }

        void setList(int newRevision, boolean all, String... targets) {
            setAnswer(newRevision, nodeListResponse(newRevision, all, targets));
        }

        static String nodeListResponse(int newRevision, boolean all, String... targets) {
            String body =
                    "{\"rev\":"
                            + newRevision
                            + ",\"all\":"
                            + all
                            + ",\"targets\":["
                            + String.join(",", targets)
                            + "]}";
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(body.length())
                    + "\r\n"
                    + body
                    + "\r\n0\r\n\r\n";
        }
    }

    static String target(String uid, String endpoint, int cell, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + endpoint
                + "\",\"az\":\"x\",\"model\":\"m\",\"pod_group\":"
                + cell
                + ",\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** A client with one connection to the router. */
    final class Client implements AutoCloseable {
        final Socket socket;

        Client() throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setSoTimeout(1000 * TIMEOUT_S);
        }

        Client send(String request) throws IOException {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Sends a multiget with equal weights and a time limit of 3 s. */
        Client sendMultiget(String product, String id, int... shards) throws IOException {
            return sendMultiget(product, id, Duration.ofSeconds(3), shards);
        }

        /** Sends a multiget with equal weights. */
        Client sendMultiget(String product, String id, Duration timeLimit, int... shards)
                throws IOException {
            StringBuilder parts = new StringBuilder();
            for (int shard : shards) {
                parts.append(parts.length() == 0 ? "" : ",")
                        .append("{\"shard\":")
                        .append(shard)
                        .append(",\"weight\":")
                        .append(1.0 / shards.length)
                        .append('}');
            }
            String body = "{\"shards\":[" + parts + "],\"q\":\"c4\"}";
            return send(
                    "POST /"
                            + product
                            + " HTTP/1.1\r\nX-Request-ID: "
                            + id
                            + "\r\nX-Timeout-Ms: "
                            + timeLimit.toMillis()
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /**
         * The status, the headers that matter and the body of the next response; "end" if the
         * connection is closed instead, "cut" if that happens within the head.
         */
        String readResponse() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = socket.getInputStream().read();
                if (c < 0) {
                    return head.length() == 0 ? "end" : "cut";
                }
                head.append((char) c);
            }
            int length =
                    Integer.parseInt(
                            head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
            String body =
                    new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
            return head.substring(9, 12)
                    + (head.indexOf("Retry-After: ") > 0 ? " come back later" : "")
                    + (head.indexOf("Connection: close") > 0 ? " close" : "")
                    + (length > 0 ? " " + body : "");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @TempDir Path folder;
    final StringBuilder trace = new StringBuilder();
    final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    Process process;

    /** Where the router listens. */
    int port;

    Path config;
    FakeDiscovery discovery;
    FakeDataNode nodeA;
    FakeDataNode nodeB;

    /** Arguments of the command line after `serve`. */
    final List<String> serveArguments = new ArrayList<>();

    final List<String> jvmOptions = new ArrayList<>();

    /** Environment variables of the router, beside those of this process. */
    final Map<String, String> environment = new HashMap<>();

    /** LateWorth in the configuration: the revenue of an answer after the quoted time. */
    String lateWorth = "0.0";

    /** OpenCap in the configuration: how many multigets and parts may be open. */
    int maxOpen = 180;

    static Process startProcess(Path config, Path folder) throws IOException {
        return startProcess(config, folder, List.of(), List.of());
    }

    static Process startProcess(
            Path config, Path folder, List<String> jvmOptions, List<String> serveArguments)
            throws IOException {
        return startProcess(config, folder, jvmOptions, serveArguments, Map.of());
    }

    static Process startProcess(
            Path config,
            Path folder,
            List<String> jvmOptions,
            List<String> serveArguments,
            Map<String, String> environment)
            throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx48m",
                                "-XX:TieredStopAtLevel=1"));
        command.addAll(jvmOptions);
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "gladewing.Main", "serve"));
        command.addAll(serveArguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().putAll(environment);
        return builder.directory(folder.toFile()).redirectErrorStream(true).start();
    }

    /**
     * Starts the router and waits until it listens.
     *
     * @param knownNodes the list of data nodes in its configuration
     */
    void start(String knownNodes) throws Exception {
        start(knownNodes, 256);
    }

    void start(String knownNodes, int descriptors) throws Exception {
        discovery = new FakeDiscovery();
        nodeA = new FakeDataNode();
        nodeB = new FakeDataNode();
        for (int attempt = 0; attempt < 5; attempt++) {
            try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
                port = free.getLocalPort();
            }
            config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    Trace.expected("serve-config.json")
                            .replace("LISTEN", "127.0.0.1:" + port)
                            .replace("DISCOVERY", "127.0.0.1:" + discovery.listener.getLocalPort())
                            .replace("\"KNOWN\"", knownNodes)
                            .replace("\"LateWorth\":0.0", "\"LateWorth\":" + lateWorth)
                            .replace("\"OpenCap\":180", "\"OpenCap\":" + maxOpen)
                            .replace("\"sockets\":256", "\"sockets\":" + descriptors));
            process = startProcess(config, folder, jvmOptions, serveArguments, environment);
            Process started = process;
            startDaemon(
                    () -> {
                        BufferedReader out = started.inputReader();
                        for (String line = out.readLine(); line != null; line = out.readLine()) {
                            log.add(line);
                        }
                    });
            if (awaitListening()) {
                return;
            }
        }
        throw new AssertionError("the router did not start: " + log);
    }

    /** Returns false if the process has exited, for example because its port is taken. */
    boolean awaitListening() throws Exception {
        for (int i = 0; i < 100 * TIMEOUT_S; i++) {
            try {
                new Client().close();
                return true;
            } catch (IOException notYet) {
                if (process.waitFor(10, TimeUnit.MILLISECONDS)) {
                    return false;
                }
            }
        }
        return false;
    }

    /**
     * Starts the router with node a for cell 0 and node b for cell 1, and waits until it is ready.
     */
    void startWithList() throws Exception {
        startWithList(256);
    }

    void startWithList(int descriptors) throws Exception {
        start("{\"rev\":1,\"all\":true,\"targets\":[]}", descriptors);
        discovery.setList(
                7,
                true,
                target("a", nodeA.endpoint(), 0, "up"),
                target("b", nodeB.endpoint(), 1, "up"));
        awaitReady("200");
    }

    /** Waits until the readiness check is answered with this status. */
    void awaitReady(String status) throws Exception {
        for (int i = 0; i < 100 * TIMEOUT_S; i++) {
            Client client = new Client().send("GET /health/ready HTTP/1.1\r\n\r\n");
            String response = client.readResponse();
            client.close();
            if (response.startsWith(status)) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("the readiness check was never answered with " + status);
    }

    @AfterEach
    void stop() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        for (AutoCloseable node :
                new AutoCloseable[] {nodeA, nodeB, discovery == null ? null : discovery.listener}) {
            try {
                if (node != null) {
                    node.close();
                }
            } catch (Exception closed) {
                throw new IOException(closed);
            }
        }
    }

    /** Sends a signal to the router. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Adds a line to the trace. */
    void record(String who, Object what) {
        trace.append(who).append(": ").append(what).append('\n');
    }

    /** Compares the trace with a file of expected lines. */
    void assertTrace(String expectedFile) throws IOException {
        assertEquals(Trace.expected(expectedFile), trace.toString());
    }
}
