import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The control service pushes broken versions: their tables have more routes than a table may have. */
final class Case {
    /** A table may have 20,000; the message stays below the limit of deploy/control.ini. */
    private static final int[] ROUTES_OF_BROKEN = {31_000, 28_000, 34_000};

    private static final int[] ROUTES_OF_SOUND = {100, 110, 120};
    private static final int LONGEST = 4_194_304;
    private static final String SECRET =
            "8f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0";
    private static final long PUSH_AT_MS = 5_000;
    private static final long PUSH_EVERY_MS = 15_000;
    private static final long END_MS = 55_000;
    private static final long LIMIT_MS = 3_000;

    /** Half a second after its time a request is lost; every time limit is 50 ms longer. */
    private static final long LOST_AFTER_MS = LIMIT_MS + 500 + 50;

    public static void main(String[] args) {
        Stand.play(args, Case::run);
    }

    private static int run(Stand stand) throws Exception {
        stand.addFleet(2);
        stand.writeConfig(stand.discovery.port, stand.discovery.whole());
        List<String> versions = new ArrayList<>();
        for (int routes : stand.trouble ? ROUTES_OF_BROKEN : ROUTES_OF_SOUND) {
            String version = version(versions.size() + 1, routes);
            if (version.length() > LONGEST) {
                return stand.couldNotRun("the message is too long");
            }
            versions.add(version);
        }
        long[] pushAt = {Long.MAX_VALUE};
        ServerSocket control = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Stand.start(
                () ->
                        Stand.acceptAll(
                                control, socket -> serveControl(stand, socket, versions, pushAt)));
        Path root = stand.folder.toAbsolutePath().normalize().getParent().getParent();
        Path state = Files.createDirectories(stand.tmp.resolve("state"));
        Path settings = stand.tmp.resolve("control.ini");
        Files.writeString(
                settings,
                Files.readString(root.resolve("deploy/control.ini"))
                        .replace("\non = no", "\non = yes")
                        .replaceFirst("\naddress = .*", "\naddress = 127.0.0.1:" + control.getLocalPort())
                        .replaceFirst("\nfolder = .*", "\nfolder = " + state)
                        .replaceFirst("\nsecret = .*", "\nsecret = " + SECRET));
        Process router = stand.startRouter("--control", settings.toString());
        if (router == null || !stand.awaitReady()) {
            return stand.couldNotRun("the router is not ready");
        }
        long begin = stand.now();
        pushAt[0] = begin + PUSH_AT_MS;
        stand.load("sheet", 4, LIMIT_MS, 20, begin + END_MS);
        stand.sleepUntil(begin + END_MS);
        stand.awaitEnds(LIMIT_MS + 3_500);
        for (Stand.Request request : stand.allRequests()) {
            long took = request.endedAt < 0 ? Long.MAX_VALUE : request.endedAt - request.sentAt;
            // It was written to a connection that the router's machine had accepted.
            boolean wasTaken = request.sentAt >= 0;
            if (wasTaken && (request.failure != null || took > LOST_AFTER_MS)) {
                stand.broken(
                        "request "
                                + request.id
                                + (request.failure != null
                                        ? " got no answer: " + request.failure
                                        : " was answered " + request.status + " after " + took + " ms")
                                + ", its time was "
                                + LIMIT_MS
                                + " ms");
            }
        }
        if (!router.isAlive()) {
            stand.broken("the router has ended with " + router.exitValue());
        }
        stand.note(
                "served "
                        + stand.count(request -> request.status == 200)
                        + ", refused or failed "
                        + stand.count(request -> request.status > 200)
                        + ", no answer "
                        + stand.count(request -> request.failure != null)
                        + " of "
                        + stand.allRequests().size());
        return stand.finish();
    }

    /** Keeps the watch open, with a beat every 5 s; takes all answers. */
    private static void serveControl(Stand stand, Socket socket, List<String> versions, long[] pushAt)
            throws IOException {
        Stand.Http call = Stand.Http.read(socket.getInputStream());
        if (call == null) {
            return;
        }
        stand.note("control service is asked " + call.startLine);
        OutputStream out = socket.getOutputStream();
        if (call.startLine.startsWith("POST")) {
            stand.note("control service is told " + call.body);
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        for (long beatAt = 0; ; Stand.sleep(50)) {
            if (!versions.isEmpty() && stand.now() >= pushAt[0]) {
                pushAt[0] += PUSH_EVERY_MS;
                String version = versions.remove(0);
                stand.note("control service pushes " + version.length() + " bytes");
                writeChunks(out, version);
            }
            if (stand.now() >= beatAt) {
                beatAt = stand.now() + 5_000;
                writeChunks(out, "{\"type\":\"beat\"}\n");
            }
        }
    }

    private static void writeChunks(OutputStream out, String line) throws IOException {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; at += 60_000) {
            byte[] part = Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + 60_000));
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(part.length) + "\r\n").getBytes());
            chunk.writeBytes(part);
            chunk.writeBytes("\r\n".getBytes());
            out.write(chunk.toByteArray());
        }
        out.flush();
    }

    /** The message for a version of epoch 1, signed, whose routes only observe. */
    private static String version(int number, int routes) throws GeneralSecurityException {
        StringBuilder table = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            table.append("[route r" + i + "]\nmode = observe\n");
            table.append(
                    "when = request.product == 'sheet' && request.headers['x-clinic'] == 'c"
                            + i
                            + "'\n");
        }
        HexFormat hex = HexFormat.of();
        String digest =
                hex.formatHex(
                        MessageDigest.getInstance("SHA-256")
                                .digest(table.toString().getBytes(StandardCharsets.UTF_8)));
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(hex.parseHex(SECRET), "HmacSHA256"));
        String signature =
                hex.formatHex(
                        mac.doFinal(
                                ("gladewing set 1\nclinic\n1\n"
                                                + number
                                                + "\n0\nroutes "
                                                + number
                                                + " "
                                                + digest
                                                + "\n")
                                        .getBytes(StandardCharsets.UTF_8)));
        return "{\"type\":\"set\",\"site\":\"clinic\",\"epoch\":1,\"number\":"
                + number
                + ",\"entries\":[{\"kind\":\"routes\",\"number\":"
                + number
                + ",\"digest\":\""
                + digest
                + "\"}],\"bodies\":[{\"kind\":\"routes\",\"whole\":\""
                + table.toString().replace("\n", "\\n")
                + "\"}],\"key\":\"example\",\"mac\":\""
                + signature
                + "\"}\n";
    }
}
