package gladewing.soak;

import gladewing.serve.SyscallFaults;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * One run: 10 to 20 processes under load, with faults that overlap in time and are drawn from a
 * seed, then a quiet time in which all have to work again.
 */
final class SoakRun {
    private static final long FAULTY_MILLIS = 9000;
    private static final long QUIET_MILLIS = 3500;

    /** For the JVMs to compile what they need; cold ones are held up by themselves. */
    private static final long WARM_UP_MILLIS = 2000;

    private static final int CLIENTS_PER_ROUTER = 8;
    private static final int RUDE_CLIENTS_PER_ROUTER = 2;
    private static final int CROWD = 150;

    private record Fault(SyscallFaults.Call call, SyscallFaults.Error error) {}

    private static final List<Fault> FAULTS =
            List.of(
                    new Fault(SyscallFaults.Call.READ, SyscallFaults.Error.EINTR),
                    new Fault(SyscallFaults.Call.READ, SyscallFaults.Error.EIO),
                    new Fault(SyscallFaults.Call.READ, SyscallFaults.Error.EAGAIN),
                    new Fault(SyscallFaults.Call.READ, SyscallFaults.Error.ENOMEM),
                    new Fault(SyscallFaults.Call.WRITE, SyscallFaults.Error.EAGAIN),
                    new Fault(SyscallFaults.Call.WRITE, SyscallFaults.Error.ENOBUFS),
                    new Fault(SyscallFaults.Call.WRITE, SyscallFaults.Error.SHORT_WRITE),
                    new Fault(SyscallFaults.Call.WRITE, SyscallFaults.Error.EIO),
                    new Fault(SyscallFaults.Call.ACCEPT, SyscallFaults.Error.EMFILE),
                    new Fault(SyscallFaults.Call.ACCEPT, SyscallFaults.Error.ECONNABORTED),
                    new Fault(SyscallFaults.Call.SOCKET, SyscallFaults.Error.EMFILE),
                    new Fault(SyscallFaults.Call.CONNECT, SyscallFaults.Error.EADDRNOTAVAIL),
                    new Fault(SyscallFaults.Call.CONNECT, SyscallFaults.Error.EINTR),
                    new Fault(SyscallFaults.Call.EPOLL_CTL, SyscallFaults.Error.ENOMEM),
                    new Fault(SyscallFaults.Call.EPOLL_WAIT, SyscallFaults.Error.EINTR),
                    new Fault(SyscallFaults.Call.FCNTL_SET_FLAGS, SyscallFaults.Error.ENOMEM),
                    new Fault(SyscallFaults.Call.SHUTDOWN, SyscallFaults.Error.EIO),
                    new Fault(SyscallFaults.Call.SETSOCKOPT, SyscallFaults.Error.ENOMEM),
                    new Fault(SyscallFaults.Call.GETSOCKOPT, SyscallFaults.Error.ENOBUFS),
                    new Fault(SyscallFaults.Call.OPEN, SyscallFaults.Error.EMFILE),
                    new Fault(SyscallFaults.Call.FILE_READ, SyscallFaults.Error.EIO),
                    new Fault(SyscallFaults.Call.FILE_WRITE, SyscallFaults.Error.ENOSPC));

    private final long seed;
    private final Random random;
    private final Path folder;
    private final Queue<SoakRequest> requests = new ConcurrentLinkedQueue<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final Map<String, Integer> faultCounts = new TreeMap<>();
    private volatile boolean isLoaded = true;

    SoakRun(long seed, Path folder) {
        this.seed = seed;
        this.random = new Random(seed);
        this.folder = folder;
    }

