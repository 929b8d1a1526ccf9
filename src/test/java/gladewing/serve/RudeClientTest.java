package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients send as much as they can, or hold what they have begun to send. Guards against answers to
 * other clients that are late or never come, and against memory that grows with what they send.
 */
class RudeClientTest extends ServeTestHarness {
    private static final int DESCRIPTORS = 1024;

    /** The quoted time of the product in the tests' configuration. */
    private static final int QUOTED_MILLIS = 1000;

    private static final int FLOOD_MILLIS = 3000;
    private static final int FLOODING_CLIENTS = 200;
    private static final int LEAVING_CLIENTS = 16;

    /** With its request it is nearly as large as a body may be. */
    private static final String LARGE_TEXT = "x".repeat(65_000);

    private static final int SOUND_INTERVAL_MILLIS = 20;

    /** The limit of a router's memory in the settings of the examples and of the tests. */
    private static final long MAX_RESIDENT_KB = 192 * 1024;

    /** As the run line of the deploy file bounds the memory. */
    private static final List<String> RUN_LINE_OPTIONS =
            List.of(
                    "-Xms40m",
                    "-Xmx80m",
                    "-Xss512k",
                    "-XX:MaxDirectMemorySize=8m",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:+UseSerialGC");

    private enum Flood {
        /** Readiness checks, which are answered without a data node. */
        CHECKS,
        /** Requests for products that do not exist, each under a new name. */
        UNKNOWN_PRODUCTS,
        /** Bodies that are not JSON. */
        UNSOUND_BODIES,
        /** Multigets of one part, each with a new id. */
        MULTIGETS,
        /** Multigets whose client has no time left for them. */
        HURRIED_MULTIGETS,
        /** Lines that are no requests. */
        NOISE;

        byte[] bytes(long first) {
            StringBuilder text = new StringBuilder();
            for (long i = first; text.length() < 32_000; i++) {
                text.append(request(i));
            }
            return text.toString().getBytes(StandardCharsets.ISO_8859_1);
        }

        private String request(long number) {
            return switch (this) {
                case CHECKS -> "GET /health/ready HTTP/1.1\r\n\r\n";
                case UNKNOWN_PRODUCTS -> "POST /product-" + number + " HTTP/1.1\r\n\r\n";
                case UNSOUND_BODIES ->
                        "POST /report HTTP/1.1\r\nX-Request-ID: f"
                                + number
                                + "\r\nX-Timeout-Ms: 500\r\nContent-Length: 2\r\n\r\n{]";
                case MULTIGETS -> multiget("f" + number, 500);
                case HURRIED_MULTIGETS -> multiget("f" + number, 1);
                default -> "noise " + number + "\r\n";
            };
        }
    }

    private RecordingNode recordingA;
    private RecordingNode recordingB;
    private final AtomicBoolean isFlooding = new AtomicBoolean(true);
    private final AtomicInteger soundRequests = new AtomicInteger();

    @AfterEach
    void stopNodes() {
        isFlooding.set(false);
        for (RecordingNode node : new RecordingNode[] {recordingA, recordingB}) {
            if (node != null) {
                node.close();
            }
        }
    }

    private void startWithNodes() throws Exception {
        jvmOptions.addAll(RUN_LINE_OPTIONS);
        startWithList(DESCRIPTORS);
        recordingA = new RecordingNode(nodeA, 2, "ok");
        recordingB = new RecordingNode(nodeB, 2, "ok");
    }

    private static String multiget(String id, int timeoutMillis) {
        return multiget(id, timeoutMillis, "");
    }

    private static String multiget(String id, int timeoutMillis, String text) {
        String body = "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"" + text + "\"}";
        return "POST /report HTTP/1.1\r\nX-Request-ID: "
                + id
                + "\r\nX-Timeout-Ms: "
                + timeoutMillis
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Sends at full speed until the test ends; connects anew whenever the connection is closed. */
    private void flood(int number, Flood kind, boolean readsAnswers) {
        startDaemon(
                () -> {
                    long next = number * 1_000_000_000L;
                    while (isFlooding.get()) {
                        try (Socket socket = new Socket(LOOPBACK, port)) {
                            if (readsAnswers) {
                                startDaemon(() -> readAll(socket.getInputStream()));
                            }
                            while (isFlooding.get()) {
                                socket.getOutputStream().write(kind.bytes(next));
                                next += 1000;
                            }
                        } catch (IOException closed) {
                            // The next connection goes on.
                        }
                    }
                });
    }

    private static void readAll(InputStream in) throws IOException {
        byte[] answers = new byte[64 * 1024];
        int count = 0;
        while (count >= 0) {
            count = in.read(answers);
        }
    }

    /** Asks one request after the other; returns what was late, lost or not served. */
    private List<String> askWhileFlooding(String prefix) throws Exception {
        return askWhileFlooding(prefix, "");
    }

    private List<String> askWhileFlooding(String prefix, String text) throws Exception {
        List<String> failures = new ArrayList<>();
        long end = System.nanoTime() + FLOOD_MILLIS * 1_000_000L;
        Client client = new Client();
        for (int i = 0; System.nanoTime() < end; i++) {
            long sentAt = System.nanoTime();
            String response;
            try {
                client.socket.setSoTimeout(3 * QUOTED_MILLIS);
                response =
                        client.send(multiget(prefix + i, 3 * QUOTED_MILLIS, text)).readResponse();
            } catch (SocketTimeoutException none) {
                response = "none";
            }
            soundRequests.incrementAndGet();
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (!response.startsWith("200") || millis > QUOTED_MILLIS) {
                failures.add(response + " after " + millis + " ms");
            }
            if (!response.startsWith("200") || response.contains("close")) {
                client.close();
                client = new Client();
            }
            Thread.sleep(SOUND_INTERVAL_MILLIS);
        }
        client.close();
        return failures;
    }

    private long residentPeakKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")))
                .findFirst()
                .orElseThrow();
    }

    private void assertHolds(List<String> failures) throws IOException {
        assertTrue(process.isAlive(), log.toString());
        System.out.println(
                soundRequests + " sound requests, peak memory " + residentPeakKb() / 1024 + " MB");
        assertEquals(List.of(), failures.stream().limit(20).toList());
        assertTrue(residentPeakKb() <= MAX_RESIDENT_KB, "resident: " + residentPeakKb() + " KB");
        assertTrue(log.stream().noneMatch(line -> line.contains("OutOfMemory")), log.toString());
    }

    /** Others got their answers late or never while one connection sent at full speed. */
    @ParameterizedTest
    @CsvSource({
        "CHECKS, true",
        "CHECKS, false",
        "UNKNOWN_PRODUCTS, true",
        "UNSOUND_BODIES, true",
        "MULTIGETS, true",
        "MULTIGETS, false",
        "HURRIED_MULTIGETS, true",
        "NOISE, true"
    })
    void servesOthersBesideAClientThatSendsAtFullSpeed(Flood kind, boolean readsAnswers)
            throws Exception {
        startWithNodes();
        flood(0, kind, readsAnswers);
        assertHolds(askWhileFlooding("s"));
    }

    /** As above, with many that do so together. */
    @ParameterizedTest
    @CsvSource({"CHECKS, true", "CHECKS, false", "UNSOUND_BODIES, true", "HURRIED_MULTIGETS, true"})
    void servesOthersBesideManyClientsThatSendAtFullSpeed(Flood kind, boolean readsAnswers)
            throws Exception {
        startWithNodes();
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            flood(i, kind, readsAnswers);
        }
        assertHolds(askWhileFlooding("s"));
    }

