import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Stand-ins for the cases of the second review: the router as a process of its own, and beside it
 * discovery, data nodes and clients as the protocol page describes them. All on loopback, with free
 * ports. What was sent, answered and run goes to record.txt in the folder of the case.
 */
final class Stand implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Slack of 50 ms on every time limit (protocol page), and 0.15 s for a router held up. */
    static final long SLACK_MS = 50 + 150;

    final long startNanos = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path tmp;
    final PrintWriter record;
    final Random random = new Random(20261205);
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, Stand::daemon);
    final List<String> breaks = Collections.synchronizedList(new ArrayList<>());
    final Discovery discovery;
    final Map<String, Node> nodes = new ConcurrentHashMap<>();
    final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Request> byId = new ConcurrentHashMap<>();
    final int listenPort;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private volatile boolean isClosed;

    Stand(String caseFolder) throws IOException {
        folder = Path.of(caseFolder);
        tmp = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        discovery = new Discovery();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listenPort = free.getLocalPort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        timers.schedule(
                () -> {
                    note("the case takes too long");
                    close();
                    Runtime.getRuntime().halt(COULD_NOT_RUN);
                },
                112,
                TimeUnit.SECONDS);
    }

    /** The run of a case; returns its exit status. */
    interface Body {
        int run(Stand stand) throws Exception;
    }

    /** Runs a case in the folder that is named first, and ends the process with its status. */
    static void play(String[] args, Body body) {
        int status = COULD_NOT_RUN;
        try (Stand stand = new Stand(args[0])) {
            try {
                status = body.run(stand);
            } catch (Exception failed) {
                status = stand.couldNotRun(failed.toString());
                failed.printStackTrace();
            }
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable task) {
        daemon(task).start();
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void note(String line) {
        synchronized (record) {
            record.println(now() + " " + line);
        }
    }

    void broken(String what) {
        note("BROKEN " + what);
        breaks.add(what);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    void sleepUntil(long caseMillis) {
        sleep(caseMillis - now());
    }

    /** Ends the case, and tells how often the rule was broken. */
    int finish() {
        note(breaks.isEmpty() ? "the rule held" : "the rule was broken " + breaks.size() + " times");
        System.out.println(
                breaks.isEmpty()
                        ? "held"
                        : "broken " + breaks.size() + " times, first: " + breaks.get(0));
        close();
        return breaks.isEmpty() ? HELD : BROKEN;
    }

    int couldNotRun(String why) {
        note("could not run: " + why);
        System.out.println("could not run: " + why);
        close();
        return COULD_NOT_RUN;
    }

    @Override
    public void close() {
        synchronized (this) {
            if (isClosed) {
                return;
            }
            isClosed = true;
        }
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (record) {
            record.flush();
        }
        try (var files = Files.walk(tmp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException left) {
            System.err.println(left);
        }
    }

    // ---- the router ----

    /** The settings of the example, for a small deployment; a case may replace parts of the text. */
    String settings =
            """
            {"NInstances": 1, "Tick": 5.0, "Discovery": "automatic",
             "Permissions": {"Cancelling": true, "ConnIdle": 15000.0, "ConnectTimeout": 250.0,
              "MaxRetryAfter": 2000.0, "MaxStreams": 32, "MayProbe": true, "OpenCap": 180,
              "RetryAfter": false, "SecondCopies": true, "TryLimit": 3},
             "Prices": {"LateFail": 0.1}, "Report": {"How": "none", "Fields": []},
             "RequestClasses": [
              {"Name": "report", "Objective": 3000.0, "GiveUp": 10000.0, "Worth": 2.0,
               "LateWorth": 0.1, "Semantics": "read_like"},
              {"Name": "sheet", "Objective": 2500.0, "GiveUp": 5000.0, "Worth": 1.0,
               "LateWorth": 0.3, "Semantics": "read_like"}],
             "Rules": {"ColdFrom": 0.2, "DrainGrace": 2000.0, "Fall": 1500.0,
              "OverloadFactor": 2.5, "RampTime": 18000.0},
             "Specifics": {"FloorByClass": [1.0, 1.0], "PerCall": 8, "Places": 6, "Ranges": 24,
              "Reach": 3, "SecondStep": [0, 0], "WholeAt": [1.0, 1.0]}}
            """;

    static final int PLACES = 6;
    static final int RANGES = 24;
    static final int REACH = 3;

    Path configFile() {
        return tmp.resolve("config.json");
    }

    /** Writes the configuration; the known list is the one that discovery holds now. */
    void writeConfig(int discoveryPort, String known) throws IOException {
        String config =
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                        + listenPort
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discoveryPort
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":192,\"sockets\":1024},\"known\":"
                        + known
                        + ",\"settings\":"
                        + settings
                        + "}";
        Path next = tmp.resolve("config.next");
        Files.writeString(next, config);
        Files.move(
                next,
                configFile(),
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the router with the line run of the deploy file; returns null if it can't be read. */
    Process startRouter(String... options) throws IOException {
        Path root = folder.toAbsolutePath().normalize().getParent().getParent();
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        if (run == null) {
            return null;
        }
        run = run + (options.length == 0 ? "" : " " + String.join(" ", options));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        Map<String, String> variables = builder.environment();
        Path routerTmp = Files.createDirectories(tmp.resolve("router"));
        variables.put("TMPDIR", routerTmp.toString());
        variables.put("RELAY_NAME", "n1");
        variables.put("RELAY_LISTEN", "127.0.0.1:" + listenPort);
        variables.put("RELAY_DISCOVERY", "127.0.0.1:" + discovery.port);
        variables.put("RELAY_CONFIG", configFile().toString());
        builder.redirectErrorStream(true);
        Process router = builder.start();
        processes.add(router);
        start(
                () -> {
                    try (BufferedReader log =
                            new BufferedReader(
                                    new InputStreamReader(
                                            router.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = log.readLine(); line != null; line = log.readLine()) {
                            note("log " + line);
                        }
                    } catch (IOException ended) {
                        // The process has ended.
                    }
                });
        return router;
    }

    /** Waits until GET /health/ready has answered 200; false if that takes over 30 s. */
    boolean awaitReady() {
        long end = now() + 30_000;
        while (now() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", listenPort), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
                Http answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status == 200) {
                    note("ready");
                    return true;
                }
            } catch (IOException notYet) {
                // It has not started.
            }
            sleep(50);
        }
        return false;
    }

    void signal(Process process, String name) throws IOException, InterruptedException {
        note("signal " + name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    // ---- discovery ----

    /** One data node as the list shows it. */
    record Entry(String uid, int port, int cell, String state, long bootMillis) {
        String json() {
            return "{\"uid\":\""
                    + uid
                    + "\",\"endpoint\":\"127.0.0.1:"
                    + port
                    + "\",\"az\":\"a\",\"model\":\"m1\",\"pod_group\":"
                    + cell
                    + ",\"state\":\""
                    + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                    + bootMillis
                    + "}";
        }
    }

    /** The agent: gives the whole list, or the changes after a version once there are any. */
    final class Discovery {
        final ServerSocket listener = listen();
        final int port = listener.getLocalPort();
        private final Map<String, Entry> list = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private final Map<String, Entry> last = new LinkedHashMap<>();
        private long revision = 1;

        /** How long after a call its answer is sent, beside what a watch waits for a change. */
        volatile long answerDelayMillis;

        Discovery() {
            start(() -> acceptAll(listener, this::serve));
        }

        synchronized void put(Entry entry) {
            revision++;
            if (entry.state().equals("removed")) {
                list.remove(entry.uid());
            } else {
                list.put(entry.uid(), entry);
            }
            last.put(entry.uid(), entry);
            changedAt.put(entry.uid(), revision);
            note("list rev " + revision + " " + entry.uid() + " " + entry.state());
            notifyAll();
        }

        synchronized String whole() {
            return answer(true, new ArrayList<>(list.values()));
        }

        private String answer(boolean isWhole, List<Entry> entries) {
            StringBuilder body = new StringBuilder();
            for (Entry entry : entries) {
                body.append(body.length() == 0 ? "" : ",").append(entry.json());
            }
            return "{\"rev\":" + revision + ",\"all\":" + isWhole + ",\"targets\":[" + body + "]}";
        }

        private synchronized String watch(long after, long waitMillis) {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            while (revision <= after) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
            List<Entry> changes = new ArrayList<>();
            changedAt.forEach(
                    (uid, at) -> {
                        if (at > after) {
                            changes.add(last.get(uid));
                        }
                    });
            return answer(false, changes);
        }

        private void serve(Socket socket) throws IOException {
            Http call;
            while ((call = Http.read(socket.getInputStream())) != null) {
                String path = call.startLine.split(" ")[1];
                note("discovery asked " + path);
                sleep(answerDelayMillis);
                String body =
                        path.contains("after=")
                                ? watch(parameter(path, "after"), parameter(path, "wait_ms"))
                                : whole();
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                + "Content-Length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes(StandardCharsets.US_ASCII));
                note("discovery answered " + path + " rev " + revision);
            }
        }

        private static long parameter(String path, String name) {
            for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return Long.parseLong(pair.substring(name.length() + 1));
                }
            }
            return 0;
        }
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    interface Handler {
        void handle(Socket socket) throws IOException;
    }

    static void acceptAll(ServerSocket listener, Handler handler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                start(
                        () -> {
                            try (socket) {
                                handler.handle(socket);
                            } catch (IOException ended) {
                                // The other side has ended the connection.
                            }
                        });
            } catch (IOException ended) {
                return;
            }
        }
    }

    // ---- data nodes ----

    /** One part as a node got it. */
    final class Part {
        final Node node;
        final NodeConnection connection;
        final String id;
        final int shard;
        final long limitMillis;
        final long receivedAt = now();
        volatile boolean isGivenUp;

        Part(Node node, NodeConnection connection, String id, int shard, long limitMillis) {
            this.node = node;
            this.connection = connection;
            this.id = id;
            this.shard = shard;
            this.limitMillis = limitMillis;
        }

        String requestId() {
            return id.substring(0, id.lastIndexOf('.'));
        }

        String value() {
            return Stand.value(requestId(), shard);
        }
    }

    /** The value that the data nodes make for a part: text of 12 to 40 characters. */
    static String value(String requestId, int shard) {
        Random random = new Random(requestId.hashCode() * 31L + shard);
        StringBuilder value = new StringBuilder();
        for (int i = 12 + random.nextInt(29); i > 0; i--) {
            value.append((char) ('a' + random.nextInt(26)));
        }
        return value.toString();
    }

    /** A connection that a router has opened to a node. */
    final class NodeConnection {
        final Socket socket;
        private final OutputStream out;
        volatile int open;

        NodeConnection(Socket socket) throws IOException {
            this.socket = socket;
            out = new BufferedOutputStream(socket.getOutputStream());
        }

        synchronized void write(byte[] bytes) {
            try {
                out.write(bytes);
                out.flush();
            } catch (IOException ended) {
                // The router has ended the connection.
            }
        }
    }

    static byte[] frame(char letter, String rest) {
        return frame(letter, rest, 0);
    }

    /** A frame whose length is off by a number of bytes. */
    static byte[] frame(char letter, String rest, int off) {
        byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int length = bytes.length + 1 + off;
        for (int i = 0; i < 4; i++) {
            out.write(length >>> 8 * i);
        }
        out.write(letter);
        out.writeBytes(bytes);
        return out.toByteArray();
    }

    /** What a node does with a part; the default runs it and answers after some time. */
    interface Behaviour {
        void take(Part part);
    }

    /** What a node does with a connection that asks for an upgrade. */
    interface UpgradeHandler {
        void serve(Node node, Http request, Socket socket) throws IOException;
    }

    volatile UpgradeHandler upgrades;

    final class Node {
        final String uid;
        final int cell;
        final ServerSocket listener = listen();
        final int port = listener.getLocalPort();
        final List<NodeConnection> connections = new CopyOnWriteArrayList<>();
        volatile Behaviour behaviour = part -> answerLater(part, workMillis());
        long bootMillis;

        Node(String uid, int cell) {
            this.uid = uid;
            this.cell = cell;
            start(() -> acceptAll(listener, this::serve));
        }

        Entry entry(String state) {
            return new Entry(uid, port, cell, state, bootMillis);
        }

        long workMillis() {
            return 10 + random.nextInt(30);
        }

        void answerLater(Part part, long millis) {
            timers.schedule(
                    () -> {
                        if (!part.isGivenUp) {
                            answer(part);
                        }
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }

        void answer(Part part) {
            note("ran " + uid + " " + part.id);
            part.connection.write(frame('A', part.id + " ok 17 -\n" + part.value()));
        }

        private void serve(Socket socket) throws IOException {
            PushbackInputStream begin = new PushbackInputStream(socket.getInputStream(), 1);
            int first = begin.read();
            if (first < 0) {
                return;
            }
            begin.unread(first);
            if (first == 'G' && upgrades != null) {
                upgrades.serve(this, Http.read(begin), socket);
                return;
            }
            NodeConnection connection = new NodeConnection(socket);
            connections.add(connection);
            Map<String, Part> open = new ConcurrentHashMap<>();
            DataInputStream in = new DataInputStream(begin);
            try {
                while (true) {
                    byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                    in.readFully(frame);
                    switch (frame[0]) {
                        case 'Q' -> readCall(frame, connection, open);
                        case 'X' -> {
                            String id = new String(frame, 1, frame.length - 1, "US-ASCII").strip();
                            note("gave up " + uid + " " + id);
                            Part part = open.get(id);
                            if (part != null) {
                                part.isGivenUp = true;
                            }
                        }
                        case 'P' -> connection.write(frame('P', "ok"));
                        case 'L' -> connection.write(frame('L', "-"));
                        default -> throw new IOException("unknown letter");
                    }
                }
            } finally {
                connections.remove(connection);
                open.values().forEach(part -> part.isGivenUp = true);
            }
        }

        private void readCall(byte[] frame, NodeConnection connection, Map<String, Part> open)
                throws IOException {
            for (int at = 1; at < frame.length; ) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] line =
                        new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
                at = end + 1 + Integer.parseInt(line[3]);
                long limit = 0;
                for (String item : line[2].split(",")) {
                    if (item.startsWith("d=")) {
                        limit = Long.parseLong(item.substring(2));
                    }
                }
                Part part =
                        new Part(this, connection, line[0], Integer.parseInt(line[1]), limit);
                note("got " + uid + " " + part.id + " d=" + limit);
                open.put(part.id, part);
                attempts.add(part);
                onAttempt.forEach(check -> check.take(part));
                behaviour.take(part);
            }
        }

        /** Ends all connections with a reset, as when the process dies, and refuses new ones. */
        void die() throws IOException {
            note("dies " + uid);
            listener.close();
            for (NodeConnection connection : connections) {
                connection.socket.setSoLinger(true, 0);
                connection.socket.close();
            }
        }
    }

    final List<Part> attempts = Collections.synchronizedList(new ArrayList<>());
    final List<Behaviour> onAttempt = new CopyOnWriteArrayList<>();

    Node addNode(String uid, int cell) {
        Node node = new Node(uid, cell);
        nodes.put(uid, node);
        return node;
    }

    /** Nodes a0, a1, ... with so many in each cell, all up. */
    void addFleet(int perCell) {
        for (int i = 0; i < PLACES * perCell; i++) {
            discovery.put(addNode("a" + i, i % PLACES).entry("up"));
        }
    }

    // ---- clients ----

    /** One request, and what has come of it. */
    final class Request {
        final String id;
        final String product;
        final int[] shards;
        final long limitMillis;
        volatile long sentAt = -1;
        volatile long endedAt = -1;
        volatile int status;
        volatile String body = "";
        volatile String failure;

        Request(String id, String product, int[] shards, long limitMillis) {
            this.id = id;
            this.product = product;
            this.shards = shards;
            this.limitMillis = limitMillis;
        }

        byte[] bytes() {
            StringBuilder parts = new StringBuilder();
            double sum = 0;
            for (int i = 0; i < shards.length; i++) {
                double weight =
                        i + 1 < shards.length
                                ? Math.round(1e6 / shards.length) / 1e6
                                : Math.round((1 - sum) * 1e6) / 1e6;
                sum += weight;
                parts.append(i == 0 ? "" : ",")
                        .append("{\"shard\":")
                        .append(shards[i])
                        .append(",\"weight\":")
                        .append(weight)
                        .append('}');
            }
            String text = "{\"shards\":[" + parts + "],\"q\":\"q" + id + "\"}";
            return ("POST /"
                            + product
                            + " HTTP/1.1\r\nHost: r\r\nX-Request-ID: "
                            + id
                            + "\r\nX-Priority-Class: "
                            + product
                            + "\r\nX-Timeout-Ms: "
                            + limitMillis
                            + "\r\nContent-Length: "
                            + text.length()
                            + "\r\n\r\n"
                            + text)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        /** What is wrong with an answer that serves the request; null if nothing is. */
        String wrongData() {
            if (status != 200) {
                return null;
            }
            boolean isComplete = body.replace(" ", "").contains("\"complete\":true");
            int found = 0;
            for (int shard : shards) {
                String hit = "{\"shard\":" + shard + ",\"doc\":";
                if (!body.contains(hit)) {
                    continue;
                }
                found++;
                if (!body.contains(hit + "\"" + value(id, shard) + "\"}")) {
                    return "request "
                            + id
                            + " was served with another value for shard "
                            + shard
                            + " than "
                            + value(id, shard)
                            + ": "
                            + body;
                }
            }
            return isComplete && found < shards.length
                    ? "request " + id + " was marked whole without all parts: " + body
                    : null;
        }
    }

    private long nextId = 1;

    synchronized Request newRequest(String product, int parts, long limitMillis) {
        int first = random.nextInt(RANGES);
        int[] shards = new int[parts];
        for (int i = 0; i < parts; i++) {
            shards[i] = (first + i) % RANGES;
        }
        Request request =
                new Request(
                        String.format("%08x%04x", random.nextInt(), nextId++),
                        product,
                        shards,
                        limitMillis);
        requests.add(request);
        byId.put(request.id, request);
        return request;
    }

    private final Set<Socket> resting = ConcurrentHashMap.newKeySet();

    /** Sends a request over a connection that rests, or over a new one, and awaits its answer. */
    void ask(Request request) {
        boolean mayAskAgain = true;
        Socket socket = null;
        try {
            for (Socket rested : resting) {
                if (resting.remove(rested)) {
                    socket = rested;
                    break;
                }
            }
            boolean isOld = socket != null;
            while (true) {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", listenPort), 2000);
                    socket.setTcpNoDelay(true);
                }
                socket.setSoTimeout((int) request.limitMillis + 3000);
                request.sentAt = now();
                note("sent " + request.id + " " + request.product + " " + request.limitMillis);
                Http answer = null;
                IOException end = null;
                try {
                    socket.getOutputStream().write(request.bytes());
                    answer = Http.read(socket.getInputStream());
                } catch (IOException ended) {
                    end = ended;
                }
                if (answer != null) {
                    request.status = answer.status;
                    request.body = answer.body;
                    request.endedAt = now();
                    note("answered " + request.id + " " + answer.status + " " + answer.body);
                    if (answer.isKeptAlive) {
                        resting.add(socket);
                        socket = null;
                    }
                    return;
                }
                socket.close();
                socket = null;
                if (!isOld || !mayAskAgain) {
                    throw end == null ? new EOFException("closed with no answer") : end;
                }
                // It may have crossed the end of a resting connection: once more on a new one.
                mayAskAgain = false;
                isOld = false;
            }
        } catch (IOException failed) {
            request.failure = failed.toString();
            request.endedAt = now();
            note("no answer to " + request.id + ": " + failed);
        } finally {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // It is closed.
                }
            }
        }
    }

    /** Starts requests at a steady rate until a time of the case; returns at once. */
    void load(String product, int parts, long limitMillis, double perSecond, long untilMillis) {
        start(
                () -> {
                    long begin = now();
                    for (int i = 0; ; i++) {
                        long at = begin + (long) (i * 1000 / perSecond);
                        if (at >= untilMillis) {
                            return;
                        }
                        sleepUntil(at);
                        Request request = newRequest(product, parts, limitMillis);
                        start(() -> ask(request));
                    }
                });
    }

    long countAttempts(Predicate<Part> which) {
        synchronized (attempts) {
            return attempts.stream().filter(which).count();
        }
    }

    List<Request> allRequests() {
        synchronized (requests) {
            return new ArrayList<>(requests);
        }
    }

    long count(Predicate<Request> which) {
        synchronized (requests) {
            return requests.stream().filter(which).count();
        }
    }

    /** Waits until all requests have ended, up to a time. */
    void awaitEnds(long withinMillis) {
        long end = now() + withinMillis;
        while (now() < end && count(r -> r.endedAt < 0) > 0) {
            sleep(50);
        }
    }

    /** An HTTP message. */
    static final class Http {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        int status;
        boolean isKeptAlive = true;
        String body = "";

        /** Null at the end of the connection before a message. */
        static Http read(InputStream in) throws IOException {
            Http message = new Http();
            message.startLine = line(in);
            if (message.startLine == null) {
                return null;
            }
            if (message.startLine.startsWith("HTTP/1.1 ")) {
                message.status = Integer.parseInt(message.startLine.substring(9, 12));
            }
            int length = 0;
            for (String line = line(in); ; line = line(in)) {
                if (line == null) {
                    throw new EOFException("in a head");
                }
                if (line.isEmpty()) {
                    break;
                }
                String lower = line.toLowerCase(java.util.Locale.ROOT);
                int colon = line.indexOf(':');
                message.headers.put(
                        lower.substring(0, colon), line.substring(colon + 1).strip());
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).strip());
                } else if (lower.startsWith("connection:")) {
                    message.isKeptAlive = !lower.contains("close");
                }
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("in a body");
            }
            message.body = new String(body, StandardCharsets.UTF_8);
            return message;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); ; c = in.read()) {
                if (c < 0) {
                    if (line.length() > 0) {
                        throw new EOFException("in a line");
                    }
                    return null;
                }
                if (c == '\n') {
                    int end = line.length();
                    return end > 0 && line.charAt(end - 1) == '\r'
                            ? line.substring(0, end - 1)
                            : line.toString();
                }
                line.append((char) c);
            }
        }
    }
}
