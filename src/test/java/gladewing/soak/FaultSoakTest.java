package gladewing.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs small fleets of real processes under faults that overlap in time. Guards against requests
 * that are lost, parts that run twice or are sent too late, wrong answers, and routers that crash
 * or do not come back. Set with -Dsoak.first (a seed), -Dsoak.seeds (how many), -Dsoak.parallel,
 * and -Dsoak.discoveryDelay (milliseconds that discovery takes for each answer).
 */
class FaultSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 2);
    private static final int PARALLEL = Integer.getInteger("soak.parallel", 1);
    private static final int MAX_SHOWN = 12;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @Test
    void keepsTheRulesWhileFaultsOverlap() throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(PARALLEL);
        Map<Integer, Future<List<String>>> results = new TreeMap<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            results.put(seed, runs.submit(run(seed)));
        }
        List<String> broken = new ArrayList<>();
        for (Map.Entry<Integer, Future<List<String>>> result : results.entrySet()) {
            List<String> violations = result.getValue().get();
            if (!violations.isEmpty()) {
                broken.add("seed " + result.getKey() + ": " + violations.size() + " violations");
                violations.stream().limit(MAX_SHOWN).forEach(broken::add);
            }
        }
        runs.shutdown();
        assertEquals("", String.join("\n", broken));
    }

    private Callable<List<String>> run(int seed) {
        return () -> {
            Path runFolder = Files.createDirectories(folder.resolve("seed-" + seed));
            List<String> violations = new SoakRun(seed, runFolder).run();
            System.out.println("soak seed " + seed + ": " + violations.size() + " violations");
            violations.stream().limit(MAX_SHOWN).forEach(System.out::println);
            return violations;
        };
    }
}
