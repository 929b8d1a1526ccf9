package gladewing.benchmarks;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import gladewing.control.ControlMessageCodec;
import gladewing.durable.DiskDirectory;
import gladewing.durable.StateStore;
import gladewing.versions.ConfigKind;
import gladewing.versions.LineEdit;
import gladewing.versions.Manifest;
import gladewing.versions.SigningKeys;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The storage alone (saves a second, time to read by size, bytes on disk), and a started router
 * that a control service pushes tables of routes to: from push to ack, and how long the router's
 * loop stands still meanwhile. Arguments: the jar, a configuration, a folder to work in.
 */
public final class ControlTime {
    private static final String SECRET = "00".repeat(32);
    private static final SigningKeys KEYS = new SigningKeys(Map.of("k", new byte[32]));
    private static final int PATIENCE_S = 120;

    private final ControlMessageCodec wire = new ControlMessageCodec(16 << 20);
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private volatile OutputStream watch;

    private ControlTime() {}

    public static void main(String[] args) throws Exception {
        Path work = Files.createTempDirectory(Path.of(args[2]), "control");
        for (int size : new int[] {1_000, 100_000, 2_000_000}) {
            storage(work, size);
        }
        new ControlTime().router(args[0], args[1], work);
        System.exit(0);
    }

    private static void storage(Path work, int size) throws IOException {
        Path folder = work.resolve("store-" + size);
        int saves = 0;
        Histogram each = new Histogram(3);
        long until = System.nanoTime() + 3_000_000_000L;
        long most = 0;
        try (StateStore store = StateStore.open(DiskDirectory.openForWriting(folder))) {
            while (System.nanoTime() < until) {
                // A text in four is new, as when one kind of four changes.
                Map<String, byte[]> texts = new TreeMap<>();
                for (int kind = 0; kind < 4; kind++) {
                    byte[] text = new byte[size / 4];
                    Arrays.fill(text, (byte) ('a' + (saves + kind) % 26));
                    texts.put(String.format("%064d", (saves + kind) / 4 * 4 + kind), text);
                }
                long begun = System.nanoTime();
                store.save(("state " + saves++).getBytes(StandardCharsets.UTF_8), texts);
                each.recordValue((System.nanoTime() - begun) / 1000);
                most = Math.max(most, store.generationBytes());
            }
        }
        long begun = System.nanoTime();
        StateStore.open(DiskDirectory.openReadOnly(folder)).close();
        say(
                "storage, texts of %d bytes: %d saves a second with fsync, median %.2f ms, 99th"
                        + " %.2f ms; at most %d bytes on disk, read in %.1f ms",
                size,
                saves / 3,
                each.getValueAtPercentile(50) / 1e3,
                each.getValueAtPercentile(99) / 1e3,
                most,
                (System.nanoTime() - begun) / 1e6);
    }

