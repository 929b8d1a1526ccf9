package gladewing.model;

import gladewing.router.Settings;
import gladewing.router.TransmissionOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A baseline for comparison with the query router. It chooses a node for each part by one simple
 * policy, retries a failed part on another node as often as the settings allow, and gives up when
 * the time limit is over.
 *
 * <p>Policies: random: any node that holds the shard; least: the node with the fewest transmissions
 * of this router in flight, ties broken at random; two: the better of two random nodes by the same
 * count; turns: round robin; oracle: the node with the smallest true backlog, which no real router
 * can know.
 */
final class BaselineRouter implements SimulatedRouter {
    static final List<String> POLICIES = List.of("random", "least", "two", "turns", "oracle");

    private static final class PendingMultiget {
        final int product;
        final int[] shards;
        final long deadline;
        final boolean[] isAnswered;
        final int[] sentCounts;

        /** By part: whether the last transmission failed but may have run. */
        final boolean[] mayHaveRun;

        int inFlightCount;
        int missingParts;
        boolean hasFinalAnswer;

        PendingMultiget(int product, int[] shards, long deadline) {
            this.product = product;
            this.shards = shards;
            this.deadline = deadline;
            isAnswered = new boolean[shards.length];
            sentCounts = new int[shards.length];
            mayHaveRun = new boolean[shards.length];
            missingParts = shards.length;
        }
    }

    private final FleetSimulation simulation;
    private final int index;
    private final String policy;
    private final UniformRandomProvider random;
    private final Settings settings;
    private final Map<Integer, List<Integer>> nodesByCell = new HashMap<>();
    private final Map<Integer, Integer> inFlightByNode = new HashMap<>();
    private int nextRef;
    private int nextTurn;

    BaselineRouter(FleetSimulation simulation, int index, String policy, long seed) {
        this.simulation = simulation;
        this.index = index;
        this.policy = policy;
        settings = simulation.scenario.settings();
        random = DurationDistribution.stream(seed, "plain router " + index);
    }

    @Override
    public void accept(int product, int[] shards, long timeLimit, boolean isRetry) {
        int ref = nextRef++;
        simulation.accepted(index, ref, product, shards, timeLimit);
        PendingMultiget multiget =
                new PendingMultiget(product, shards, simulation.eventQueue.now() + timeLimit);
        for (int part = 0; part < shards.length && !multiget.hasFinalAnswer; part++) {
            send(ref, multiget, part, -1);
        }
        // Gives up before the client's time limit, with the same margin as the query router.
        simulation.eventQueue.schedule(
                timeLimit - settings.deadlineMargin().micros(), () -> finish(ref, multiget, 'g'));
    }

    private void send(int ref, PendingMultiget multiget, int part, int excludedNode) {
        int node =
                multiget.sentCounts[part] >= settings.permissions().transmissionsPerPart()
                                || multiget.mayHaveRun[part]
                                        && settings.products().get(multiget.product).effect()
                                                == Settings.Effect.ONCE_ONLY
                        ? -1
                        : chooseNode(multiget.shards[part], excludedNode);
        if (node < 0) {
            finish(ref, multiget, 'g');
            return;
        }
        multiget.sentCounts[part]++;
        multiget.inFlightCount++;
        inFlightByNode.merge(node, 1, Integer::sum);
        simulation.send(
                index,
                ref,
                part,
                node,
                multiget.deadline - simulation.eventQueue.now(),
                (outcome, elapsedMicros) -> {
                    inFlightByNode.merge(node, -1, Integer::sum);
                    multiget.inFlightCount--;
                    if (outcome == TransmissionOutcome.OK) {
                        multiget.isAnswered[part] = true;
                        if (--multiget.missingParts == 0) {
                            finish(ref, multiget, 'w');
                        }
                    } else if (!multiget.hasFinalAnswer) {
                        multiget.mayHaveRun[part] = !outcome.provesNotRun;
                        send(ref, multiget, part, node);
                    }
                    if (multiget.hasFinalAnswer && multiget.inFlightCount == 0) {
                        simulation.forget(index, ref);
                    }
                });
    }

    private void finish(int ref, PendingMultiget multiget, char kind) {
        if (!multiget.hasFinalAnswer) {
            multiget.hasFinalAnswer = true;
            simulation.finalAnswer(index, ref, kind, 0);
            if (multiget.inFlightCount == 0) {
                simulation.forget(index, ref);
            }
        }
    }

    private int chooseNode(int shard, int excludedNode) {
        List<Integer> holders = new ArrayList<>();
        Settings.Shards placement = settings.shards();
        for (int offset = 0; offset < placement.cellsPerShard(); offset++) {
            holders.addAll(
                    nodesByCell.getOrDefault((shard + offset) % placement.cells(), List.of()));
        }
        if (holders.size() > 1) {
            holders.remove((Integer) excludedNode);
        }
        if (holders.isEmpty()) {
            return -1;
        }
        switch (policy) {
            case "turns":
                return holders.get(nextTurn++ % holders.size());
            case "two":
                int first = holders.get(random.nextInt(holders.size()));
                int second = holders.get(random.nextInt(holders.size()));
                return load(first) <= load(second) ? first : second;
            case "random":
                return holders.get(random.nextInt(holders.size()));
            default:
                int start = random.nextInt(holders.size());
                int best = holders.get(start);
                for (int i = 1; i < holders.size(); i++) {
                    int other = holders.get((start + i) % holders.size());
                    best = load(other) < load(best) ? other : best;
                }
                return best;
        }
    }

    private double load(int node) {
        if (!policy.equals("oracle")) {
            return inFlightByNode.getOrDefault(node, 0);
        }
        SimulatedNode simulatedNode = simulation.nodes.get(node);
        return simulatedNode.isReachable() ? simulatedNode.backlogMicros() : Double.MAX_VALUE;
    }

    @Override
    public void nodeListed(int node, int cell, long startedAt, boolean isDraining) {
        nodeRemoved(node);
        if (!isDraining) {
            nodesByCell.computeIfAbsent(cell, c -> new ArrayList<>()).add(node);
        }
    }

    @Override
    public void nodeRemoved(int node) {
        nodesByCell.values().forEach(nodes -> nodes.remove((Integer) node));
    }

    @Override
    public void nodeListReceived() {}
}
