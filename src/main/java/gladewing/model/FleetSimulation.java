package gladewing.model;

import gladewing.router.Settings;
import gladewing.router.TransmissionOutcome;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A single-threaded discrete-event simulation of clients, routers, the network, data nodes and the
 * node list, with injected faults. The same scenario, seed and policy give the same run, event by
 * event. The same scenario and seed under another policy have the same arrivals and faults. Times
 * are in microseconds of virtual time.
 */
final class FleetSimulation {
    static final String MODULE_POLICY = "module";

    /** How long a router may still send to a node after its list shows the node as not usable. */
    private static final long DRAIN_GRACE_MICROS = 2_000_000;

    /** From the stop of a drained node to the start of its replacement. */
    private static final long RESTART_MICROS = 1_000_000;

    /** From the end of the grace time to the stop of a drained node. */
    private static final long STOP_AFTER_GRACE_MICROS = 1_000_000;

    /** The shortest time that a client waits before a retry. */
    private static final long MIN_CLIENT_BACKOFF_MICROS = 100_000;

    /** Added to the time limit of each attempt when the run continues after the last arrival. */
    private static final long SETTLE_MICROS = 1_000_000;

    /**
     * Maps popularity ranks to shards. It is prime, so every shard is reached unless the number of
     * shards is a multiple of it.
     */
    private static final long SHARD_STRIDE = 7919;

    /**
     * Draws by popularity for a shard that is not yet in the multiget, before the next free one is
     * taken.
     */
    private static final int MAX_SHARD_REDRAWS = 50;

    /** Receives the outcome of a transmission and the time since it was sent, in microseconds. */
    interface TransmissionCallback {
        void transmissionEnded(TransmissionOutcome outcome, long elapsedMicros);
    }

    /** A transmission in flight. */
    static final class SimulatedTransmission {
        private final int router;
        private final int ref;
        private final int part;
        private final SimulatedNode node;
        private final long sentAt;
        private final TransmissionCallback callback;
        private SimulatedNode.Job job;
        private boolean hasEnded;

        private SimulatedTransmission(
                int router,
                int ref,
                int part,
                SimulatedNode node,
                long sentAt,
                TransmissionCallback callback) {
            this.router = router;
            this.ref = ref;
            this.part = part;
            this.node = node;
            this.sentAt = sentAt;
            this.callback = callback;
        }
    }

    /**
     * A request of a client, which may be sent several times. It first arrived at the given time.
     */
    private record ClientRequest(int product, int[] shards, long arrivedAt, int attempts) {}

    final EventQueue eventQueue = new EventQueue();
    final Scenario scenario;
    final List<SimulatedNode> nodes = new ArrayList<>();
    final InvariantChecker checker;
    final RunMetrics metrics;
    private final long seed;
    private final List<SimulatedRouter> routers = new ArrayList<>();

    /**
     * When the last node-list update reaches each router. Updates arrive in the order in which they
     * were sent.
     */
    private final long[] lastListArrivalAt;

    private final Map<Long, ClientRequest> openRequests = new HashMap<>();
    private final Map<SimulatedNode, Set<SimulatedTransmission>> transmissionsByNode =
            new HashMap<>();
    private final UniformRandomProvider networkRandom;
    private final UniformRandomProvider listRandom;
    private final UniformRandomProvider clientRandom;

    /** Separate from the stream of the arrivals, which must be the same under every policy. */
    private final UniformRandomProvider retryRandom;

    private final double[] cumulativeShardWeights;
    private final double[] cumulativeProductShares;

    /** The request that is being passed to a router, until the router accepts it. */
    private ClientRequest requestBeingSent;

    private long listUnavailableUntil;
    private long trace = 17;

    FleetSimulation(Scenario scenario, String policy, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        checker = new InvariantChecker(scenario.settings(), scenario.routers(), DRAIN_GRACE_MICROS);
        metrics = new RunMetrics(scenario);
        networkRandom = DurationDistribution.stream(seed, "network");
        listRandom = DurationDistribution.stream(seed, "lists");
        clientRandom = DurationDistribution.stream(seed, "clients");
        retryRandom = DurationDistribution.stream(seed, "repeats");
        lastListArrivalAt = new long[scenario.routers()];
        cumulativeProductShares =
                cumulativeSums(
                        scenario.productShares().stream().mapToDouble(share -> share).toArray());
        double[] weights = new double[scenario.shards()];
        for (int rank = 0; rank < weights.length; rank++) {
            weights[rank] = StrictMath.pow(rank + 1, -scenario.zipfExponent());
        }
        cumulativeShardWeights = cumulativeSums(weights);
        for (int index = 0; index < scenario.nodes(); index++) {
            addNode(index % scenario.settings().shards().cells());
        }
        for (int r = 0; r < scenario.routers(); r++) {
            long routerSeed = seed * 1_000_003 + r;
            SimulatedRouter router =
                    policy.equals(MODULE_POLICY)
                            ? new QueryRouterAdapter(this, r, routerSeed)
                            : new BaselineRouter(this, r, policy, routerSeed);
            routers.add(router);
            for (SimulatedNode node : nodes) {
                router.nodeListed(node.index, node.cell, -1, false);
            }
            router.nodeListReceived();
        }
        scenario.faults().forEach(this::scheduleFault);
    }

