import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A data node of a deploy shuts down and closes its live legs in order, with 1001, while messages
 * of a client are on their way to it. The list tells of it seconds later.
 */
final class Case {
    private static final int SHARD = 0;
    private static final long MESSAGE_EVERY_MS = 5;
    private static final long STAND_STILL_MS = 200;
    private static final long LIST_DELAY_MS = 2_000;
    private static final long END_MS = 15_000;
    private static final Pattern NUMBER = Pattern.compile("\"n\":([0-9]+)");
    private static final Pattern ACK = Pattern.compile("\"ack\":([0-9]+)");
    private static final Pattern LOST =
            Pattern.compile("\"lost\":\\{\"after\":([0-9]+),\"to\":([0-9]+)\\}");

    /** Nodes that stand still at present. */
    private static final Set<String> still = ConcurrentHashMap.newKeySet();

    /** Nodes that shut down: they take nothing more. */
    private static final Set<String> ending = ConcurrentHashMap.newKeySet();

    private static final Map<String, WebSocket> legs = new ConcurrentHashMap<>();
    private static final Set<Long> taken = new ConcurrentSkipListSet<>();
    private static final Set<Long> toldLost = new ConcurrentSkipListSet<>();
    private static final Map<Long, Long> sentAt = new TreeMap<>();
    private static volatile long acked;
    private static volatile boolean isSessionOver;

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
        Socket socket = new Socket("127.0.0.1", stand.listenPort);
        socket.setTcpNoDelay(true);
        socket.getOutputStream()
                .write(
                        ("GET /sheet/live?shards="
                                        + SHARD
                                        + " HTTP/1.1\r\nHost: r\r\nUpgrade: websocket\r\n"
                                        + "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                        + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        Stand.Http upgraded = Stand.Http.read(socket.getInputStream());
        if (upgraded == null || upgraded.status != 101) {
            return stand.couldNotRun("no session");
        }
        WebSocket session = new WebSocket(socket.getInputStream(), socket.getOutputStream(), true);
        Stand.start(() -> readSession(stand, session));
        long begin = stand.now();
        Stand.start(
                () -> {
                    try {
                        for (long n = 1; stand.now() < begin + END_MS && !isSessionOver; n++) {
                            synchronized (sentAt) {
                                sentAt.put(n, stand.now());
                            }
                            stand.note("client sends " + n);
                            session.text("{\"shard\":" + SHARD + ",\"n\":" + n + ",\"data\":\"m\"}");
                            Stand.sleep(MESSAGE_EVERY_MS);
                        }
                    } catch (IOException ended) {
                        isSessionOver = true;
                    }
                });
        Stand.sleep(5000);
        if (legs.isEmpty() || acked == 0) {
            return stand.couldNotRun("no leg");
        }
        String uid = legs.keySet().iterator().next();
        stand.note(uid + " stands still");
        still.add(uid);
        Stand.sleep(STAND_STILL_MS);
        if (stand.trouble) {
            stand.note(uid + " shuts down, and closes its legs with 1001");
            ending.add(uid);
            legs.get(uid).close(1001);
            stand.timers.schedule(
                    () -> stand.discovery.put(stand.nodes.get(uid).entry("draining")),
                    LIST_DELAY_MS,
                    java.util.concurrent.TimeUnit.MILLISECONDS);
        }
        still.remove(uid);
        stand.sleepUntil(begin + END_MS);
        Stand.sleep(1500);
        long missing = 0;
        synchronized (sentAt) {
            for (long n : sentAt.keySet()) {
                if (n <= acked && !taken.contains(n) && !toldLost.contains(n)) {
                    stand.broken(
                            "message "
                                    + n
                                    + " was taken by no data node, and the client was told that all up to "
                                    + acked
                                    + " are taken, and of no loss");
                    missing++;
                }
            }
        }
        stand.note(
                "sent "
                        + sentAt.size()
                        + ", taken "
                        + taken.size()
                        + ", told lost "
                        + toldLost.size()
                        + ", missing "
                        + missing
                        + ", acked "
                        + acked);
        return stand.finish();
    }

    private static void readSession(Stand stand, WebSocket session) {
        try {
            while (true) {
                WebSocket.Frame frame = session.read();
                if (frame.kind() == WebSocket.PING) {
                    session.write(WebSocket.PONG, frame.payload());
                } else if (frame.kind() == WebSocket.CLOSE) {
                    stand.note("client is closed with " + frame.closeCode());
                    isSessionOver = true;
                    return;
                } else if (frame.kind() == WebSocket.TEXT) {
                    stand.note("client reads " + frame.text());
                    Matcher ack = ACK.matcher(frame.text());
                    if (ack.find()) {
                        acked = Math.max(acked, Long.parseLong(ack.group(1)));
                    }
                    Matcher lost = LOST.matcher(frame.text());
                    if (lost.find()) {
                        long to = Long.parseLong(lost.group(2));
                        for (long n = Long.parseLong(lost.group(1)) + 1; n <= to; n++) {
                            toldLost.add(n);
                        }
                    }
                }
            }
        } catch (IOException ended) {
            stand.note("the client's connection has ended");
            isSessionOver = true;
        }
    }

    private static void serveLeg(
            Stand stand, Stand.Node node, Stand.Http request, Socket socket) throws IOException {
        if (ending.contains(node.uid)) {
            return;
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
        legs.put(node.uid, leg);
        while (true) {
            WebSocket.Frame frame = leg.read();
            while (still.contains(node.uid)) {
                Stand.sleep(1);
            }
            if (frame.kind() == WebSocket.CLOSE) {
                stand.note(node.uid + " reads a close " + frame.closeCode());
                if (!ending.contains(node.uid)) {
                    leg.close(1000);
                }
                return;
            }
            if (ending.contains(node.uid)) {
                // It has sent its close, after which it takes nothing more.
                stand.note(node.uid + " does not take " + frame.text());
                continue;
            }
            if (frame.kind() == WebSocket.PING) {
                leg.write(WebSocket.PONG, frame.payload());
            } else if (frame.kind() == WebSocket.TEXT) {
                stand.note(node.uid + " reads " + frame.text());
                Matcher number = NUMBER.matcher(frame.text());
                if (number.find()) {
                    taken.add(Long.parseLong(number.group(1)));
                    leg.text("{\"shard\":" + SHARD + ",\"ack\":" + number.group(1) + "}");
                }
            }
        }
    }
}
