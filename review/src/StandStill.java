import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A router stands still now and then and finds all that came meanwhile. A request that came then
 * has to get its final answer at most half a second after its time, if the router runs again before
 * that.
 */
public class StandStill {
    private static final double STILL = 1150;
    private static final double EVERY = 3200;
    private static final int ROUNDS = 26;
    private static final int TIMEOUT = 1000;
    private static final double WORK = 500;
    private static final int NODES = 12;
    private static final int CLIENTS = 24;

    /** Half a second, and 50 ms that the protocol page adds to every time limit. */
    private static final double SLACK = 550;

    /** How long before that the router must run again. */
    private static final double RUNNING = 300;

    private static volatile double stoppedAt = -1e9;
    private static volatile double continuedAt = -1e9;
    private static volatile boolean isOver;
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger inTime = new AtomicInteger();
    private static final AtomicInteger excused = new AtomicInteger();
    private static final AtomicInteger ids = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Files.createTempDirectory("review");
        Rig.Record record = new Rig.Record(args[1]);
        Rig.Settings settings = new Rig.Settings();
        settings.productRow =
                "{\"Name\":\"sheet\",\"Objective\":1000.0,\"GiveUp\":1500.0,\"Worth\":1.0,"
                        + "\"LateWorth\":0.3,\"Semantics\":\"read_like\"}";
        settings.places = NODES;
        settings.ranges = NODES;
        Rig.Discovery discovery = new Rig.Discovery();
        Random random = new Random(5);
        for (int i = 0; i < NODES; i++) {
            Rig.Node added =
                    new Rig.Node(
                            "s-" + i,
                            i,
                            (node, call) ->
                                    Rig.start(
                                            "work",
                                            () -> {
                                                record.line(
                                                        node.uid
                                                                + " read "
                                                                + call.id
                                                                + " "
                                                                + call.list);
                                                Rig.sleep(WORK * (0.95 + 0.1 * random.nextDouble()));
                                                call.answer("ok", "v-" + call.id);
                                            }));
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
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int shard = c % (NODES - 3);
            threads.add(
                    Rig.start(
                            "client",
                            () -> {
                                Rig.Client client = new Rig.Client(router.port);
                                while (!isOver) {
                                    int status = ask(record, client, shard);
                                    if (status <= 0) {
                                        client.close();
                                        client = new Rig.Client(router.port);
                                    }
                                    Rig.sleep(20);
                                }
                            }));
        }
        Rig.sleep(2000);
        for (int round = 0; round < ROUNDS; round++) {
            double begin = Rig.now();
            if (Rig.TROUBLE) {
                stoppedAt = begin;
                continuedAt = Double.MAX_VALUE;
                router.signal("STOP");
                record.line("the router stands still");
            }
            Rig.sleep(begin + STILL - Rig.now());
            if (Rig.TROUBLE) {
                router.signal("CONT");
                continuedAt = Rig.now();
                record.line("the router goes on");
            }
            Rig.sleep(begin + EVERY - Rig.now());
        }
        isOver = true;
        for (Thread thread : threads) {
            thread.join();
        }
        record.say(
                "answered in time: "
                        + inTime
                        + ", late with the router at a standstill: "
                        + excused
                        + ", lost: "
                        + late);
        record.line("log of the router:\n" + router.log());
        record.close();
        router.kill();
        System.exit(late.get() > 0 ? 1 : inTime.get() > 0 ? 0 : 2);
    }

    private static int ask(Rig.Record record, Rig.Client client, int shard) throws IOException {
        String id = "b" + ids.incrementAndGet();
        double sentAt = Rig.now();
        client.write(
                Rig.request(
                        "sheet",
                        id,
                        TIMEOUT,
                        new int[] {shard, shard + 1, shard + 2, shard + 3},
                        "x"));
        int status = client.read(6000).status;
        double took = Rig.now() - sentAt;
        double limit = sentAt + TIMEOUT + SLACK;
        boolean isLate = status <= 0 || took > TIMEOUT + SLACK;
        boolean ranBefore = continuedAt < limit - RUNNING || stoppedAt > limit;
        AtomicInteger count = !isLate ? inTime : ranBefore ? late : excused;
        count.incrementAndGet();
        record.line(
                String.format(
                        "%s sent at %.1f: status %d after %.0f ms%s",
                        id, sentAt, status, took, isLate ? ranBefore ? " LOST" : " excused" : ""));
        return status;
    }
}
