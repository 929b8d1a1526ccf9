import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four of six routers stand still now and then and find all that came meanwhile. A request that
 * came then has to get its final answer at most half a second after its time, if the router runs
 * again before that.
 */
public class StandStill {
    private static final double STILL = 1150;
    private static final double EVERY = 3200;
    private static final int ROUNDS = 8;
    private static final int ROUTERS = 6;
    private static final int STANDING_STILL = 4;
    private static final int TIMEOUT = 1000;
    private static final double WORK = 550;
    private static final double PAUSE = 600;
    private static final int NODES = 12;
    private static final int CLIENTS = 48;

    /** Half a second, and 50 ms that the protocol page adds to every time limit. */
    private static final double SLACK = 550;

    /** How long before that the router must run again. */
    private static final double RUNNING = 300;

    /** A router, and when it last stood still. */
    private static final class Site {
        final Rig.Router router;
        volatile double stoppedAt = -1e9;
        volatile double continuedAt = -1e9;

        Site(Rig.Router router) {
            this.router = router;
        }
    }

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
        List<Site> sites = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            Rig.Router router = new Rig.Router(root, folder, "r" + i);
            router.writeConfig(
                    settings.config(
                            router.port,
                            discovery.port(),
                            "{\"rev\":0,\"all\":true,\"targets\":[]}")
                            .replace("\"NInstances\":1", "\"NInstances\":" + ROUTERS));
            router.start();
            sites.add(new Site(router));
        }
        for (Site site : sites) {
            if (!site.router.awaitReady(30_000)) {
                record.say("a router did not become ready: " + site.router.log());
                record.close();
                System.exit(2);
            }
        }
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS * ROUTERS; c++) {
            int shard = c % (NODES - 3);
            Site site = sites.get(c % ROUTERS);
            threads.add(
                    Rig.start(
                            "client",
                            () -> {
                                Rig.Client client = new Rig.Client(site.router.port);
                                boolean isAgain = false;
                                while (!isOver) {
                                    int status = ask(record, site, client, shard, isAgain);
                                    if (status <= 0) {
                                        client.close();
                                        client = new Rig.Client(site.router.port);
                                    }
                                    // One that met the end of its connection is sent once more.
                                    isAgain = status == 0 && !isAgain;
                                    if (isAgain) {
                                        continue;
                                    }
                                    // They ask at times of their own, also in a stand still.
                                    Rig.sleep(PAUSE * (0.5 + Math.random()));
                                }
                            }));
        }
        Rig.sleep(2000);
        List<Thread> stops = new ArrayList<>();
        for (int i = 0; i < STANDING_STILL; i++) {
            Site site = sites.get(i);
            int offset = i;
            stops.add(
                    Rig.start(
                            "stop",
                            () -> {
                                Rig.sleep(offset * EVERY / STANDING_STILL);
                                for (int round = 0; round < ROUNDS; round++) {
                                    standStill(record, site);
                                }
                            }));
        }
        for (Thread stop : stops) {
            stop.join();
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
        for (Site site : sites) {
            record.line("log of " + site.router.port + ":\n" + site.router.log());
        }
        record.close();
        for (Site site : sites) {
            site.router.kill();
        }
        System.exit(late.get() > 0 ? 10 : inTime.get() > 0 ? 0 : 2);
    }

    private static void standStill(Rig.Record record, Site site) throws Exception {
        double begin = Rig.now();
        if (Rig.TROUBLE) {
            site.stoppedAt = begin;
            site.continuedAt = Double.MAX_VALUE;
            site.router.signal("STOP");
            record.line(site.router.port + " stands still");
        }
        Rig.sleep(begin + STILL - Rig.now());
        if (Rig.TROUBLE) {
            site.router.signal("CONT");
            site.continuedAt = Rig.now();
            record.line(site.router.port + " goes on");
        }
        Rig.sleep(begin + EVERY - Rig.now());
    }

    private static int ask(Rig.Record record, Site site, Rig.Client client, int shard, boolean isAgain)
            throws IOException {
        String id = "b" + ids.incrementAndGet();
        double sentAt = Rig.now();
        client.write(
                Rig.request(
                        "sheet",
                        id,
                        TIMEOUT,
                        new int[] {shard, shard + 1, shard + 2},
                        "x"));
        int status = client.read(6000).status;
        double took = Rig.now() - sentAt;
        double limit = sentAt + TIMEOUT + SLACK;
        if (status == 0 && !isAgain) {
            record.line(id + " met the end of its connection");
            return status;
        }
        boolean isLate = status <= 0 || took > TIMEOUT + SLACK;
        boolean ranBefore = site.continuedAt < limit - RUNNING || site.stoppedAt > limit;
        AtomicInteger count = !isLate ? inTime : ranBefore ? late : excused;
        count.incrementAndGet();
        record.line(
                String.format(
                        "%s sent to %d at %.1f: status %d after %.0f ms%s",
                        id,
                        site.router.port,
                        sentAt,
                        status,
                        took,
                        isLate ? ranBefore ? " LOST" : " excused" : ""));
        return status;
    }
}
