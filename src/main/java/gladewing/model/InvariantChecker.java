package gladewing.model;

import gladewing.router.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks at every event that the routers keep the six rules. It sees only what an observer of all
 * network traffic would see, and shares no code with the routers except the settings. Of rule 6 it
 * checks the limit of transmissions per part and the ban on hedged copies, but not the retry
 * budget.
 *
 * <p>The rules: 1. each multiget gets exactly one final answer, within the client's time limit; 2.
 * a part that may have run is not sent again if it is once-only, and a multiget that may have run
 * is not dismissed unless it is repeatable; 3. a node gets no new transmissions once the grace time
 * after it was listed as draining or gone is over; 4. no cold node is overloaded until it fails; 5.
 * an answer contains at least the share that its product requires; 6. a part is not sent too often.
 */
final class InvariantChecker {
    private static final int MAX_MESSAGES = 20;

    private static final class OpenMultiget {
        final int product;
        final double[] weights;
        final long deadline;
        final int[] sentCounts;
        final boolean[] isAnswered;

        /** By part: how many transmissions have run, may have run or may still run. */
        final int[] mayHaveRunCounts;

        /** By part: how many transmissions have not ended. */
        final int[] inFlightCounts;

        boolean hasFinalAnswer;

        OpenMultiget(int product, double[] weights, long deadline) {
            this.product = product;
            this.weights = weights;
            this.deadline = deadline;
            sentCounts = new int[weights.length];
            isAnswered = new boolean[weights.length];
            mayHaveRunCounts = new int[weights.length];
            inFlightCounts = new int[weights.length];
        }
    }

    private final Settings settings;
    private final Map<Long, OpenMultiget> multigets = new HashMap<>();

    /**
     * For each router, the time by node after which it may send nothing new to that node. Nodes
     * that may be used are absent.
     */
    private final List<Map<Integer, Long>> usableUntilByNode = new ArrayList<>();

    private final long graceMicros;
    private final int[] violationCounts = new int[7];
    private final List<String> messages = new ArrayList<>();
    private long finalAnswerCount;

    InvariantChecker(Settings settings, int routers, long graceMicros) {
        this.settings = settings;
        this.graceMicros = graceMicros;
        for (int r = 0; r < routers; r++) {
            usableUntilByNode.add(new HashMap<>());
        }
    }

    private static long key(int router, int ref) {
        return (long) router << 40 | ref;
    }

    private void addViolation(int rule, long now, String message) {
        violationCounts[rule]++;
        if (messages.size() < MAX_MESSAGES) {
            messages.add("rule " + rule + " at " + now / 1000.0 + " ms: " + message);
        }
    }

    void accepted(int router, int ref, int product, double[] weights, long deadline) {
        multigets.put(key(router, ref), new OpenMultiget(product, weights, deadline));
    }

    void transmissionSent(int router, int ref, int part, int node, long now) {
        OpenMultiget multiget = multigets.get(key(router, ref));
        if (multiget == null || multiget.hasFinalAnswer) {
            addViolation(1, now, "router " + router + " sends a part after its final answer");
            return;
        }
        Settings.Product product = settings.products().get(multiget.product);
        if (product.effect() == Settings.Effect.ONCE_ONLY && multiget.mayHaveRunCounts[part] > 0) {
            addViolation(2, now, "a once-only part is sent again, and may have run");
        }
        if (multiget.sentCounts[part] >= settings.permissions().transmissionsPerPart()) {
            addViolation(6, now, "a part is sent " + (multiget.sentCounts[part] + 1) + " times");
        }
        if (!settings.permissions().hedgedCopies() && multiget.inFlightCounts[part] > 0) {
            addViolation(6, now, "a second copy where there may be none");
        }
        Long usableUntil = usableUntilByNode.get(router).get(node);
        if (usableUntil != null && now > usableUntil) {
            addViolation(
                    3,
                    now,
                    "router "
                            + router
                            + " sends to node "
                            + node
                            + ", "
                            + (now - usableUntil) / 1000
                            + " ms after its grace");
        }
        multiget.sentCounts[part]++;
        multiget.inFlightCounts[part]++;
        multiget.mayHaveRunCounts[part]++;
    }

