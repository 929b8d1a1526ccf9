package gladewing.model;

import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import gladewing.settings.Section;
import gladewing.versions.SigningKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A plan of simulation runs: a scenario, a grid of parameter values, the policies to compare and
 * the seeds. All policies use the same seeds, so that their results can be compared in pairs. If a
 * target half-width is given, seeds are added until the confidence interval of the mean revenue of
 * each grid point and policy is narrow enough, or the maximum number of seeds is reached.
 */
final class Experiment {
    private static final int MAX_GRID_POINTS = 10_000;

    /**
     * A point of the parameter grid: the values set there, by SECTION.KEY, and the resulting
     * scenario.
     */
    record GridPoint(Map<String, String> overrides, String scenarioText, Scenario scenario) {
        @Override
        public String toString() {
            return overrides.isEmpty() ? "as stated" : overrides.toString().replaceAll("[{}]", "");
        }
    }

    /**
     * One simulation run. The id is a hash of everything that determines the results, so that no
     * run is repeated.
     */
    record Run(GridPoint point, String policy, long seed, String id) {}

    final List<GridPoint> points = new ArrayList<>();
    final List<String> policies = new ArrayList<>();
    private final int faultCount;
    private final int minSeeds;
    private final int maxSeeds;
    private final double targetHalfWidth;

    private Experiment(int faultCount, int minSeeds, int maxSeeds, double targetHalfWidth) {
        this.faultCount = faultCount;
        this.minSeeds = minSeeds;
        this.maxSeeds = maxSeeds;
        this.targetHalfWidth = targetHalfWidth;
    }

    /** The result of reading a plan. The experiment is null if there are faults. */
    record ReadResult(Experiment experiment, List<Fault> faults) {}

    /**
     * Reads a plan.
     *
     * @param scenarioText the content of the scenario file that the plan names
     */
    static ReadResult read(IniFile file, String scenarioText) {
        Section section = file.section("experiment");
        section.only("day", "policies", "seeds", "most-seeds", "width", "troubles");
        int seeds = (int) section.whole("seeds", 3, 1, 100_000);
        int maxSeeds = (int) section.whole("most-seeds", seeds, seeds, 100_000);
        Experiment experiment =
                new Experiment(
                        (int) section.whole("troubles", 0, 0, 100),
                        seeds,
                        maxSeeds,
                        section.number("width", 0, 0, 1));
        for (String policy : section.text("policies", "module, least").split(",")) {
            if (!policy.strip().equals(FleetSimulation.MODULE_POLICY)
                    && !BaselineRouter.POLICIES.contains(policy.strip())) {
                section.fault(
                        "policies",
                        "there is no policy "
                                + policy.strip()
                                + ", wanted: module, "
                                + String.join(", ", BaselineRouter.POLICIES));
            }
            experiment.policies.add(policy.strip());
        }
        List<Map<String, String>> grid = new ArrayList<>(List.of(Map.of()));
        Section vary = file.section("vary");
        for (String key : vary.keys()) {
            List<Map<String, String>> extended = new ArrayList<>();
            for (Map<String, String> point : grid) {
                for (String value : vary.text(key).split(",")) {
                    Map<String, String> next = new LinkedHashMap<>(point);
                    next.put(key, value.strip());
                    extended.add(next);
                }
            }
            grid = extended;
            if (key.lastIndexOf('.') <= 0) {
                vary.fault(
                        key,
                        "wanted: SECTION.KEY = VALUE, VALUE, ..., such as fleet.nodes = 10, 50");
            }
            if (grid.size() > MAX_GRID_POINTS) {
                vary.fault("", grid.size() + " points, wanted: at most " + MAX_GRID_POINTS);
                break;
            }
        }
        for (Section other : file.sections()) {
            if (!other.name.equals("experiment") && !other.name.equals("vary")) {
                other.fault("", "no such section, wanted: [experiment] or [vary]");
            }
        }
        List<Fault> faults = new ArrayList<>(file.faults());
        for (Map<String, String> overrides :
                faults.isEmpty() ? grid : List.<Map<String, String>>of()) {
            String text = scenarioText;
            for (Map.Entry<String, String> override : overrides.entrySet()) {
                int dot = override.getKey().lastIndexOf('.');
                text =
                        withValue(
                                text,
                                override.getKey().substring(0, dot),
                                override.getKey().substring(dot + 1),
                                override.getValue());
            }
            IniFile variant =
                    IniFile.of(overrides.isEmpty() ? "day" : "day with " + overrides, text);
            Scenario scenario = Scenario.read(variant);
            faults.addAll(variant.faults());
            experiment.points.add(new GridPoint(overrides, text, scenario));
        }
        return new ReadResult(faults.isEmpty() ? experiment : null, faults);
    }

