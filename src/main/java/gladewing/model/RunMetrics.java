package gladewing.model;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gladewing.router.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The metrics of one simulation run: revenue, time to the final answer, transmissions and rule
 * violations. Requests that arrive and transmissions that are sent during the warm-up are left out.
 * The counts of events and violations and the utilization cover the whole run.
 */
final class RunMetrics {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int WORST_WINDOW_SECONDS = 10;

    private final Scenario scenario;

    /** Revenue of the requests and of their answers, by product and by second of arrival. */
    private final double[] offeredByProduct;

    private final double[] earnedByProduct;
    private final double[] offeredBySecond;
    private final double[] earnedBySecond;
    private final Histogram answerTimes = new Histogram(1, 3_600_000_000L, 3);

    /** The times of whole and partial answers in the order of arrival, for confidence intervals. */
    private final List<Double> answerTimesMillis = new ArrayList<>();

    private long multigets;
    private long whole;
    private long partial;
    private long dismissed;
    private long givenUp;
    private long transmissions;
    private long eventCount;
    private long trace;
    private int violations;
    private List<String> violationMessages = List.of();

    /** The share of the duration that the cores of the busiest node were busy. */
    private double highestUtilization;

    RunMetrics(Scenario scenario) {
        this.scenario = scenario;
        offeredByProduct = new double[scenario.productNames().size()];
        earnedByProduct = new double[scenario.productNames().size()];
        int seconds = (int) (scenario.duration() / SECOND_MICROS) + 1;
        offeredBySecond = new double[seconds];
        earnedBySecond = new double[seconds];
    }

    void requestArrived(int product, long now) {
        if (now >= scenario.warmUp()) {
            double revenue = scenario.settings().products().get(product).revenue();
            multigets++;
            offeredByProduct[product] += revenue;
            offeredBySecond[(int) (now / SECOND_MICROS)] += revenue;
        }
    }

    void transmissionSent(long now) {
        transmissions += now >= scenario.warmUp() ? 1 : 0;
    }

    void requestEnded(int product, long arrivedAt, long now, char kind) {
        if (arrivedAt < scenario.warmUp()) {
            return;
        }
        Settings.Product productSettings = scenario.settings().products().get(product);
        whole += kind == 'w' ? 1 : 0;
        partial += kind == 'p' ? 1 : 0;
        dismissed += kind == 'd' ? 1 : 0;
        givenUp += kind == 'g' ? 1 : 0;
        if (kind == 'w' || kind == 'p') {
            answerTimes.recordValue(Math.max(1, now - arrivedAt));
            answerTimesMillis.add((now - arrivedAt) / 1000.0);
            double earned =
                    productSettings.revenue()
                            * (now - arrivedAt <= productSettings.quotedTime().micros()
                                    ? 1
                                    : productSettings.lateRevenue());
            earnedByProduct[product] += earned;
            earnedBySecond[(int) (arrivedAt / SECOND_MICROS)] += earned;
        }
    }

    void endOfRun(FleetSimulation simulation) {
        eventCount = simulation.eventQueue.processedCount();
        trace = simulation.trace();
        violations = simulation.checker.violations();
        violationMessages = simulation.checker.messages();
        for (SimulatedNode node : simulation.nodes) {
            highestUtilization =
                    Math.max(
                            highestUtilization,
                            node.busyMicros / scenario.coresPerNode() / scenario.duration());
        }
    }

    /** Returns the revenue earned as a share of the revenue of all requests. */
    double revenueShare() {
        return sum(earnedByProduct) / Math.max(1e-9, sum(offeredByProduct));
    }

    double revenueShare(int product) {
        return earnedByProduct[product] / Math.max(1e-9, offeredByProduct[product]);
    }

    /** Returns the lowest revenue share of any ten consecutive seconds, by time of arrival. */
    double worstTenSeconds() {
        double lowest = 1;
        for (int from = (int) (scenario.warmUp() / SECOND_MICROS);
                from + WORST_WINDOW_SECONDS < offeredBySecond.length;
                from++) {
            double offered = 0;
            double earned = 0;
            for (int i = from; i < from + WORST_WINDOW_SECONDS; i++) {
                offered += offeredBySecond[i];
                earned += earnedBySecond[i];
            }
            lowest = offered > 0 ? Math.min(lowest, earned / offered) : lowest;
        }
        return lowest;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    /** Returns a percentile of the time to a whole or partial answer, in milliseconds. */
    double percentileMillis(double percentile) {
        return answerTimes.getValueAtPercentile(percentile) / 1000.0;
    }

    List<Double> answerTimesMillis() {
        return answerTimesMillis;
    }

    /** Returns the number of transmissions divided by the number of requested parts. */
    double transmissionsPerPart() {
        return (double) transmissions / Math.max(1, multigets * scenario.partsPerMultiget());
    }

    long eventCount() {
        return eventCount;
    }

    long trace() {
        return trace;
    }

    int violations() {
        return violations;
    }

    List<String> violationMessages() {
        return violationMessages;
    }

    /** Returns a report for people to read. */
    List<String> reportLines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "revenue %.4f, worst 10 s %.4f, transmissions a part %.3f",
                        revenueShare(),
                        worstTenSeconds(),
                        transmissionsPerPart()));
        for (int product = 0; product < offeredByProduct.length; product++) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "  %s %.4f",
                            scenario.productNames().get(product),
                            revenueShare(product)));
        }
        lines.add(
                String.format(
                        Locale.ROOT,
                        "%d multigets: %d whole, %d in part, %d dismissed, %d given up",
                        multigets,
                        whole,
                        partial,
                        dismissed,
                        givenUp));
        lines.add(
                String.format(
                        Locale.ROOT,
                        "ms to the answer: median %.2f, 90th %.2f, 99th %.2f, 99.9th %.2f",
                        percentileMillis(50),
                        percentileMillis(90),
                        percentileMillis(99),
                        percentileMillis(99.9)));
        lines.add(
                String.format(
                        Locale.ROOT,
                        "busiest node at work %.3f of the day; %d events, trace %016x",
                        highestUtilization,
                        eventCount,
                        trace));
        lines.add(violations == 0 ? "rules: all kept" : "rules: broken " + violations + " times");
        violationMessages.forEach(line -> lines.add("  " + line));
        return lines;
    }

    /** Returns the metrics as a JSON object, with the policy and the seed of the run. */
    String toJson(String policy, long seed) {
        ObjectNode node =
                new ObjectMapper()
                        .createObjectNode()
                        .put("policy", policy)
                        .put("seed", seed)
                        .put("revenue", revenueShare())
                        .put("worst_10s", worstTenSeconds())
                        .put("transmissions_a_part", transmissionsPerPart())
                        .put("multigets", multigets)
                        .put("whole", whole)
                        .put("partial", partial)
                        .put("dismissed", dismissed)
                        .put("given_up", givenUp)
                        .put("p50_ms", percentileMillis(50))
                        .put("p90_ms", percentileMillis(90))
                        .put("p99_ms", percentileMillis(99))
                        .put("events", eventCount)
                        .put("trace", String.format("%016x", trace))
                        .put("rules_broken", violations);
        ArrayNode lines = node.putArray("broken");
        violationMessages.forEach(lines::add);
        return node.toString();
    }
}
