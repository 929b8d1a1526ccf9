package gladewing.control;

import gladewing.versions.ConfigKind;
import gladewing.versions.LineEdit;
import gladewing.versions.Manifest;
import gladewing.versions.SigningKeys;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A control service for tests, over loopback sockets: it sends the messages that a test chooses and
 * records the watch requests and answers that it receives. The protocol is in docs/control.md.
 */
public final class FakeControlService implements AutoCloseable {
    public static final String SITE = "clinic";
    public static final String SECRET =
            "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    private static final int TIMEOUT_S = 30;
    private static final int HEARTBEAT_MS = 300;

    public final SigningKeys keys;
    private final String keyName;
    private final ControlMessageCodec codec = new ControlMessageCodec(1 << 24);
    private ServerSocket listener;
    private final int port;

    /** The path and query of each watch request received, without the router's name. */
    public final BlockingQueue<String> watches = new LinkedBlockingQueue<>();

    /** Each answer received, formatted as one line. */
    public final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    private volatile Socket watch;

    /** Whether a heartbeat is sent on the open watch every HEARTBEAT_MS. */
    public volatile boolean sendsHeartbeats = true;

    /** The HTTP status sent in response to answers; empty to send no response. */
    public volatile String answerStatus = "200 OK";

    /** How long the response to answers takes. */
    public volatile long answerDelayMillis;

    /** Signs with the key of this name, whose secret is {@link #secretOf}. */
    public FakeControlService(String keyName) throws Exception {
        this.keyName = keyName;
        keys =
                new SigningKeys(
                        Map.of(
                                keyName,
                                org.apache.commons.codec.binary.Hex.decodeHex(secretOf(keyName))));
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        acceptFrom(listener);
        startDaemon(
                () -> {
                    while (true) {
                        Thread.sleep(HEARTBEAT_MS);
                        try {
                            if (sendsHeartbeats && watch != null) {
                                sendLine("{\"type\":\"beat\"}");
                            }
                        } catch (IOException cut) {
                            // The watch is broken; heartbeats resume with the next one.
                        }
                    }
                });
    }

    /** The hexadecimal SECRET, its first byte replaced by the first letter of the key's name. */
    public static String secretOf(String keyName) {
        return String.format("%02x", keyName.charAt(0) & 0xff) + SECRET.substring(2);
    }

    /**
     * The control settings of a router that watches this service, with short times so that tests
     * run fast. The given lines are added, and replace defaults of the same keys.
     */
    public String controlFile(String extraLines) {
        StringBuilder file =
                new StringBuilder(
                        "[control]\non = yes\naddress = 127.0.0.1:"
                                + port
                                + "\nsite = "
                                + SITE
                                + "\n"
                                + extraLines
                                + "\n");
        for (String line :
                List.of(
                        "first-wait = 50ms",
                        "longest-wait = 400ms",
                        "silence = 2s",
                        "whole-within = 1s",
                        "spread = 0ms",
                        "patience = 1s",
                        "before = 10s",
                        "trial = 1s",
                        "longest-trial = 1s",
                        "least = 10",
                        "hold-down = 100ms")) {
            file.append(extraLines.contains(line.replaceAll("=.*", "=")) ? "" : line + "\n");
        }
        return file + "[key " + keyName + "]\nsecret = " + secretOf(keyName) + "\n";
    }

