package gladewing.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws scenarios with random overlapping faults, and shrinks a scenario to a smaller one that
 * still has the same property, such as a rule violation.
 */
final class RandomFaults {
    private RandomFaults() {}

    /**
     * Returns the scenario with random faults in place of its own. Each fault has any kind, starts
     * in the first 60 % of the run and affects up to half of the fleet.
     */
    static Scenario draw(Scenario base, int count, long seed) {
        UniformRandomProvider random = DurationDistribution.stream(seed, "troubles");
        List<Scenario.InjectedFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int nodes = 1 + random.nextInt(Math.max(1, base.nodes() / 2));
            faults.add(
                    new Scenario.InjectedFault(
                            Scenario.FAULT_KINDS.get(random.nextInt(Scenario.FAULT_KINDS.size())),
                            (long) (random.nextDouble() * 0.6 * base.duration()),
                            (long) ((0.05 + 0.35 * random.nextDouble()) * base.duration()),
                            random.nextInt(base.nodes() - nodes + 1),
                            nodes,
                            1.5 + 10 * random.nextDouble()));
        }
        return base.withFaults(faults);
    }

    /** Tells whether a scenario has the property that is searched for. */
    interface FailureCondition {
        boolean holds(Scenario scenario);
    }

    /**
     * Removes faults, halves their numbers of nodes and halves their durations, as long as the
     * scenario still meets the condition. Tries at most the given number of scenarios.
     */
    static Scenario shrink(Scenario scenario, FailureCondition condition, int maxRuns) {
        Scenario smallest = scenario;
        int runs = 0;
        boolean isShrinking = true;
        while (isShrinking) {
            isShrinking = false;
            for (Scenario candidate : shrinkSteps(smallest)) {
                if (runs++ >= maxRuns) {
                    return smallest;
                }
                if (condition.holds(candidate)) {
                    smallest = candidate;
                    isShrinking = true;
                    break;
                }
            }
        }
        return smallest;
    }

    private static List<Scenario> shrinkSteps(Scenario scenario) {
        List<Scenario> steps = new ArrayList<>();
        for (int i = 0; i < scenario.faults().size(); i++) {
            steps.add(scenario.withFaults(withFaultReplaced(scenario.faults(), i, null)));
        }
        for (int i = 0; i < scenario.faults().size(); i++) {
            Scenario.InjectedFault fault = scenario.faults().get(i);
            if (fault.nodeCount() > 1) {
                steps.add(
                        scenario.withFaults(
                                withFaultReplaced(
                                        scenario.faults(),
                                        i,
                                        new Scenario.InjectedFault(
                                                fault.kind(),
                                                fault.at(),
                                                fault.duration(),
                                                fault.firstNode(),
                                                fault.nodeCount() / 2,
                                                fault.factor()))));
            }
            if (fault.duration() > 200_000) {
                steps.add(
                        scenario.withFaults(
                                withFaultReplaced(
                                        scenario.faults(),
                                        i,
                                        new Scenario.InjectedFault(
                                                fault.kind(),
                                                fault.at(),
                                                fault.duration() / 2,
                                                fault.firstNode(),
                                                fault.nodeCount(),
                                                fault.factor()))));
            }
        }
        return steps;
    }

    /** Returns the faults with the given one replaced, or removed if the replacement is null. */
    private static List<Scenario.InjectedFault> withFaultReplaced(
            List<Scenario.InjectedFault> faults, int index, Scenario.InjectedFault replacement) {
        List<Scenario.InjectedFault> changed = new ArrayList<>(faults);
        if (replacement == null) {
            changed.remove(index);
        } else {
            changed.set(index, replacement);
        }
        return changed;
    }

    /** Writes the faults as sections of a scenario file. */
    static List<String> toIni(Scenario scenario) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < scenario.faults().size(); i++) {
            Scenario.InjectedFault fault = scenario.faults().get(i);
            lines.add("[trouble " + (i + 1) + "]");
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "kind = %s%nat = %dms%nfor = %dms%nfirst = %d%nnodes = %d%nfactor ="
                                    + " %.2f",
                            fault.kind(),
                            fault.at() / 1000,
                            fault.duration() / 1000,
                            fault.firstNode(),
                            fault.nodeCount(),
                            fault.factor()));
        }
        return lines;
    }
}
