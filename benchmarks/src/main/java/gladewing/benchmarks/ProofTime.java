package gladewing.benchmarks;

import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.settings.IniFile;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * How long a file of rows takes to be read and proved, by its routes, and what share of random rows
 * is safe.
 */
public final class ProofTime {
    private ProofTime() {}

    public static void main(String[] args) {
        Settings.Product product =
                new Settings.Product(
                        Span.ofMillis(1000),
                        0,
                        Span.ofMillis(5000),
                        1,
                        0.3,
                        Settings.Effect.REPEATABLE,
                        Span.ZERO,
                        1,
                        1,
                        0);
        Settings settings =
                new Settings(
                        4,
                        Span.ofMillis(5),
                        new Settings.Rules(
                                Span.ZERO,
                                0.2,
                                Span.ofMillis(10_000),
                                2.5,
                                Span.ofMillis(1500),
                                Span.ZERO,
                                0,
                                0),
                        new Settings.Permissions(false, true, true, 3, 200, Span.ZERO),
                        new Settings.Shards(10, 2),
                        List.of(product),
                        List.of(),
                        false,
                        false,
                        1,
                        0);
        for (int routes : new int[] {1, 10, 100, 1000, 4000}) {
            Map<String, Set<Integer>> known = new LinkedHashMap<>();
            StringBuilder text =
                    new StringBuilder(
                            "[fleet]\nparts = 1000\ncapacity = 100\n[all]\nbudget "
                                    + "= 0.02\n"
                                    + "budget-floor = 0\nbudget-span = 1500ms\n");
            for (int i = 0; i < routes; i++) {
                known.put("r" + i, Set.of(0));
                text.append("[route r")
                        .append(i)
                        .append("]\ntime-out = 3 usual, at most ")
                        .append(100 + i % 700)
                        .append("ms\nwait = 20ms\nbudget = 0.01\nbudget-floor = 0\n");
            }
            AttemptsValidationContext site =
                    new AttemptsValidationContext(
                            List.of("report"), settings, Span.ofMillis(100), known);
            double best = Double.MAX_VALUE;
            for (int round = 0; round < 9; round++) {
                long from = System.nanoTime();
                if (AttemptsFile.check(IniFile.of("rows", text.toString()), site).attempts()
                        == null) {
                    throw new IllegalStateException("not safe");
                }
                best = Math.min(best, (System.nanoTime() - from) / 1e6);
            }
            System.out.printf(Locale.ROOT, "%5d routes: %.1f ms%n", routes, best);
        }
        Random random = new Random(3);
        int safe = 0;
        int rounds = 20_000;
        AttemptsValidationContext site =
                new AttemptsValidationContext(
                        List.of("report"), settings, Span.ofMillis(100), null);
        for (int i = 0; i < rounds; i++) {
            String text =
                    "[fleet]\nparts = 1000\ncapacity = 100\n[product report]\ntime-out = "
                            + (50 + random.nextInt(3000))
                            + "ms\ntransmissions = "
                            + (2 + random.nextInt(2))
                            + "\nwait = "
                            + random.nextInt(500)
                            + "ms\njitter = "
                            + random.nextInt(9) / 10.0
                            + "\nbudget = "
                            + random.nextInt(30) / 100.0
                            + "\nbudget-span = "
                            + (1 + random.nextInt(5))
                            + "s\n";
            safe += AttemptsFile.check(IniFile.of("rows", text), site).attempts() != null ? 1 : 0;
        }
        System.out.printf(
                Locale.ROOT,
                "of %d random rows %.1f %% are safe, the others refused%n",
                rounds,
                100.0 * safe / rounds);
    }
}