    /** As above, for others whose requests are among the largest. */
    @ParameterizedTest
    @CsvSource({"CHECKS, true", "UNSOUND_BODIES, true", "HURRIED_MULTIGETS, true"})
    void servesLargeRequestsBesideManyClientsThatSendAtFullSpeed(Flood kind, boolean readsAnswers)
            throws Exception {
        startWithNodes();
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            flood(i, kind, readsAnswers);
        }
        assertHolds(askWhileFlooding("s", LARGE_TEXT));
    }

    /** What hundreds of clients have begun to send took a process past its memory limit. */
    @ParameterizedTest
    @ValueSource(strings = {"SLOW", "HALF", "HEADS", "CHUNKS"})
    void staysWithinItsMemoryWhileHundredsOfClientsHoldRequests(String kind) throws Exception {
        startWithNodes();
        IntFunction<byte[]> pieces =
                switch (kind) {
                    case "SLOW" -> i -> "X-Slow: abcdefgh\r\n".repeat(10).getBytes();
                    case "HALF" -> i -> new byte[16_000];
                    case "HEADS" -> i -> "a:\n".repeat(600).getBytes();
                    default -> i -> "1\r\nx\r\n".repeat(2000).getBytes();
                };
        String head =
                switch (kind) {
                    case "HALF" -> "POST /report HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";
                    case "CHUNKS" -> "POST /report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
                    default -> "POST /report HTTP/1.1\r\n";
                };
        for (int i = 0; i < 320; i++) {
            startDaemon(
                    () -> {
                        while (isFlooding.get()) {
                            try (Client client = new Client()) {
                                client.send(head);
                                for (int piece = 0; piece < 4; piece++) {
                                    client.socket.getOutputStream().write(pieces.apply(piece));
                                    sleep(200);
                                }
                                sleep(1500);
                            }
                        }
                    });
        }
        assertHolds(askWhileFlooding("s"));
    }

    private static void sleep(int millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
    }

    /**
     * Connections that were opened and closed at full speed, each under a new request, which data
     * nodes answer or not: what is remembered of withdrawn parts took the heap.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void servesOthersBesideClientsThatConnectAndLeaveAtFullSpeed(boolean areAnswered)
            throws Exception {
        startWithNodes();
        for (RecordingNode node : new RecordingNode[] {recordingA, recordingB}) {
            node.answerOnly(areAnswered ? "" : "s");
        }
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            int number = i;
            startDaemon(
                    () -> {
                        for (long next = 0; isFlooding.get(); next++) {
                            try (Client client = new Client()) {
                                client.send(multiget("l" + number + "-" + next, 60_000));
                                sleep(1);
                            }
                        }
                    });
        }
        assertHolds(askWhileFlooding("s"));
    }
}
