import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send hundreds of requests at once on a connection and go. Nothing may begin for a
 * client later than 0.1 s after it has closed its connection.
 */
public class SendAndGo {
    /** The rule's 0.1 s, and 50 ms that the protocol page adds to every time limit. */
    private static final double LIMIT = 150;

    private static final int AT_ONCE = 300;
    private static final int LEAVERS = 5;

    /** When the client of each request closed its connection. */
    private static final Map<String, Double> closedAt = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Rig.Record record = new Rig.Record(args[1]);
        Path folder = Files.createTempDirectory("review");
        Rig.Settings settings = new Rig.Settings();
        Rig.Discovery discovery = new Rig.Discovery();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger parts = new AtomicInteger();
        double[] latest = {0};
        for (int i = 0; i < 3; i++) {
            Rig.Node added =
                    new Rig.Node(
                            "s-" + i,
                            i,
                            (node, call) -> {
                                parts.incrementAndGet();
                                String client = call.id.substring(0, call.id.indexOf('-'));
                                Double closed = closedAt.get(client);
                                double since = closed == null ? -1 : call.arrivedAt - closed;
                                record.line(
                                        node.uid
                                                + " read "
                                                + call.id
                                                + " "
                                                + call.list
                                                + (closed == null
                                                        ? ""
                                                        : String.format(
                                                                " %.0f ms after the close", since)));
                                if (since > LIMIT) {
                                    late.incrementAndGet();
                                    synchronized (latest) {
                                        latest[0] = Math.max(latest[0], since);
                                    }
                                }
                                Rig.start(
                                        "work",
                                        () -> {
                                            Rig.sleep(60);
                                            call.answer("ok", "v-" + call.id);
                                        });
                            });
            discovery.put(added.uid, added.port, i, "up", 0);
        }
        Rig.Router router = new Rig.Router(root, folder, "r1");
        router.writeConfig(
                settings.config(
                        router.port, discovery.port(), "{\"rev\":0,\"all\":true,\"targets\":[]}"));
        router.start();
        if (!router.awaitReady(30_000)) {
            record.say("the router did not become ready: " + router.log());
            record.close();
            System.exit(2);
        }
        for (int c = 0; c < LEAVERS; c++) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int r = 0; r < AT_ONCE; r++) {
                all.writeBytes(
                        Rig.request(
                                "sheet",
                                "c" + c + "-" + r,
                                5000,
                                new int[] {r % 12, (r + 1) % 12, (r + 2) % 12, (r + 3) % 12},
                                "x".repeat(200)));
            }
            Rig.Client client = new Rig.Client(router.port);
            client.write(all.toByteArray());
            record.line("client c" + c + " sent " + AT_ONCE + " requests, " + all.size() + " bytes");
            Rig.sleep(200);
            if (!Rig.TROUBLE) {
                int got = 0;
                while (client.read(6000).status > 0 && ++got < AT_ONCE) {}
                record.line("client c" + c + " got " + got + " answers");
            }
            client.close();
            closedAt.put("c" + c, Rig.now());
            record.line("client c" + c + " closed its connection");
            Rig.sleep(Rig.TROUBLE ? 6000 : 500);
        }
        record.say(
                "parts read by data nodes: "
                        + parts
                        + ", of these begun more than "
                        + LIMIT
                        + " ms after their client had closed its connection: "
                        + late
                        + ", the latest "
                        + Math.round(latest[0])
                        + " ms");
        record.line(router.log());
        record.close();
        router.kill();
        System.exit(late.get() > 0 ? 1 : 0);
    }
}