    private void acceptFrom(ServerSocket serverSocket) {
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = serverSocket.accept();
                        startDaemon(() -> serve(socket));
                    }
                });
    }

    private interface ThrowingRunnable {
        void run() throws Exception;
    }

    private static void startDaemon(ThrowingRunnable task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // The router has closed the connection, as tests make it do.
                            }
                        },
                        "fake control service");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws Exception {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String requestLine = in.readLine();
        int contentLength = 0;
        String mac = "";
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            contentLength =
                    line.startsWith("Content-Length: ")
                            ? Integer.parseInt(line.substring(16))
                            : contentLength;
            mac = line.startsWith("X-Control-Mac: ") ? line.substring(15) : mac;
        }
        if (requestLine.startsWith("GET /control/watch?")) {
            write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watch = socket;
            watches.add(requestLine.replaceAll("GET |router=[^&]*&| HTTP.*", ""));
            return;
        }
        char[] body = new char[contentLength];
        for (int n = 0; n < contentLength; n += in.read(body, n, contentLength - n)) {}
        String text =
                new String(
                        new String(body).getBytes(StandardCharsets.ISO_8859_1),
                        StandardCharsets.UTF_8);
        // Responds first: a test that has seen an answer relies on the router knowing that.
        if (answerDelayMillis > 0) {
            Thread.sleep(answerDelayMillis);
        }
        if (!answerStatus.isEmpty()) {
            write(socket, "HTTP/1.1 " + answerStatus + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (keys.sign(keyName, text).equals(mac)) {
            codec.json()
                    .readTree(text)
                    .get("answers")
                    .forEach(
                            a ->
                                    answers.add(
                                            a.get("answer").asText()
                                                    + " "
                                                    + a.get("epoch")
                                                    + "."
                                                    + a.get("number")
                                                    + " "
                                                    + a.get("stage").asText()
                                                    + (a.get("lasts").asBoolean()
                                                            ? ""
                                                            : ", not on disk")
                                                    + (a.get("reason").asText().isEmpty()
                                                            ? ""
                                                            : ": " + a.get("reason").asText())
                                                    + (a.get("place").asText().isEmpty()
                                                            ? ""
                                                            : " at " + a.get("place").asText())));
        } else {
            answers.add("an answer with a wrong signature");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends the bytes, unchanged, as one chunk on the open watch. */
    public synchronized FakeControlService sendBytes(byte[] bytes) throws IOException {
        Socket to = watch;
        write(to, Integer.toHexString(bytes.length) + "\r\n");
        to.getOutputStream().write(bytes);
        write(to, "\r\n");
        return this;
    }

    /** Sends a line on the open watch in ten pieces, spread over a time. */
    public synchronized void sendLineSlowly(String text, long millis)
            throws IOException, InterruptedException {
        byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 10; i++) {
            sendBytes(Arrays.copyOfRange(line, line.length * i / 10, line.length * (i + 1) / 10));
            Thread.sleep(millis / 10);
        }
    }

    public FakeControlService sendLine(String text) throws IOException {
        return sendBytes((text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** A signed message that pushes a version, with all texts in full: kind, number, text, ... */
    public String signedVersion(long epoch, long number, Object... kindsNumbersTexts) {
        return signedVersion(SITE, epoch, number, 0, keys, keyName, kindsNumbersTexts);
    }

    /** A version as above, for any site, expiry time (Unix milliseconds) and key. */
    public String signedVersion(
            String site,
            long epoch,
            long number,
            long expires,
            SigningKeys signer,
            String keyName,
            Object... kindsNumbersTexts) {
        Map<ConfigKind, Manifest.Entry> entries = new EnumMap<>(ConfigKind.class);
        Map<ConfigKind, ControlMessageCodec.TextBody> bodies = new EnumMap<>(ConfigKind.class);
        for (int i = 0; i < kindsNumbersTexts.length; i += 3) {
            ConfigKind kind = (ConfigKind) kindsNumbersTexts[i];
            String text = (String) kindsNumbersTexts[i + 2];
            entries.put(
                    kind,
                    new Manifest.Entry(
                            (Integer) kindsNumbersTexts[i + 1], SigningKeys.digest(text)));
            bodies.put(kind, new ControlMessageCodec.TextBody(text, null, List.of()));
        }
        return codec.encodeVersion(
                signed(new Manifest(site, epoch, number, expires, entries, keyName, ""), signer),
                bodies);
    }

    /** A version whose only text is sent as edits against an earlier text. */
    public String signedChange(
            long epoch, long number, ConfigKind kind, int kindNumber, String before, String after) {
        Manifest m =
                signed(
                        new Manifest(
                                SITE,
                                epoch,
                                number,
                                0,
                                Map.of(
                                        kind,
                                        new Manifest.Entry(kindNumber, SigningKeys.digest(after))),
                                keyName,
                                ""),
                        keys);
        return codec.encodeVersion(
                m,
                Map.of(
                        kind,
                        new ControlMessageCodec.TextBody(
                                null,
                                SigningKeys.digest(before),
                                LineEdit.between(before, after))));
    }

    private static Manifest signed(Manifest m, SigningKeys signer) {
        return new Manifest(
                m.site(),
                m.epoch(),
                m.number(),
                m.expiresAtUnixMillis(),
                m.entries(),
                m.keyName(),
                signer.sign(m.keyName(), m.canonicalText()));
    }

    public String signedWithdrawal(long epoch, long number) {
        return "{\"type\":\"withdraw\",\"site\":\""
                + SITE
                + "\",\"epoch\":"
                + epoch
                + ",\"number\":"
                + number
                + ",\"key\":\""
                + keyName
                + "\",\"mac\":\""
                + keys.sign(keyName, Manifest.withdrawalText(SITE, epoch, number))
                + "\"}";
    }

    /** The next watch request, or null after TIMEOUT_S. */
    public String nextWatch() throws InterruptedException {
        return watches.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** The next answer, or null after TIMEOUT_S. */
    public String nextAnswer() throws InterruptedException {
        return answers.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** All answers up to and including the first that contains these words. */
    public List<String> answersUntil(String words) throws InterruptedException {
        List<String> all = new ArrayList<>();
        for (String answer = nextAnswer(); answer != null; answer = nextAnswer()) {
            all.add(answer);
            if (answer.contains(words)) {
                return all;
            }
        }
        throw new AssertionError("no answer with " + words + ", only " + all);
    }

    /** Waits until the router has closed the watch. */
    public void awaitWatchClosed() throws IOException {
        InputStream in = watch.getInputStream();
        watch.setSoTimeout(1000 * TIMEOUT_S);
        while (in.read() >= 0) {}
    }

    /** Resets the open watch; the router may open another. */
    public void resetWatch() throws IOException {
        watch.setSoLinger(true, 0);
        watch.close();
    }

    /** Resets the watch and stops accepting connections. */
    @Override
    public void close() throws IOException {
        listener.close();
        if (watch != null) {
            resetWatch();
        }
    }

    /** Accepts connections again, on the same port. */
    public void reopen() throws IOException {
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        acceptFrom(listener);
    }
}