    private static double[] cumulativeSums(double[] values) {
        double[] sums = new double[values.length];
        double sum = 0;
        for (int i = 0; i < values.length; i++) {
            sum += values[i];
            sums[i] = sum;
        }
        return sums;
    }

    /** Draws an index with the probability of its weight. */
    private static int drawIndex(double[] cumulativeWeights, UniformRandomProvider random) {
        int position =
                Arrays.binarySearch(
                        cumulativeWeights,
                        random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
        return Math.min(cumulativeWeights.length - 1, position < 0 ? -position - 1 : position + 1);
    }

    private SimulatedNode addNode(int cell) {
        int index = nodes.size();
        SimulatedNode node =
                new SimulatedNode(
                        index,
                        cell,
                        eventQueue,
                        scenario,
                        DurationDistribution.stream(seed, "store " + index),
                        () -> {
                            checker.nodeOverloaded(index, eventQueue.now());
                            resetTransmissions(nodes.get(index));
                        });
        nodes.add(node);
        transmissionsByNode.put(node, new LinkedHashSet<>());
        return node;
    }

    /**
     * Runs the scenario. After the last arrival it continues for the longest time limit and {@link
     * #SETTLE_MICROS} for each attempt, so that requests in flight can end.
     */
    RunMetrics run() {
        Settings settings = scenario.settings();
        long limit = 0;
        for (Settings.Product product : settings.products()) {
            limit = Math.max(limit, product.timeLimit().micros());
        }
        scheduleNextArrival();
        while (eventQueue.runNext(
                scenario.duration() + scenario.attemptsPerRequest() * (limit + SETTLE_MICROS))) {}
        checker.endOfRun(eventQueue.now());
        metrics.endOfRun(this);
        return metrics;
    }

    /** Returns a hash of all transmissions and final answers with their times, to compare runs. */
    long trace() {
        return trace;
    }

    private void updateTrace(long value) {
        trace = Long.rotateLeft(trace ^ value ^ eventQueue.now(), 23) * 0x9fb21c651e98df25L;
    }

    // Clients

    private void scheduleNextArrival() {
        long gap =
                Math.round(
                        DurationDistribution.exponential(1e6 / scenario.arrivalRate())
                                .draw(clientRandom));
        int product = drawIndex(cumulativeProductShares, clientRandom);
        int[] shards = new int[scenario.partsPerMultiget()];
        for (int part = 0; part < shards.length; part++) {
            // Popularity ranks are scattered over the shards, so that popular shards are not
            // adjacent.
            int shard =
                    (int)
                            (drawIndex(cumulativeShardWeights, clientRandom)
                                    * SHARD_STRIDE
                                    % scenario.shards());
            for (int redraws = 0; containsBefore(shards, part, shard); redraws++) {
                shard =
                        redraws < MAX_SHARD_REDRAWS
                                ? (int)
                                        (drawIndex(cumulativeShardWeights, clientRandom)
                                                * SHARD_STRIDE
                                                % scenario.shards())
                                : (shard + 1) % scenario.shards();
            }
            shards[part] = shard;
        }
        int router = clientRandom.nextInt(scenario.routers());
        if (eventQueue.now() + gap < scenario.duration()) {
            eventQueue.schedule(
                    gap,
                    () -> {
                        metrics.requestArrived(product, eventQueue.now());
                        sendRequest(
                                router,
                                new ClientRequest(product, shards, eventQueue.now(), 1),
                                false);
                        scheduleNextArrival();
                    });
        }
    }

    /** Whether the shard is among the entries before the given end. */
    private static boolean containsBefore(int[] shards, int end, int shard) {
        for (int i = 0; i < end; i++) {
            if (shards[i] == shard) {
                return true;
            }
        }
        return false;
    }

    private void sendRequest(int router, ClientRequest request, boolean isRetry) {
        requestBeingSent = request;
        routers.get(router)
                .accept(
                        request.product,
                        request.shards,
                        scenario.settings().products().get(request.product).timeLimit().micros(),
                        isRetry);
    }

    /** Called by a router that accepts a multiget. Returns the weight of each part. */
    double[] accepted(int router, int ref, int product, int[] shards, long timeLimit) {
        double[] weights = new double[shards.length];
        Arrays.fill(weights, 1.0 / shards.length);
        checker.accepted(router, ref, product, weights, eventQueue.now() + timeLimit);
        openRequests.put((long) router << 40 | ref, requestBeingSent);
        return weights;
    }

    /**
     * Called by a router with the final answer to a multiget.
     *
     * @param kind as in {@link InvariantChecker#finalAnswer}
     * @param retryAfter how long the client should wait before a retry, in microseconds
     */
    void finalAnswer(int router, int ref, char kind, long retryAfter) {
        updateTrace(router * 131L + ref * 7L + kind);
        checker.finalAnswer(router, ref, kind, eventQueue.now());
        ClientRequest request = openRequests.remove((long) router << 40 | ref);
        if (request == null) {
            return;
        }
        boolean isAnswered = kind == 'w' || kind == 'p';
        boolean mayRepeat =
                kind == 'd'
                        || scenario.settings().products().get(request.product).effect()
                                == Settings.Effect.REPEATABLE;
        if (!isAnswered && mayRepeat && request.attempts < scenario.attemptsPerRequest()) {
            int retryRouter = retryRandom.nextInt(scenario.routers());
            eventQueue.schedule(
                    Math.max(retryAfter, MIN_CLIENT_BACKOFF_MICROS),
                    () ->
                            sendRequest(
                                    retryRouter,
                                    new ClientRequest(
                                            request.product,
                                            request.shards,
                                            request.arrivedAt,
                                            request.attempts + 1),
                                    true));
            return;
        }
        metrics.requestEnded(request.product, request.arrivedAt, eventQueue.now(), kind);
    }

    /** Called by a router when a multiget has its final answer and no transmissions in flight. */
    void forget(int router, int ref) {
        checker.forget(router, ref);
    }

    // Network

    private long drawNetworkDelay() {
        return Math.round(scenario.networkDelay().draw(networkRandom));
    }

    /**
     * Sends a transmission to a node. The callback is called once, at the latest after the timeout,
     * which is in microseconds.
     */
    SimulatedTransmission send(
            int router,
            int ref,
            int part,
            int nodeIndex,
            long timeout,
            TransmissionCallback callback) {
        updateTrace(router * 31L + nodeIndex * 17L + part);
        checker.transmissionSent(router, ref, part, nodeIndex, eventQueue.now());
        metrics.transmissionSent(eventQueue.now());
        SimulatedNode node = nodes.get(nodeIndex);
        SimulatedTransmission transmission =
                new SimulatedTransmission(router, ref, part, node, eventQueue.now(), callback);
        transmission.job =
                new SimulatedNode.Job(
                        node.drawWork(),
                        () ->
                                eventQueue.schedule(
                                        drawNetworkDelay(),
                                        () ->
                                                endTransmission(
                                                        transmission, TransmissionOutcome.OK)));
        int incarnation = node.incarnation;
        transmissionsByNode.get(node).add(transmission);
        eventQueue.schedule(
                drawNetworkDelay(),
                () -> {
                    if (transmission.hasEnded) {
                        return;
                    }
                    if (!node.isReachable() || node.incarnation != incarnation) {
                        eventQueue.schedule(
                                drawNetworkDelay(),
                                () ->
                                        endTransmission(
                                                transmission, TransmissionOutcome.NOT_CONNECTED));
                    } else if (!node.accept(transmission.job)) {
                        eventQueue.schedule(
                                drawNetworkDelay(),
                                () -> endTransmission(transmission, TransmissionOutcome.REJECTED));
                    }
                });
        eventQueue.schedule(
                timeout, () -> endTransmission(transmission, TransmissionOutcome.TIMED_OUT));
        return transmission;
    }

    /**
     * Withdraws a transmission. The sender is notified by a separate event. The node removes the
     * job from its queue when the withdrawal arrives there.
     */
    void withdraw(SimulatedTransmission transmission) {
        eventQueue.schedule(0, () -> endTransmission(transmission, TransmissionOutcome.WITHDRAWN));
        eventQueue.schedule(drawNetworkDelay(), () -> transmission.node.withdraw(transmission.job));
    }

    private void endTransmission(SimulatedTransmission transmission, TransmissionOutcome outcome) {
        if (transmission.hasEnded) {
            return;
        }
        transmission.hasEnded = true;
        transmissionsByNode.get(transmission.node).remove(transmission);
        checker.transmissionEnded(transmission.router, transmission.ref, transmission.part);
        if (outcome.provesNotRun) {
            checker.transmissionNeverRan(transmission.router, transmission.ref, transmission.part);
        } else if (outcome == TransmissionOutcome.OK) {
            checker.partAnswered(transmission.router, transmission.ref, transmission.part);
        }
        transmission.callback.transmissionEnded(outcome, eventQueue.now() - transmission.sentAt);
    }

    /** Ends all transmissions at a node with a connection reset. */
    private void resetTransmissions(SimulatedNode node) {
        for (SimulatedTransmission transmission : new ArrayList<>(transmissionsByNode.get(node))) {
            eventQueue.schedule(
                    drawNetworkDelay(),
                    () -> endTransmission(transmission, TransmissionOutcome.RESET));
        }
    }

    // Node list

    /** Sends a change of a node to the node lists of all routers. */
    private void announceToRouters(SimulatedNode node, SimulatedNode.State state, boolean isNew) {
        long startedAt = isNew ? eventQueue.now() : -1;
        for (int r = 0; r < routers.size(); r++) {
            int router = r;
            long arrivalAt =
                    Math.max(eventQueue.now(), listUnavailableUntil)
                            + Math.round(scenario.nodeListLag().draw(listRandom));
            lastListArrivalAt[r] = Math.max(lastListArrivalAt[r], arrivalAt);
            eventQueue.schedule(
                    lastListArrivalAt[r] - eventQueue.now(),
                    () -> {
                        checker.nodeListed(
                                router,
                                node.index,
                                state == SimulatedNode.State.UP,
                                eventQueue.now());
                        if (state == SimulatedNode.State.GONE) {
                            routers.get(router).nodeRemoved(node.index);
                        } else {
                            routers.get(router)
                                    .nodeListed(
                                            node.index,
                                            node.cell,
                                            startedAt,
                                            state == SimulatedNode.State.DRAINING);
                        }
                        routers.get(router).nodeListReceived();
                    });
        }
    }

    // Faults

    private void scheduleFault(Scenario.InjectedFault fault) {
        eventQueue.schedule(
                fault.at(),
                () -> {
                    List<SimulatedNode> affected =
                            nodes.subList(fault.firstNode(), fault.firstNode() + fault.nodeCount());
                    switch (fault.kind()) {
                        case "slow" ->
                                affected.forEach(node -> node.slowdownFactor = fault.factor());
                        case "stall" -> affected.forEach(node -> node.isStalled = true);
                        case "silent" -> affected.forEach(node -> node.isSilent = true);
                        case "kill" ->
                                new ArrayList<>(affected)
                                        .forEach(
                                                node -> {
                                                    if (node.state != SimulatedNode.State.GONE) {
                                                        stopNode(node);
                                                        eventQueue.schedule(
                                                                fault.duration(),
                                                                () -> startReplacement(node.cell));
                                                    }
                                                });
                        case "deploy" -> {
                            long interval = fault.duration() / fault.nodeCount();
                            for (int i = 0; i < fault.nodeCount(); i++) {
                                SimulatedNode node = affected.get(i);
                                eventQueue.schedule(i * interval, () -> drainNode(node));
                            }
                        }
                        default ->
                                listUnavailableUntil =
                                        Math.max(
                                                listUnavailableUntil,
                                                eventQueue.now() + fault.duration());
                    }
                    if (fault.kind().equals("slow")
                            || fault.kind().equals("stall")
                            || fault.kind().equals("silent")) {
                        List<SimulatedNode> recovering = new ArrayList<>(affected);
                        eventQueue.schedule(
                                fault.duration(),
                                () ->
                                        recovering.forEach(
                                                node -> {
                                                    node.slowdownFactor = 1;
                                                    node.isStalled = false;
                                                    node.isSilent = false;
                                                    node.startJobs();
                                                }));
                    }
                });
    }

    private void drainNode(SimulatedNode node) {
        if (node.state != SimulatedNode.State.UP) {
            return;
        }
        node.state = SimulatedNode.State.DRAINING;
        announceToRouters(node, SimulatedNode.State.DRAINING, false);
        eventQueue.schedule(
                DRAIN_GRACE_MICROS + STOP_AFTER_GRACE_MICROS,
                () -> {
                    if (node.state != SimulatedNode.State.GONE) {
                        stopNode(node);
                        eventQueue.schedule(RESTART_MICROS, () -> startReplacement(node.cell));
                    }
                });
    }

    private void stopNode(SimulatedNode node) {
        resetTransmissions(node);
        node.stop();
        announceToRouters(node, SimulatedNode.State.GONE, false);
    }

    /** Starts a cold node with a new index in place of a stopped one. */
    private void startReplacement(int cell) {
        SimulatedNode replacement = addNode(cell);
        replacement.startCold();
        announceToRouters(replacement, SimulatedNode.State.UP, true);
    }
}