    /** Records that the router was told of the end of a transmission, whatever its outcome. */
    void transmissionEnded(int router, int ref, int part) {
        OpenMultiget multiget = multigets.get(key(router, ref));
        if (multiget != null) {
            multiget.inFlightCounts[part]--;
        }
    }

    /** Records that the router was told that a transmission certainly never ran. */
    void transmissionNeverRan(int router, int ref, int part) {
        OpenMultiget multiget = multigets.get(key(router, ref));
        if (multiget != null) {
            multiget.mayHaveRunCounts[part]--;
        }
    }

    void partAnswered(int router, int ref, int part) {
        OpenMultiget multiget = multigets.get(key(router, ref));
        if (multiget != null) {
            multiget.isAnswered[part] = true;
        }
    }

    /**
     * Records a final answer.
     *
     * @param kind 'w' whole, 'p' partial, 'd' dismissed, 'g' given up
     */
    void finalAnswer(int router, int ref, char kind, long now) {
        OpenMultiget multiget = multigets.get(key(router, ref));
        finalAnswerCount++;
        if (multiget == null || multiget.hasFinalAnswer) {
            addViolation(1, now, "a second final answer");
            return;
        }
        multiget.hasFinalAnswer = true;
        if (now > multiget.deadline) {
            addViolation(
                    1,
                    now,
                    "a final answer "
                            + (now - multiget.deadline) / 1000.0
                            + " ms after the client's time");
        }
        Settings.Product product = settings.products().get(multiget.product);
        double share = 0;
        boolean mayHaveRun = false;
        for (int part = 0; part < multiget.weights.length; part++) {
            share += multiget.isAnswered[part] ? multiget.weights[part] : 0;
            mayHaveRun |= multiget.mayHaveRunCounts[part] > 0;
        }
        if (kind == 'd' && mayHaveRun && product.effect() != Settings.Effect.REPEATABLE) {
            addViolation(2, now, "dismissed, and may have run");
        }
        if ((kind == 'w' || kind == 'p') && share < product.leastShare() - 1e-9) {
            addViolation(
                    5, now, "an answer with " + share + " of at least " + product.leastShare());
        }
        if (kind == 'w' && share < product.wholeShare() - 1e-9) {
            addViolation(5, now, "marked whole with " + share);
        }
    }

    /** Drops the state of a multiget that has its final answer and no transmissions in flight. */
    void forget(int router, int ref) {
        multigets.remove(key(router, ref));
    }

    /** Records that a router's node list changed: whether it may use a node from now on. */
    void nodeListed(int router, int node, boolean mayBeUsed, long now) {
        if (mayBeUsed) {
            usableUntilByNode.get(router).remove(node);
        } else {
            usableUntilByNode.get(router).putIfAbsent(node, now + graceMicros);
        }
    }

    void nodeOverloaded(int node, long now) {
        addViolation(4, now, "the cold node " + node + " was pushed over");
    }

    /** Reports the multigets without a final answer; called after all time limits are over. */
    void endOfRun(long now) {
        multigets.values().stream()
                .filter(multiget -> !multiget.hasFinalAnswer)
                .forEach(multiget -> addViolation(1, now, "no final answer"));
    }

    int violations() {
        int sum = 0;
        for (int count : violationCounts) {
            sum += count;
        }
        return sum;
    }

    int violations(int rule) {
        return violationCounts[rule];
    }

    long finalAnswerCount() {
        return finalAnswerCount;
    }

    /** The messages of the first violations, at most {@link #MAX_MESSAGES}. */
    List<String> messages() {
        return messages;
    }
}
