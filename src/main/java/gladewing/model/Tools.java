package gladewing.model;

import com.fasterxml.jackson.databind.JsonNode;
import gladewing.settings.IniFile;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line of the simulation: runs scenarios, compares policies, searches for faults that
 * break a rule, and runs experiments.
 */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        subcommands = CommandLine.HelpCommand.class,
        description = "Simulates a fleet in virtual time, with the production query router.",
        footer = {
            "",
            "  model run day.ini",
            "  model compare day.ini --seeds 10 --policies module,least,oracle",
            "  model chaos day.ini --days 100 --troubles 3",
            "  model experiment sizes.ini --results sizes.jsonl"
        })
public final class Tools implements Runnable {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILURE = 1;
    private static final int MAX_SHRINK_RUNS = 60;

    /**
     * The version of the simulation that produced a row of results. It goes into the rows, but rows
     * of another version are not told apart when an experiment continues.
     */
    private static final String RESULTS_VERSION = "1";

    @Spec private CommandSpec spec;

    private Tools() {}

    public static void main(String[] args) {
        System.exit(
                run(
                        args,
                        new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                        new PrintWriter(System.err, true, StandardCharsets.UTF_8)));
    }

    /**
     * Runs a command and returns the exit code: 0 for success, 1 for a violated rule or a faulty
     * file, 2 for wrong usage.
     */
    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Tools()).setOut(out).setErr(err).execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "Missing a subcommand: run, compare, chaos or experiment");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Reads a scenario. Prints the faults of the file and returns null if there are any. */
    private Scenario readScenario(String path) {
        IniFile file = IniFile.read(path);
        Scenario scenario = Scenario.read(file);
        file.faults().forEach(spec.commandLine().getErr()::println);
        return file.faults().isEmpty() ? scenario : null;
    }

    private void checkPolicies(List<String> policies) {
        for (String policy : policies) {
            if (!policy.equals(FleetSimulation.MODULE_POLICY)
                    && !BaselineRouter.POLICIES.contains(policy)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "There is no policy "
                                + policy
                                + ", wanted: module, "
                                + String.join(", ", BaselineRouter.POLICIES));
            }
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs the scenario of a day file and prints its metrics.")
    int runScenario(
            @Parameters(paramLabel = "DAY.ini") String file,
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(
                            names = "--policy",
                            defaultValue = "module",
                            description =
                                    "module, random, least, two, turns "
                                            + "or oracle; default ${DEFAULT-VALUE}")
                    String policy,
            @Option(names = "--json", description = "Prints the metrics as a JSON object.")
                    boolean json) {
        checkPolicies(List.of(policy));
        Scenario scenario = readScenario(file);
        if (scenario == null) {
            return EXIT_FAILURE;
        }
        long startedAtNanos = System.nanoTime();
        RunMetrics metrics = new FleetSimulation(scenario, policy, seed).run();
        if (json) {
            out().println(metrics.toJson(policy, seed));
        } else {
            metrics.reportLines().forEach(out()::println);
            double seconds = (System.nanoTime() - startedAtNanos) / 1e9;
            spec.commandLine()
                    .getErr()
                    .printf(
                            Locale.ROOT,
                            "%.1f s, %.0f events a second%n",
                            seconds,
                            metrics.eventCount() / seconds);
        }
        return metrics.violations() == 0 ? EXIT_OK : EXIT_FAILURE;
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Runs the same scenarios under several policies, and prints means and"
                            + " differences from the first policy with 95 %% confidence intervals.")
    int compare(
            @Parameters(paramLabel = "DAY.ini") String file,
            @Option(
                            names = "--policies",
                            split = ",",
                            defaultValue = "module,random,turns,two,least,oracle")
                    List<String> policies,
            @Option(names = "--seeds", defaultValue = "5") int seeds,
            @Option(names = "--first", defaultValue = "1") long first,
            @Option(
                            names = "--troubles",
                            defaultValue = "0",
                            description = "Number of random faults, drawn anew for each seed.")
                    int troubles,
            @Option(names = "--threads", defaultValue = "4") int threads) {
        checkPolicies(policies);
        Scenario scenario = readScenario(file);
        if (scenario == null) {
            return EXIT_FAILURE;
        }
        Map<String, List<RunMetrics>> metricsByPolicy = new LinkedHashMap<>();
        for (String policy : policies) {
            metricsByPolicy.put(
                    policy,
                    Replications.run(
                            seed ->
                                    troubles == 0
                                            ? scenario
                                            : RandomFaults.draw(scenario, troubles, seed),
                            policy,
                            first,
                            seeds,
                            threads));
        }
        List<RunMetrics> baseline = metricsByPolicy.get(policies.get(0));
        out().printf(
                        Locale.ROOT,
                        "%-8s %17s %22s %8s %8s %8s %8s %6s%n",
                        "policy",
                        "revenue",
                        "less than " + policies.get(0),
                        "worst",
                        "p50",
                        "p99",
                        "sent",
                        "broken");
        int violations = 0;
        for (Map.Entry<String, List<RunMetrics>> entry : metricsByPolicy.entrySet()) {
            List<RunMetrics> metrics = entry.getValue();
            Replications.Estimate revenue = estimate(metrics, RunMetrics::revenueShare);
            Replications.Estimate difference = Replications.revenueDifference(baseline, metrics);
            int policyViolations = metrics.stream().mapToInt(RunMetrics::violations).sum();
            violations +=
                    entry.getKey().equals(FleetSimulation.MODULE_POLICY) ? policyViolations : 0;
            out().printf(
                            Locale.ROOT,
                            "%-8s %8.4f +- %.4f %12.4f +- %.4f %8.4f %8.2f %8.1f %8.3f %6d%n",
                            entry.getKey(),
                            revenue.mean(),
                            revenue.halfWidth(),
                            difference.mean(),
                            difference.halfWidth(),
                            estimate(metrics, RunMetrics::worstTenSeconds).mean(),
                            estimate(metrics, m -> m.percentileMillis(50)).mean(),
                            estimate(metrics, m -> m.percentileMillis(99)).mean(),
                            estimate(metrics, RunMetrics::transmissionsPerPart).mean(),
                            policyViolations);
        }
        return violations == 0 ? EXIT_OK : EXIT_FAILURE;
    }

    @Command(
            name = "experiment",
            mixinStandardHelpOptions = true,
            description =
                    "Executes the missing runs of an experiment, and prints a line for each point"
                            + " and policy. An interrupted experiment continues at the next call.")
    int experiment(
            @Parameters(paramLabel = "EXPERIMENT.ini") Path file,
            @Option(
                            names = "--results",
                            paramLabel = "FILE.jsonl",
                            required = true,
                            description =
                                    "Rows are appended to it; runs that have a row are not"
                                            + " repeated.")
                    Path results,
            @Option(names = "--threads", defaultValue = "4") int threads,
            @Option(names = "--csv", description = "Prints comma-separated values.") boolean csv)
            throws IOException {
        IniFile plan = IniFile.read(file.toString());
        Path scenarioFile = file.resolveSibling(plan.section("experiment").text("day", "day.ini"));
        if (!Files.isReadable(scenarioFile)) {
            plan.fault("experiment", "day", scenarioFile + " can't be read");
        }
        Experiment.ReadResult result =
                Experiment.read(
                        plan, Files.isReadable(scenarioFile) ? Files.readString(scenarioFile) : "");
        if (result.experiment() == null) {
            result.faults().forEach(spec.commandLine().getErr()::println);
            return EXIT_FAILURE;
        }
        Experiment experiment = result.experiment();
        try (ResultsFile resultsFile = new ResultsFile(results)) {
            for (List<Experiment.Run> missing = experiment.missingRuns(resultsFile.revenue());
                    !missing.isEmpty();
                    missing = experiment.missingRuns(resultsFile.revenue())) {
                executeRuns(experiment, missing, resultsFile, threads);
            }
            return printTable(experiment, resultsFile, csv);
        }
    }

    /**
     * Executes runs and writes their rows in the order of the plan, whatever the number of threads.
     */
    private void executeRuns(
            Experiment experiment, List<Experiment.Run> missing, ResultsFile results, int threads)
            throws IOException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunMetrics>> running = new ArrayList<>();
            missing.forEach(run -> running.add(pool.submit(() -> experiment.execute(run))));
            long startedAtNanos = System.nanoTime();
            for (int i = 0; i < missing.size(); i++) {
                results.add(missing.get(i), running.get(i).get(), RESULTS_VERSION);
                double seconds = (System.nanoTime() - startedAtNanos) / 1e9;
                spec.commandLine()
                        .getErr()
                        .printf(
                                Locale.ROOT,
                                "%d of %d runs, %.0f s left%n",
                                i + 1,
                                missing.size(),
                                seconds / (i + 1) * (missing.size() - i - 1));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException failed) {
            throw new IllegalStateException(failed.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private int printTable(Experiment experiment, ResultsFile results, boolean csv) {
        String format = csv ? "%s,%s,%s,%s,%s,%s,%s,%s%n" : "%-28s %-8s %6s %9s %9s %9s %9s %7s%n";
        out().printf(format, "point", "policy", "seeds", "revenue", "+-", "p50", "p99", "broken");
        int violations = 0;
        for (Experiment.GridPoint point : experiment.points) {
            for (String policy : experiment.policies) {
                List<Double> revenue = new ArrayList<>();
                List<Double> medians = new ArrayList<>();
                List<Double> percentiles99 = new ArrayList<>();
                int policyViolations = 0;
                for (long seed = 1;
                        results.rows().containsKey(experiment.runFor(point, policy, seed).id());
                        seed++) {
                    JsonNode row = results.rows().get(experiment.runFor(point, policy, seed).id());
                    revenue.add(row.get("revenue").asDouble());
                    medians.add(row.get("p50_ms").asDouble());
                    percentiles99.add(row.get("p99_ms").asDouble());
                    policyViolations += row.get("rules_broken").asInt();
                }
                violations += policy.equals(FleetSimulation.MODULE_POLICY) ? policyViolations : 0;
                Replications.Estimate mean = Replications.Estimate.of(revenue);
                out().printf(
                                format,
                                csv ? point.toString().replace(",", ";") : point,
                                policy,
                                revenue.size(),
                                format(mean.mean(), 4),
                                format(mean.halfWidth(), 4),
                                format(Replications.Estimate.of(medians).mean(), 2),
                                format(Replications.Estimate.of(percentiles99).mean(), 1),
                                policyViolations);
            }
        }
        return violations == 0 ? EXIT_OK : EXIT_FAILURE;
    }

    private static String format(double value, int digits) {
        return Double.isInfinite(value)
                ? "-"
                : String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    private static Replications.Estimate estimate(
            List<RunMetrics> runs, java.util.function.ToDoubleFunction<RunMetrics> metric) {
        List<Double> values = new ArrayList<>();
        runs.forEach(run -> values.add(metric.applyAsDouble(run)));
        return Replications.Estimate.of(values);
    }

    @Command(
            name = "chaos",
            mixinStandardHelpOptions = true,
            description =
                    "Runs scenarios with random overlapping faults, reports rule violations, and"
                            + " shrinks the first scenario that has one.")
    int chaos(
            @Parameters(paramLabel = "DAY.ini") String file,
            @Option(names = "--days", defaultValue = "20") int days,
            @Option(names = "--first", defaultValue = "1") long first,
            @Option(names = "--troubles", defaultValue = "3") int troubles,
            @Option(names = "--threads", defaultValue = "4") int threads) {
        Scenario base = readScenario(file);
        if (base == null) {
            return EXIT_FAILURE;
        }
        List<RunMetrics> runs =
                Replications.run(
                        seed -> RandomFaults.draw(base, troubles, seed),
                        FleetSimulation.MODULE_POLICY,
                        first,
                        days,
                        threads);
        int violatingRuns = 0;
        double lowestRevenue = 1;
        long worstSeed = first;
        for (int i = 0; i < days; i++) {
            RunMetrics metrics = runs.get(i);
            if (metrics.revenueShare() < lowestRevenue) {
                lowestRevenue = metrics.revenueShare();
                worstSeed = first + i;
            }
            if (metrics.violations() == 0) {
                continue;
            }
            violatingRuns++;
            long seed = first + i;
            out().println("seed " + seed + ": " + metrics.violationMessages().get(0));
            if (violatingRuns == 1) {
                Scenario smallest =
                        RandomFaults.shrink(
                                RandomFaults.draw(base, troubles, seed),
                                candidate ->
                                        new FleetSimulation(
                                                                candidate,
                                                                FleetSimulation.MODULE_POLICY,
                                                                seed)
                                                        .run()
                                                        .violations()
                                                > 0,
                                MAX_SHRINK_RUNS);
                out().println("the smallest day that still shows it, with --seed " + seed + ":");
                RandomFaults.toIni(smallest).forEach(out()::println);
            }
        }
        out().printf(
                        Locale.ROOT,
                        "%d days, %d with a broken rule; revenue %.4f in the mean, least %.4f (seed"
                                + " %d)%n",
                        days,
                        violatingRuns,
                        estimate(runs, RunMetrics::revenueShare).mean(),
                        lowestRevenue,
                        worstSeed);
        return violatingRuns == 0 ? EXIT_OK : EXIT_FAILURE;
    }
}