    /** Returns the violations. */
    List<String> run() throws Exception {
        // The first draws of neighbouring seeds are alike, so the seed itself decides as well.
        boolean hasCrowd = random.nextInt(4) == 0 || seed % 4 == 0;
        int routerCount = 3 + random.nextInt(3);
        int nodeCount = 6 + 2 * random.nextInt(4);
        ExecutorService threads = Executors.newCachedThreadPool();
        try (SoakFleet fleet = new SoakFleet(folder, random, routerCount, nodeCount)) {
            startClients(fleet, threads);
            Thread.sleep(WARM_UP_MILLIS);
            if (hasCrowd) {
                fleet.routers.forEach(this::addCrowd);
            }
            injectFaults(fleet, threads);
            fleet.routers.forEach(router -> router.faults.clear());
            fleet.drain();
            Thread.sleep(QUIET_MILLIS);
            if (SoakFleet.DISCOVERY_DELAY_MILLIS > 0) {
                Thread.sleep(SoakOracle.TOLD_WITHIN_MILLIS);
            }
            isLoaded = false;
            threads.shutdown();
            threads.awaitTermination(30, TimeUnit.SECONDS);
            for (SoakFleet.Router router : fleet.routers) {
                endOrFail(fleet, router);
            }
            SoakOracle oracle = new SoakOracle(fleet, requests);
            List<String> violations = oracle.check();
            System.out.println(summary(fleet, oracle, hasCrowd));
            return violations;
        } finally {
            threads.shutdownNow();
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    private String summary(SoakFleet fleet, SoakOracle oracle, boolean hasCrowd) {
        Map<String, Long> ends =
                requests.stream()
                        .collect(
                                Collectors.groupingBy(
                                        r ->
                                                r.end == SoakRequest.End.ANSWERED
                                                        ? r.status
                                                        : r.end.toString(),
                                        TreeMap::new,
                                        Collectors.counting()));
        return fleet.routers.size()
                + " routers, "
                + fleet.nodes.size()
                + " nodes"
                + (hasCrowd ? ", crowd" : "")
                + "; requests "
                + ends
                + ", closed unread "
                + oracle.closedUnread
                + ", sent late "
                + oracle.sentLate
                + "; faults "
                + faultCounts;
    }

    private void startClients(SoakFleet fleet, ExecutorService threads) {
        Random pipeliningSeeds = new Random(seed);
        for (SoakFleet.Router router : fleet.routers) {
            long pipeliningSeed = pipeliningSeeds.nextLong();
            threads.execute(
                    new SoakPipeliningClient(
                            target("pipe" + router.index, router), pipeliningSeed));
            for (int i = 0; i < CLIENTS_PER_ROUTER; i++) {
                SoakTarget target = target("r" + router.index + "c" + i, router);
                threads.execute(new SoakClient(target, random.nextLong()));
            }
            for (int i = 0; i < RUDE_CLIENTS_PER_ROUTER; i++) {
                SoakTarget target = target("rude" + router.index + "x" + i, router);
                threads.execute(new SoakRudeClient(target, random.nextLong()));
            }
        }
    }

    private SoakTarget target(String client, SoakFleet.Router router) {
        return new SoakTarget(
                client, router.index, router.port, requests, () -> isLoaded, router::isInFront);
    }

    private void addCrowd(SoakFleet.Router router) {
        try {
            for (int i = 0; i < CROWD; i++) {
                crowd.add(new Socket(InetAddress.getLoopbackAddress(), router.port));
            }
        } catch (IOException full) {
            // The rest of the crowd is not let in.
        }
    }

    private void injectFaults(SoakFleet fleet, ExecutorService threads) throws Exception {
        long end = System.currentTimeMillis() + FAULTY_MILLIS;
        boolean restarts = random.nextBoolean();
        SoakFleet.Router restarted = fleet.routers.get(0);
        while (System.currentTimeMillis() < end) {
            Thread.sleep(20 + random.nextInt(150));
            if (restarts && System.currentTimeMillis() > end - FAULTY_MILLIS / 2) {
                restarts = false;
                count("restart");
                threads.execute(unchecked(fleet, restarted::restart));
            }
            int draw = random.nextInt(100);
            SoakFleet.Router router = fleet.routers.get(random.nextInt(fleet.routers.size()));
            if (draw < 55) {
                failCalls(fleet, threads, router);
            } else if (draw < 63) {
                count("router stopped");
                threads.execute(unchecked(fleet, () -> stop(router)));
            } else if (draw < 71) {
                count("node stopped");
                SoakFleet.Node node = fleet.randomNode();
                long millis = 100 + random.nextInt(1500);
                threads.execute(unchecked(fleet, () -> node.stopFor(millis)));
            } else if (draw < 79) {
                count("node resets");
                fleet.randomNode().process.command("reset");
            } else if (draw < 85) {
                count("node turns away or errs");
                fleet.randomNode()
                        .process
                        .command((random.nextBoolean() ? "busy " : "err ") + random.nextInt(300));
            } else if (draw < 89) {
                drainOrRemove(fleet, threads);
            } else if (draw < 93) {
                count("discovery resets");
                fleet.resetDiscovery();
            } else if (draw < 97 && router != restarted) {
                count("hang-ups");
                int signals = 1 + random.nextInt(2);
                threads.execute(unchecked(fleet, () -> router.hangUp(signals)));
            }
        }
    }

    private void failCalls(SoakFleet fleet, ExecutorService threads, SoakFleet.Router router) {
        Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
        int permille = random.nextBoolean() ? SyscallFaults.ALWAYS : 100 + random.nextInt(800);
        long millis = 10 + random.nextInt(350);
        count(fault.call + " " + fault.error);
        threads.execute(
                unchecked(
                        fleet,
                        () -> {
                            log("router " + router.index + ": " + fault + " " + permille);
                            router.faults.fail(fault.call, fault.error, permille);
                            Thread.sleep(millis);
                            router.faults.fail(fault.call, fault.error, 0);
                            log("router " + router.index + ": " + fault + " ends");
                        }));
    }

    /** Holds a router up for as long as deadlines and windows allow for. */
    private void stop(SoakFleet.Router router) throws InterruptedException {
        log("router " + router.index + ": stopped");
        router.holdUp(random.nextInt(100));
        log("router " + router.index + ": continued");
    }

    private void drainOrRemove(SoakFleet fleet, ExecutorService threads) {
        SoakFleet.Node node = fleet.drain();
        if (node == null) {
            return;
        }
        count("drain");
        long millis = random.nextInt(3000);
        threads.execute(
                unchecked(
                        fleet,
                        () -> {
                            Thread.sleep(millis);
                            fleet.remove(node);
                        }));
    }

    /** Adds a line to the timeline of the run. */
    private synchronized void log(String what) {
        try {
            Files.writeString(
                    folder.resolve("faults.log"),
                    LocalTime.now() + " " + what + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private void count(String what) {
        faultCounts.merge(what, 1, Integer::sum);
    }

    private static void endOrFail(SoakFleet fleet, SoakFleet.Router router) throws Exception {
        if (!router.process().isAlive()) {
            fleet.failures.add(
                    "router " + router.index + " crashed with " + router.process().exitStatus());
            return;
        }
        router.process().signal("TERM");
        if (!router.process().awaitEnd(TimeUnit.SECONDS.toMillis(5))) {
            fleet.failures.add("router " + router.index + " did not end");
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private static Runnable unchecked(SoakFleet fleet, Step step) {
        return () -> {
            try {
                step.run();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            } catch (Exception failed) {
                fleet.failures.add("the run itself failed: " + failed);
            }
        };
    }
}
