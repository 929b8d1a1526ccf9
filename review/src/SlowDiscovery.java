import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is slow: it takes 0.7 s for each answer. A router that was killed is started again; a
 * data node that began to drain in the meantime must get nothing new later than the grace after the
 * router counts as told. A further router starts with an empty list; it must become ready.
 */
public class SlowDiscovery {
    /** What discovery takes for an answer, in milliseconds. */
    private static final double DELAY = 700;

    /** A change counts as told 6 s after discovery had it and could be reached. */
    private static final double TOLD = 6000;

    private static final double GRACE = 2000;
    private static final double SLACK = 50;

    /** No router may take longer to be ready. */
    private static final double READY = 30_000;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Files.createTempDirectory("review");
        Rig.Record record = new Rig.Record(args[1]);
        Rig.Settings settings = new Rig.Settings();
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.record = record;
        AtomicInteger late = new AtomicInteger();
        double[] limit = {Double.MAX_VALUE};
        Rig.Node[] nodes = new Rig.Node[4];
        for (int i = 0; i < 4; i++) {
            nodes[i] =
                    new Rig.Node(
                            "s-" + i,
                            i % 3,
                            (node, call) ->
                                    Rig.start(
                                            "work",
                                            () -> {
                                                boolean isLate =
                                                        node.uid.equals("s-0")
                                                                && call.arrivedAt > limit[0];
                                                if (isLate) {
                                                    late.incrementAndGet();
                                                }
                                                record.line(
                                                        node.uid
                                                                + " read "
                                                                + call.id
                                                                + (isLate ? " TOO LATE" : ""));
                                                Rig.sleep(30);
                                                call.answer("ok", "v-" + call.id);
                                            }));
        }
        for (int i = 0; i < 3; i++) {
            discovery.put(nodes[i].uid, nodes[i].port, i, "up", 0);
        }
        String known = discovery.list();
        Rig.Router router = new Rig.Router(root, folder, "r1");
        router.writeConfig(settings.config(router.port, discovery.port(), known));
        router.start();
        if (!router.awaitReady(30_000)) {
            record.say("the router did not become ready: " + router.log());
            record.close();
            System.exit(2);
        }
        SoundClients clients = new SoundClients(record, router.port, "q");
        clients.start(4, 100, 3000, 4);
        Rig.sleep(3000);
        clients.stop();
        record.line("SIGKILL");
        router.kill();
        discovery.put("s-3", nodes[3].port, 0, "up", System.currentTimeMillis());
        discovery.put("s-0", nodes[0].port, 0, "draining", 0);
        record.line("s-0 begins to drain; discovery's agent has that from now on");
        discovery.delay = Rig.TROUBLE ? DELAY : 0;
        router.start();
        if (!router.awaitReady(30_000)) {
            record.say("the router did not become ready again: " + router.log());
            record.close();
            System.exit(2);
        }
        record.line("ready again");
        limit[0] = Rig.now() + TOLD + GRACE + SLACK;
        Rig.Router fresh = new Rig.Router(root, folder, "r2");
        fresh.writeConfig(
                settings.config(
                        fresh.port, discovery.port(), "{\"rev\":0,\"all\":true,\"targets\":[]}"));
        double freshStart = Rig.now();
        fresh.start();
        SoundClients again = new SoundClients(record, router.port, "r");
        again.start(4, 100, 3000, 4);
        boolean isReady = fresh.awaitReady((long) READY);
        String readiness =
                isReady
                        ? String.format("ready after %.0f ms", Rig.now() - freshStart)
                        : "not ready after " + READY + " ms";
        while (Rig.now() < limit[0] + 15_000) {
            Rig.sleep(100);
        }
        again.stop();
        record.say(again.summary());
        record.say("parts begun at the draining node later than allowed: " + late);
        record.say("router that started with an empty list: " + readiness);
        record.line("log of the router:\n" + router.log());
        record.line("log of the further router:\n" + fresh.log());
        record.close();
        router.kill();
        fresh.kill();
        System.exit(late.get() > 0 || !isReady ? 1 : 0);
    }
}
