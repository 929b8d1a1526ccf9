package gladewing.soak;

import gladewing.router.Trace;
import gladewing.serve.SyscallFaults;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Routers, data nodes and discovery of one run, each a process of its own. */
final class SoakFleet implements AutoCloseable {
    /** Longest time limit of a product, counted as at least 3 s, and 0.7 s: the earliest kill. */
    private static final long KILL_MILLIS = 3700;

    /** For how long after SIGTERM the front still opens connections to a router. */
    private static final long FRONT_MILLIS = 300;

    private static final int FIRST_PORT = 12_000;

    /** Each test process has a range of its own. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() % 32) * 500);

    private static final long READY_MILLIS = 30_000;
    private static final int AGENTS_PER_ROUTER = 6;

    /** A router, which may be restarted under the same address. */
    final class Router {
        final int index;
        final int port;
        final SyscallFaults faults;
        final Path log;
        final List<Integer> agents = new ArrayList<>();
        private final Path config;
        private final List<SoakProcess> processes = new ArrayList<>();
        private volatile boolean isInFront;

        /** Spans in which the process was stopped: begin and end in nanoseconds. */
        private final List<long[]> stops = new ArrayList<>();

        /** When the latest signal of a new configuration was sent; 0 for never. */
        volatile long hungUpAt;

        /** When its latest process was started. */
        volatile long startedAt;

        Router(int index) throws Exception {
            this.index = index;
            port = freePort();
            faults = new SyscallFaults(folder.resolve("faults-" + index), random.nextInt());
            log = folder.resolve("router-" + index + ".log");
            config = folder.resolve("config-" + index + ".json");
        }

