import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A live session has shards at two data nodes. New connections to half of the nodes take 300 ms
 * longer to set up, so one leg stands before the other, and its node begins to tell.
 */
final class Case {
    private static final long SLOW_SETUP_MS = 300;
    private static final long FIRST_MESSAGE_MS = 100;
    private static final long MESSAGE_EVERY_MS = 50;
    private static final long SESSION_MS = 3_000;
    private static final int SESSIONS = 5;
    private static final Pattern TOLD = Pattern.compile("\"shard\":([0-9]+),\"n\":([0-9]+)");
    private static final Pattern RESUME = Pattern.compile("\"shard\":([0-9]+),\"resume\":([0-9]+)");
    private static final Pattern GAP = Pattern.compile("\"shard\":([0-9]+),\"gap\":([0-9]+)");

    public static void main(String[] args) {
        Stand.play(args, Case::run);
    }

    private static int run(Stand stand) throws Exception {
        stand.addFleet(2);
        stand.upgrades = (node, request, socket) -> serveLeg(stand, node, request, socket);
        stand.writeConfig(stand.discovery.port, stand.discovery.whole());
        Path live = stand.tmp.resolve("live.ini");
        Path root = stand.folder.toAbsolutePath().normalize().getParent().getParent();
        Files.writeString(
                live,
                Files.readString(root.resolve("deploy/live.ini")).replace("\non = no", "\non = yes"));
        Process router = stand.startRouter("--live", live.toString());
        if (router == null || !stand.awaitReady()) {
            return stand.couldNotRun("the router is not ready");
        }
        for (int i = 0; i < SESSIONS; i++) {
            if (!session(stand, i)) {
                return stand.couldNotRun("no session");
            }
        }
        return stand.finish();
    }

    /** Opens a session, and checks that what its nodes tell comes whole, or that gaps are told. */
    private static boolean session(Stand stand, int number) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", stand.listenPort)) {
            socket.setTcpNoDelay(true);
            // Shard 0 is held by cells 0 to 2, shard 3 by cells 3 to 5.
            socket.getOutputStream()
                    .write(
                            ("GET /sheet/live?shards=0,3 HTTP/1.1\r\nHost: r\r\n"
                                            + "Upgrade: websocket\r\nConnection: Upgrade\r\n"
                                            + "Sec-WebSocket-Version: 13\r\n"
                                            + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            stand.note("session " + number + " is asked for");
            Stand.Http upgraded = Stand.Http.read(socket.getInputStream());
            if (upgraded == null || upgraded.status != 101) {
                return false;
            }
            stand.note("session " + number + " is open");
            WebSocket session =
                    new WebSocket(socket.getInputStream(), socket.getOutputStream(), true);
            Map<Integer, Set<Long>> read = new ConcurrentHashMap<>();
            Map<Integer, Set<Long>> gaps = new ConcurrentHashMap<>();
            socket.setSoTimeout(1000);
            long end = stand.now() + SESSION_MS;
            while (stand.now() < end) {
                WebSocket.Frame frame = session.read();
                if (frame.kind() == WebSocket.PING) {
                    session.write(WebSocket.PONG, frame.payload());
                } else if (frame.kind() == WebSocket.TEXT) {
                    stand.note("client reads " + frame.text());
                    add(read, TOLD.matcher(frame.text()));
                    add(gaps, GAP.matcher(frame.text()));
                } else {
                    stand.note("the session ends with " + frame.closeCode());
                    return false;
                }
            }
            session.close(1000);
            for (int shard : new int[] {0, 3}) {
                Set<Long> told = read.getOrDefault(shard, Set.of());
                long last = told.stream().mapToLong(n -> n).max().orElse(0);
                long toldGap =
                        gaps.getOrDefault(shard, Set.of()).stream().mapToLong(n -> n).max().orElse(0);
                for (long n = toldGap + 1; n < last; n++) {
                    if (!told.contains(n)) {
                        stand.broken(
                                "session "
                                        + number
                                        + ": message "
                                        + n
                                        + " of shard "
                                        + shard
                                        + " did not come, "
                                        + last
                                        + " did, and no gap was told");
                    }
                }
                if (last == 0) {
                    stand.note("nothing came of shard " + shard);
                    return false;
                }
            }
            return true;
        }
    }

    private static void add(Map<Integer, Set<Long>> numbers, Matcher found) {
        if (found.find()) {
            numbers.computeIfAbsent(
                            Integer.parseInt(found.group(1)), s -> new ConcurrentSkipListSet<>())
                    .add(Long.parseLong(found.group(2)));
        }
    }

    private static void serveLeg(
            Stand stand, Stand.Node node, Stand.Http request, Socket socket) throws IOException {
        if (stand.trouble && node.cell >= Stand.PLACES / 2) {
            Stand.sleep(SLOW_SETUP_MS);
        }
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
                                        + "Connection: Upgrade\r\nSec-WebSocket-Accept: "
                                        + WebSocket.accept(request.headers.get("sec-websocket-key"))
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        stand.note(node.uid + " has a leg");
        WebSocket leg = new WebSocket(socket.getInputStream(), socket.getOutputStream(), false);
        while (true) {
            WebSocket.Frame frame = leg.read();
            if (frame.kind() == WebSocket.CLOSE) {
                leg.close(1000);
                socket.close();
                return;
            }
            Matcher resume = RESUME.matcher(frame.text());
            if (frame.kind() == WebSocket.PING) {
                leg.write(WebSocket.PONG, frame.payload());
            } else if (frame.kind() == WebSocket.TEXT && resume.find()) {
                stand.note(node.uid + " reads " + frame.text());
                int shard = Integer.parseInt(resume.group(1));
                long after = Long.parseLong(resume.group(2));
                Stand.start(() -> tell(stand, node, socket, leg, shard, after));
            }
        }
    }

    /** Tells of progress from the moment at which the router has said where to go on. */
    private static void tell(
            Stand stand, Stand.Node node, Socket socket, WebSocket leg, int shard, long after) {
        Stand.sleep(FIRST_MESSAGE_MS);
        try {
            for (long n = after + 1; !socket.isClosed(); n++) {
                String text = "{\"shard\":" + shard + ",\"n\":" + n + ",\"data\":\"p" + n + "\"}";
                stand.note(node.uid + " tells " + text);
                leg.text(text);
                Stand.sleep(MESSAGE_EVERY_MS);
            }
        } catch (IOException ended) {
            stand.note(node.uid + " has no leg any more");
        }
    }
}
