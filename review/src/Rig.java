import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stand-ins for discovery, data nodes and clients, and the router as a separate process. */
final class Rig {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Rig() {}

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(double millis) {
        try {
            if (millis > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Job job) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                job.run();
                            } catch (Exception e) {
                                // A connection that ended; what matters is recorded by the job.
                            }
                        },
                        name,
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Job {
        void run() throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** What was sent, answered and run, with the time of each line. */
    static final class Record {
        private final PrintWriter out;

        Record(String file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
        }

        synchronized void line(String text) {
            out.printf("%10.1f %s%n", now(), text);
        }

        /** A line of the record that is printed too. */
        synchronized void say(String text) {
            line(text);
            out.flush();
            System.out.println(text);
        }

        synchronized void close() {
            out.close();
        }
    }

    /** The router, started by the line `run` of the deploy file. */
    static final class Router {
        final Path folder;
        final int port;
        final Path config;
        private final Path root;
        private Process process;

        Router(Path root, Path folder, String name) throws IOException {
            this.root = root;
            this.folder = folder;
            this.port = freePort();
            this.config = folder.resolve(name + ".json");
        }

        void writeConfig(String text) throws IOException {
            Path next = folder.resolve("next.json");
            Files.writeString(next, text);
            Files.move(
                    next,
                    config,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = ")) {
                    run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            File log = folder.resolve(config.getFileName() + ".log").toFile();
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", run)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        /** Ends the process and waits for its end. */
        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Sends a signal to this process only. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("/bin/kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        boolean awaitReady(long millis) {
            double until = now() + millis;
            while (now() < until && isAlive()) {
                try (Client client = new Client(port)) {
                    if (client.get("/health/ready", 1000).status == 200) {
                        return true;
                    }
                } catch (IOException notYet) {
                    // It does not listen yet.
                }
                sleep(50);
            }
            return false;
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(config.getFileName() + ".log"));
        }
    }

    /** Discovery's agent: the whole list, and a watch on its changes. */
    static final class Discovery {
        final ServerSocket listener;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final TreeMap<Long, Map<String, String>> changes = new TreeMap<>();
        private long revision = 1;

        /** How long the agent takes for an answer beside what a watch waits, in milliseconds. */
        volatile double delay;

        volatile Record record;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            Rig.start(
                    "discovery",
                    () -> {
                        while (true) {
                            Socket socket = listener.accept();
                            Rig.start("agent", () -> serve(socket));
                        }
                    });
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized void put(String uid, int port, int cell, String state, long bootMillis) {
            String entry =
                    String.format(
                            "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"a\",\"model\":\"m\","
                                    + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":%d}",
                            uid, port, cell, state, bootMillis);
            revision++;
            if (state.equals("removed")) {
                entries.remove(uid);
            } else {
                entries.put(uid, entry);
            }
            changes.put(revision, Map.of(uid, entry));
            notifyAll();
        }

        synchronized String list() {
            return "{\"rev\":"
                    + revision
                    + ",\"all\":true,\"targets\":["
                    + String.join(",", entries.values())
                    + "]}";
        }

        private synchronized String after(long from, long waitMillis) throws InterruptedException {
            double until = now() + waitMillis;
            while (revision <= from && now() < until) {
                wait(Math.max(1, (long) (until - now())));
            }
            if (from > revision) {
                return list();
            }
            Map<String, String> changed = new LinkedHashMap<>();
            changes.tailMap(from, false).values().forEach(changed::putAll);
            return "{\"rev\":"
                    + revision
                    + ",\"all\":false,\"targets\":["
                    + String.join(",", changed.values())
                    + "]}";
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String line = readLine(in);
                    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {}
                    int query = line.indexOf("after=");
                    String body;
                    double asked = now();
                    if (query < 0) {
                        sleep(delay);
                        body = list();
                    } else {
                        long from = number(line, "after=");
                        long wait = Math.min(60_000, number(line, "wait_ms="));
                        body = after(from, wait);
                        sleep(delay);
                    }
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n";
                    out.write(concat(head.getBytes(StandardCharsets.US_ASCII), bytes));
                    out.flush();
                    if (record != null) {
                        record.line(
                                String.format(
                                        "discovery: asked at %.1f: %s; answered: %s",
                                        asked, line, body));
                    }
                }
            }
        }

        private static long number(String line, String name) {
            int at = line.indexOf(name);
            if (at < 0) {
                return 0;
            }
            int end = at + name.length();
            while (end < line.length() && Character.isDigit(line.charAt(end))) {
                end++;
            }
            return Long.parseLong(line.substring(at + name.length(), end));
        }
    }

    /** One part as a data node reads it. */
    static final class PartCall {
        final NodeConnection connection;
        final String id;
        final int shard;
        final String list;
        final byte[] text;
        final double arrivedAt = now();