        void writeConfig() throws IOException {
            Path next = folder.resolve("config-" + index + ".next");
            Files.writeString(
                    next,
                    Trace.expected("serve-config.json")
                            .replace("LISTEN", "127.0.0.1:" + port)
                            .replace("DISCOVERY", "127.0.0.1:" + agents.get(0))
                            .replace(
                                    "\"KNOWN\"",
                                    "{\"rev\":1,\"all\":true,\"targets\":" + firstList + "}"));
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws Exception {
            startedAt = System.nanoTime();
            java.util.Map<String, String> environment =
                    new java.util.HashMap<>(faults.environment());
            environment.put("RELAY_CONFIG", config.toString());
            processes.add(
                    new SoakProcess(
                            log.toFile(),
                            environment,
                            List.of("-Dgladewing.events=true"),
                            "gladewing.Main",
                            "serve"));
        }

        SoakProcess process() {
            return processes.get(processes.size() - 1);
        }

        void awaitReady() throws Exception {
            long deadline = System.currentTimeMillis() + READY_MILLIS;
            while (!isReady()) {
                if (System.currentTimeMillis() > deadline || !process().isAlive()) {
                    failures.add("router " + index + " did not get ready");
                    return;
                }
                Thread.sleep(20);
            }
            isInFront = true;
        }

        private boolean isReady() {
            try {
                HttpURLConnection check =
                        (HttpURLConnection)
                                URI.create("http://127.0.0.1:" + port + "/health/ready")
                                        .toURL()
                                        .openConnection();
                check.setConnectTimeout(500);
                check.setReadTimeout(500);
                return check.getResponseCode() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        boolean isInFront() {
            return isInFront;
        }

        /** A planned restart: signals in a series, the kill at its earliest, a new start. */
        void restart() throws Exception {
            SoakProcess ending = process();
            for (int i = 0; i < 3; i++) {
                ending.signal("TERM");
                Thread.sleep(FRONT_MILLIS / 3);
            }
            isInFront = false;
            if (!ending.awaitEnd(KILL_MILLIS - FRONT_MILLIS)) {
                ending.signal("KILL");
                ending.awaitEnd(READY_MILLIS);
            }
            hungUpAt = 0;
            start();
            awaitReady();
        }

        /** Stops the process for a time, as one that is held up. */
        void holdUp(long millis) {
            long begin = System.nanoTime();
            process().stopFor(millis);
            synchronized (stops) {
                stops.add(new long[] {begin, System.nanoTime()});
            }
        }

        /** For how long the process stood still between two times, in nanoseconds. */
        long heldUpBetween(long from, long to) {
            synchronized (stops) {
                return stops.stream()
                        .mapToLong(
                                stop ->
                                        Math.max(
                                                0, Math.min(to, stop[1]) - Math.max(from, stop[0])))
                        .sum();
            }
        }

        /** New configurations in a row, each with another address of discovery. */
        void hangUp(int signals) throws Exception {
            for (int i = 0; i < signals && agents.size() > 1; i++) {
                int former = agents.remove(0);
                writeConfig();
                hungUpAt = System.nanoTime();
                process().signal("HUP");
                discovery.command("close " + former);
                Thread.sleep(50);
            }
        }
    }

    /** A data node, whose process may be replaced. */
    final class Node {
        final String uid;
        final int cell;
        final int port;
        final SoakProcess process;

        /** Spans in which the process was stopped: begin and end in nanoseconds. */
        final List<long[]> stops = new ArrayList<>();

        /** When it began to drain or was taken off the list; 0 while it is up. */
        volatile long drainsSince;

        Node(String uid, int cell) throws Exception {
            this.uid = uid;
            this.cell = cell;
            process =
                    new SoakProcess(
                            folder.resolve(uid + ".log").toFile(),
                            java.util.Map.of(),
                            List.of(),
                            SoakNode.class.getName(),
                            "0",
                            Integer.toString(random.nextInt()));
            port = Integer.parseInt(process.awaitLine(0).split(" ")[1]);
        }

        void stopFor(long millis) throws InterruptedException {
            long[] stop = {System.nanoTime(), Long.MAX_VALUE};
            synchronized (stops) {
                stops.add(stop);
            }
            process.stopFor(millis);
            stop[1] = System.nanoTime();
        }

        String entry() {
            return "{\"uid\":\""
                    + uid
                    + "\",\"endpoint\":\"127.0.0.1:"
                    + port
                    + "\",\"az\":\"x\",\"model\":\"m\",\"pod_group\":"
                    + cell
                    + ",\"state\":\""
                    + (drainsSince == 0 ? "up" : "draining")
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    final Path folder;
    final Random random;
    final Queue<String> failures = new ConcurrentLinkedQueue<>();
    final List<Router> routers = new ArrayList<>();

    /** All nodes that there have been. */
    final List<Node> nodes = new ArrayList<>();

    /** How long discovery takes for each answer, set with -Dsoak.discoveryDelay. */
    static final int DISCOVERY_DELAY_MILLIS = Integer.getInteger("soak.discoveryDelay", 0);

    private final SoakProcess discovery;
    private final List<Node> listed = new ArrayList<>();
    private String firstList;
    private int revision = 1;

    SoakFleet(Path folder, Random random, int routerCount, int nodeCount) throws Exception {
        this.folder = folder;
        this.random = random;
        discovery =
                new SoakProcess(
                        folder.resolve("discovery.log").toFile(),
                        java.util.Map.of(),
                        List.of(),
                        SoakDiscovery.class.getName());
        for (int i = 0; i < nodeCount; i++) {
            Node node = new Node("node-" + i, i % 2);
            nodes.add(node);
            listed.add(node);
        }
        publish();
        firstList = list();
        discovery.command("delay " + DISCOVERY_DELAY_MILLIS);
        discovery.command("open " + routerCount * AGENTS_PER_ROUTER);
        for (int i = 0; i < routerCount; i++) {
            Router router = new Router(i);
            routers.add(router);
            for (int agent = 0; agent < AGENTS_PER_ROUTER; agent++) {
                String line = discovery.awaitLine(i * AGENTS_PER_ROUTER + agent);
                router.agents.add(Integer.parseInt(line.split(" ")[1]));
            }
            router.writeConfig();
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
    }

    /**
     * A port that no connection gets by itself: a router listens on it anew after a restart, and
     * runs beside this one must not take it meanwhile.
     */
    private static int freePort() {
        while (true) {
            int candidate = NEXT_PORT.getAndIncrement();
            try (ServerSocket free =
                    new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException taken) {
                // The next one may be free.
            }
        }
    }

    private String list() {
        return "[" + String.join(",", listed.stream().map(Node::entry).toList()) + "]";
    }

    private void publish() {
        discovery.command("list " + ++revision + " " + list());
    }

    /** A random node that is up. */
    synchronized Node randomNode() {
        List<Node> up = listed.stream().filter(node -> node.drainsSince == 0).toList();
        return up.get(random.nextInt(up.size()));
    }

    /** Lets a node drain, unless its cell would have only one left. */
    synchronized Node drain() {
        Node node = randomNode();
        long left = listed.stream().filter(n -> n.cell == node.cell && n.drainsSince == 0).count();
        if (left <= 2) {
            return null;
        }
        node.drainsSince = System.nanoTime();
        publish();
        return node;
    }

    /** Takes a node off the list. */
    synchronized void remove(Node node) {
        if (node.drainsSince == 0) {
            node.drainsSince = System.nanoTime();
        }
        listed.remove(node);
        publish();
    }

    void resetDiscovery() {
        discovery.command("reset");
    }

    @Override
    public void close() {
        for (Router router : routers) {
            router.processes.forEach(SoakProcess::close);
        }
        nodes.forEach(node -> node.process.close());
        discovery.close();
    }
}