    private static void say(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static String routes(int routes, int version) {
        StringBuilder text = new StringBuilder("[limit desks]\nrate = 1\n");
        for (int i = 0; i < routes; i++) {
            text.append("[route r")
                    .append(i)
                    .append("]\nwhen = request.headers['x-clinic'] == 'c")
                    .append(i + version)
                    .append("'\nkey = request.headers['x-desk']\nlimit = desks\n");
        }
        return text.toString();
    }

    private Manifest signed(long number, String text) {
        Manifest m =
                new Manifest(
                        "bench",
                        1,
                        number,
                        0,
                        Map.of(
                                ConfigKind.ROUTES,
                                new Manifest.Entry(number, SigningKeys.digest(text))),
                        "k",
                        "");
        return new Manifest(
                "bench", 1, number, 0, m.entries(), "k", KEYS.sign("k", m.canonicalText()));
    }

    private void router(String jar, String config, Path work) throws Exception {
        HttpServer service =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        service.setExecutor(Executors.newCachedThreadPool());
        service.createContext(
                "/control/watch",
                exchange -> {
                    exchange.sendResponseHeaders(200, 0);
                    watch = exchange.getResponseBody();
                    watch.flush();
                });
        service.createContext("/control/answers", this::answered);
        service.start();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path own = work.resolve("config.json");
        Files.writeString(
                own,
                Files.readString(Path.of(config))
                        .replaceAll(
                                "\"listen\": *\"[^\"]*\"",
                                "\"listen\": \"127.0.0.1:" + port + "\""));
        Path control = work.resolve("control.ini");
        Files.writeString(
                control,
                "[control]\non = yes\naddress = 127.0.0.1:"
                        + service.getAddress().getPort()
                        + "\nsite = bench\nfolder = "
                        + work.resolve("kept")
                        + "\n"
                        + "longest = 16000000\n"
                        + "spread = 0ms\n"
                        + "trial = 1s\n"
                        + "longest-trial = 1s\n"
                        + "silence = 10m\n"
                        + "whole-within = 10m\n"
                        + "[key k]\n"
                        + "secret = "
                        + SECRET
                        + "\n");
        ProcessBuilder builder =
                new ProcessBuilder(
                        "java",
                        "-Xmx192m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xlog:gc:file=" + work.resolve("gc"),
                        "-jar",
                        jar,
                        "serve",
                        "--control",
                        control.toString());
        builder.environment().put("RELAY_CONFIG", own.toString());
        Process program =
                builder.redirectErrorStream(true)
                        .redirectOutput(work.resolve("log").toFile())
                        .start();
        try {
            while (watch == null) {
                Thread.sleep(50);
            }
            List<Long> gaps = new ArrayList<>();
            Thread.sleep(2000);
            say(
                    "no version: the longest a request for readiness waited in 3 s: %.1f ms",
                    longest(port, 3000) / 1e3);
            long number = 0;
            String before = null;
            for (int routes : new int[] {10, 1000, 10_000, 10_000, 10_000}) {
                String text = routes(routes, (int) number);
                Manifest m = signed(++number, text);
                ControlMessageCodec.TextBody body =
                        before == null || routes < 10_000
                                ? new ControlMessageCodec.TextBody(text, null, List.of())
                                : new ControlMessageCodec.TextBody(
                                        null,
                                        SigningKeys.digest(before),
                                        LineEdit.between(before, text));
                byte[] line =
                        (wire.encodeVersion(m, Map.of(ConfigKind.ROUTES, body)) + "\n")
                                .getBytes(StandardCharsets.UTF_8);
                long begun = System.nanoTime();
                watch.write(line);
                watch.flush();
                Thread asks = new Thread(() -> gaps.add(longest(port, 3000)));
                asks.start();
                String ack = answers.poll(PATIENCE_S, TimeUnit.SECONDS);
                double took = (System.nanoTime() - begun) / 1e6;
                asks.join();
                String good = answers.poll(PATIENCE_S, TimeUnit.SECONDS);
                say(
                        "%d routes, %d bytes: answered after %.0f ms (%s, %s); the longest request"
                                + " waited %.1f ms",
                        routes, line.length, took, ack, good, gaps.get(gaps.size() - 1) / 1e3);
                before = text;
            }
            say(
                    "page: %s",
                    ask(new Socket(InetAddress.getLoopbackAddress(), port), "/health/version"));
        } finally {
            program.destroyForcibly();
        }
    }

    private void answered(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, -1);
        answers.add(body.replaceAll(".*\"answer\":\"(\\w+)\",\"stage\":\"(\\w+)\".*", "$1 $2"));
    }

    /** In microseconds, of requests one after the other for so many milliseconds. */
    private static long longest(int port, long millis) {
        long longest = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            for (long until = System.nanoTime() + millis * 1_000_000; System.nanoTime() < until; ) {
                long begun = System.nanoTime();
                ask(socket, "/health/ready");
                longest = Math.max(longest, (System.nanoTime() - begun) / 1000);
                Thread.sleep(1);
            }
        } catch (IOException | InterruptedException fault) {
            throw new IllegalStateException(fault);
        }
        return longest;
    }

    private static String ask(Socket socket, String path) throws IOException {
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
        int length =
                Integer.parseInt(
                        head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
        return new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
    }
}