    /**
     * Returns the INI text with a key of a section set. Adds the key or the section if it is
     * missing.
     */
    static String withValue(String text, String section, String key, String value) {
        StringBuilder result = new StringBuilder();
        boolean isInSection = false;
        boolean isSet = false;
        for (String line : text.split("\n", -1)) {
            String stripped = line.strip();
            if (stripped.startsWith("[")) {
                isInSection = stripped.equals("[" + section + "]");
            }
            if (isInSection && !isSet && stripped.matches("\\Q" + key + "\\E\\s*=.*")) {
                line = key + " = " + value;
                isSet = true;
            }
            result.append(line).append('\n');
        }
        if (isSet) {
            return result.toString();
        }
        String header = "[" + section + "]\n";
        int at = result.indexOf(header);
        return at < 0
                ? result + header + key + " = " + value + "\n"
                : result.insert(at + header.length(), key + " = " + value + "\n").toString();
    }

    /**
     * Returns the runs to execute next, or an empty list if the experiment is complete.
     *
     * @param revenue the revenue share of each completed run, by run id
     */
    List<Run> missingRuns(Map<String, Double> revenue) {
        List<Run> missing = new ArrayList<>();
        for (GridPoint point : points) {
            int seeds = minSeeds;
            for (String policy : policies) {
                seeds = Math.max(seeds, seedsNeeded(point, policy, revenue));
            }
            // All policies use the same seeds, because a paired comparison needs both runs of a
            // seed.
            for (String policy : policies) {
                for (long seed = 1; seed <= seeds; seed++) {
                    Run run = runFor(point, policy, seed);
                    if (!revenue.containsKey(run.id)) {
                        missing.add(run);
                    }
                }
            }
        }
        return missing;
    }

    /**
     * Returns the number of seeds needed: twice the number of completed ones while the confidence
     * interval is too wide, within the minimum and the maximum of the plan.
     */
    private int seedsNeeded(GridPoint point, String policy, Map<String, Double> revenue) {
        List<Double> completed = new ArrayList<>();
        for (long seed = 1;
                seed <= maxSeeds && revenue.containsKey(runFor(point, policy, seed).id);
                seed++) {
            completed.add(revenue.get(runFor(point, policy, seed).id));
        }
        if (targetHalfWidth <= 0
                || completed.size() < minSeeds
                || Replications.Estimate.of(completed).halfWidth() <= targetHalfWidth) {
            return Math.min(maxSeeds, Math.max(minSeeds, completed.size()));
        }
        return Math.min(maxSeeds, 2 * completed.size());
    }

    Run runFor(GridPoint point, String policy, long seed) {
        String identity =
                point.scenarioText
                        + "\npolicy "
                        + policy
                        + "\nseed "
                        + seed
                        + "\ntroubles "
                        + faultCount;
        return new Run(point, policy, seed, SigningKeys.digest(identity).substring(0, 16));
    }

    RunMetrics execute(Run run) {
        Scenario scenario =
                faultCount == 0
                        ? run.point.scenario
                        : RandomFaults.draw(run.point.scenario, faultCount, run.seed);
        return new FleetSimulation(scenario, run.policy, run.seed).run();
    }
}
