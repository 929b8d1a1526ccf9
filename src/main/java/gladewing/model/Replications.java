package gladewing.model;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs replications of a scenario with different seeds and estimates means with confidence
 * intervals. Policies are compared by paired differences, because the same seed gives the same
 * arrivals under every policy.
 */
final class Replications {
    /**
     * Quantiles of Student's t-distribution for a two-sided 95 % confidence interval, from one
     * degree of freedom on. The last is used for all higher degrees of freedom.
     */
    private static final double[] T_QUANTILES = {
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
        2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
        2.052, 2.048, 2.045, 2.042, 1.960
    };

    private Replications() {}

    /** A sample mean and the half-width of its 95 % confidence interval. */
    record Estimate(double mean, double halfWidth) {
        static Estimate of(List<Double> values) {
            int count = values.size();
            double sum = 0;
            for (double value : values) {
                sum += value;
            }
            double mean = sum / Math.max(1, count);
            double squaredDeviations = 0;
            for (double value : values) {
                squaredDeviations += (value - mean) * (value - mean);
            }
            double halfWidth =
                    count < 2
                            ? Double.POSITIVE_INFINITY
                            : T_QUANTILES[Math.min(count - 2, T_QUANTILES.length - 1)]
                                    * Math.sqrt(squaredDeviations / (count - 1) / count);
            return new Estimate(mean, halfWidth);
        }

        /** Estimates the mean of a series of correlated values by the method of batch means. */
        static Estimate ofBatches(List<Double> values, int batches) {
            List<Double> means = new ArrayList<>();
            int size = values.size() / batches;
            for (int batch = 0; batch < batches; batch++) {
                means.add(of(values.subList(batch * size, (batch + 1) * size)).mean);
            }
            return of(means);
        }
    }

    /** Returns the scenario to run with a seed. */
    interface ScenarioBySeed {
        Scenario of(long seed);
    }

    /**
     * Runs a policy with consecutive seeds and returns the metrics in the order of the seeds,
     * whatever the number of threads.
     */
    static List<RunMetrics> run(
            ScenarioBySeed scenarios, String policy, long firstSeed, int seedCount, int threads) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunMetrics>> running = new ArrayList<>();
            for (int i = 0; i < seedCount; i++) {
                long seed = firstSeed + i;
                running.add(
                        pool.submit(
                                () -> new FleetSimulation(scenarios.of(seed), policy, seed).run()));
            }
            List<RunMetrics> completed = new ArrayList<>();
            for (Future<RunMetrics> future : running) {
                completed.add(future.get());
            }
            return completed;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        } catch (ExecutionException failed) {
            throw new IllegalStateException(failed.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /**
     * Estimates the difference of the revenue shares, first minus second, by pairs of equal seeds.
     */
    static Estimate revenueDifference(List<RunMetrics> first, List<RunMetrics> second) {
        List<Double> differences = new ArrayList<>();
        for (int i = 0; i < first.size(); i++) {
            differences.add(first.get(i).revenueShare() - second.get(i).revenueShare());
        }
        return Estimate.of(differences);
    }
}