        PartCall(NodeConnection connection, String id, int shard, String list, byte[] text) {
            this.connection = connection;
            this.id = id;
            this.shard = shard;
            this.list = list;
            this.text = text;
        }

        void answer(String end, String value) {
            connection.frame(
                    'A', id + " " + end + " " + Math.abs((long) id.hashCode()) + " -\n" + value);
        }
    }

    /** What a data node does with a part; it may answer later from another thread. */
    interface PartHandler {
        void part(Node node, PartCall call) throws Exception;
    }

    static final class NodeConnection {
        final Socket socket;
        private final OutputStream out;
        private final java.util.Set<String> givenUp =
                java.util.concurrent.ConcurrentHashMap.newKeySet();

        /** Whether the router has given up this part, which is told once. */
        boolean isGivenUp(String id) {
            return givenUp.remove(id);
        }

        NodeConnection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void frame(char type, String rest) {
            byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
            int length = bytes.length + 1;
            byte[] head = {
                (byte) length,
                (byte) (length >> 8),
                (byte) (length >> 16),
                (byte) (length >> 24),
                (byte) type
            };
            try {
                out.write(concat(head, bytes));
                out.flush();
            } catch (IOException closed) {
                // The router has closed the connection.
            }
        }
    }

    /** A data node that speaks the frames of the protocol page. */
    static final class Node {
        final String uid;
        final int cell;
        final int port;
        private final PartHandler handler;
        private final ServerSocket listener;
        private final List<Socket> fillers = new ArrayList<>();
        private boolean isFull;

        /** Whether probes are answered. */
        volatile boolean answersProbes = true;

        final List<NodeConnection> connections = new ArrayList<>();

        Node(String uid, int cell, PartHandler handler) throws IOException {
            this.uid = uid;
            this.cell = cell;
            this.handler = handler;
            listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            Rig.start(
                    uid,
                    () -> {
                        while (true) {
                            synchronized (fillers) {
                                while (isFull) {
                                    fillers.wait();
                                }
                            }
                            Socket socket = listener.accept();
                            synchronized (fillers) {
                                if (isFull) {
                                    // The accept that was under way when the queue was filled.
                                    fillers.add(socket);
                                    continue;
                                }
                            }
                            Rig.start(uid, () -> serve(socket));
                        }
                    });
        }

        int connectionCount() {
            synchronized (connections) {
                return connections.size();
            }
        }

        /**
         * Fills the queue of connections to be accepted: new ones don't come up until {@link
         * #resumeAccepting}, and then by the next try of the system, which comes after a second.
         */
        void stopAccepting() throws IOException {
            synchronized (fillers) {
                isFull = true;
            }
            // One is taken by the accept under way, two fill the queue.
            for (int i = 0; i < 3; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", port), 100);
                    synchronized (fillers) {
                        fillers.add(filler);
                    }
                } catch (IOException full) {
                    filler.close();
                }
            }
        }

        /** Takes connections again. */
        void resumeAccepting() throws IOException {
            synchronized (fillers) {
                isFull = false;
                for (Socket filler : fillers) {
                    filler.close();
                }
                fillers.clear();
                fillers.notifyAll();
            }
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            NodeConnection connection = new NodeConnection(socket);
            synchronized (connections) {
                connections.add(connection);
            }
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                while (true) {
                    byte[] head = in.readNBytes(4);
                    if (head.length < 4) {
                        return;
                    }
                    int length =
                            head[0] & 255
                                    | (head[1] & 255) << 8
                                    | (head[2] & 255) << 16
                                    | (head[3] & 255) << 24;
                    byte[] frame = in.readNBytes(length);
                    if (frame.length < length) {
                        return;
                    }
                    char type = (char) frame[0];
                    if (type == 'Q') {
                        call(connection, frame);
                    } else if (type == 'X') {
                        connection.givenUp.add(
                                new String(frame, 1, length - 1, StandardCharsets.UTF_8));
                    } else if ((type == 'P' || type == 'L') && answersProbes) {
                        connection.frame(type, type == 'P' ? "ok" : "-");
                    }
                }
            } finally {
                synchronized (connections) {
                    connections.remove(connection);
                }
            }
        }

        private void call(NodeConnection connection, byte[] frame) throws Exception {
            int at = 1;
            while (at < frame.length) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] line =
                        new String(frame, at, end - at, StandardCharsets.UTF_8).split(" ");
                int length = Integer.parseInt(line[3]);
                byte[] text = java.util.Arrays.copyOfRange(frame, end + 1, end + 1 + length);
                at = end + 1 + length;
                handler.part(
                        this,
                        new PartCall(
                                connection, line[0], Integer.parseInt(line[1]), line[2], text));
            }
        }
    }

    /** A response, or status 0 if the connection ended without a whole one. */
    static final class Response {
        final int status;
        final String body;
        final String head;

        Response(int status, String head, String body) {
            this.status = status;
            this.head = head;
            this.body = body;
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        Response get(String path, int timeoutMillis) throws IOException {
            write(("GET " + path + " HTTP/1.1\r\nHost: r\r\n\r\n").getBytes());
            return read(timeoutMillis);
        }

        /** Reads one response; status 0 if the connection ends or resets, -1 at the time-out. */
        Response read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            try {
                String line = readLine(in);
                StringBuilder head = new StringBuilder(line).append('\n');
                int length = 0;
                for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
                    head.append(header).append('\n');
                    if (header.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).trim());
                    }
                }
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return new Response(0, head.toString(), "");
                }
                return new Response(
                        Integer.parseInt(line.split(" ")[1]),
                        head.toString(),
                        new String(body, StandardCharsets.UTF_8));
            } catch (java.net.SocketTimeoutException late) {
                return new Response(-1, "", "");
            } catch (EOFException | SocketException ended) {
                return new Response(0, "", "");
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request in the form of the protocol page, with equal weights. */
    static byte[] request(String product, String id, long timeoutMillis, int[] shards, String q) {
        StringBuilder body = new StringBuilder("{\"shards\":[");
        for (int i = 0; i < shards.length; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"shard\":")
                    .append(shards[i])
                    .append(",\"weight\":")
                    .append(String.format("%.6f", 1.0 / shards.length))
                    .append('}');
        }
        body.append("],\"q\":\"").append(q).append("\"}");
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String head =
                "POST /"
                        + product
                        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: "
                        + id
                        + "\r\nX-Priority-Class: "
                        + product
                        + "\r\nX-Timeout-Ms: "
                        + timeoutMillis
                        + "\r\nContent-Length: "
                        + bytes.length
                        + "\r\n\r\n";
        return concat(head.getBytes(StandardCharsets.US_ASCII), bytes);
    }

    static byte[] concat(byte[] first, byte[] second) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(first.length + second.length);
        all.writeBytes(first);
        all.writeBytes(second);
        return all.toByteArray();
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                throw new EOFException();
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

    /** Settings of a small deployment: one product, nodes in cells in a ring. */
    static final class Settings {
        String productRow =
                "{\"Name\":\"sheet\",\"Objective\":2500.0,\"GiveUp\":5000.0,\"Worth\":1.0,"
                        + "\"LateWorth\":0.3,\"Semantics\":\"read_like\"}";
        boolean mayProbe = true;
        boolean secondCopies = true;
        boolean cancelling = true;
        int tryLimit = 3;
        int openCap = 180;
        double connectTimeout = 250;
        double connIdle = 15000;
        double drainGrace = 2000;
        int maxStreams = 32;
        int places = 3;
        int reach = 3;
        int ranges = 12;
        int sockets = 1024;
        String floor = "1.0";
        String rulesMore = "";

        String config(int listen, int discovery, String known) {
            return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                    + listen
                    + "\",\"discovery\":\"127.0.0.1:"
                    + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                    + sockets
                    + "},\"known\":"
                    + known
                    + ",\"settings\":{\"NInstances\":1,\"Tick\":5.0,\"Discovery\":\"automatic\","
                    + "\"Permissions\":{\"Cancelling\":"
                    + cancelling
                    + ",\"ConnIdle\":"
                    + connIdle
                    + ",\"ConnectTimeout\":"
                    + connectTimeout
                    + ",\"MaxRetryAfter\":2000.0,\"MaxStreams\":"
                    + maxStreams
                    + ",\"MayProbe\":"
                    + mayProbe
                    + ",\"OpenCap\":"
                    + openCap
                    + ",\"RetryAfter\":false,\"SecondCopies\":"
                    + secondCopies
                    + ",\"TryLimit\":"
                    + tryLimit
                    + "},\"Prices\":{\"LateFail\":0.1},"
                    + "\"Report\":{\"How\":\"none\",\"Fields\":[]},\"RequestClasses\":["
                    + productRow
                    + "],\"Rules\":{\"ColdFrom\":0.2,\"DrainGrace\":"
                    + drainGrace
                    + ",\"Fall\":1500.0,\"OverloadFactor\":2.5,\"RampTime\":18000.0"
                    + rulesMore
                    + "},\"Specifics\":{\"FloorByClass\":["
                    + floor
                    + "],\"PerCall\":8,\"Places\":"
                    + places
                    + ",\"Ranges\":"
                    + ranges
                    + ",\"Reach\":"
                    + reach
                    + ",\"SecondStep\":[0],\"WholeAt\":[1.0]}}}";
        }
    }
}
