package gladewing.attempts;

import gladewing.router.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Upper bound on the retries that all routers together send within a time window when every node is
 * slow at once. It is linear in the load: one term is proportional to the rate of first
 * transmissions, the other is what the floors of the retry budgets permit at any load. Since the
 * load may be any mix of rows, the row with the most retries is assumed for all of it.
 */
final class RetryLoadBound {
    /** Retries within the window for each first transmission per second. */
    final double retriesPerRate;

    /** Retries within the window that budget floors permit at any load. */
    final double floorRetries;

    /** The row that adds the most retries, or null if none is sent. */
    final AttemptsRow worst;

    RetryLoadBound(List<AttemptsRow> rows, AttemptsRow all, Settings settings, double seconds) {
        double most = 0;
        double floor = 0;
        AttemptsRow worstRow = null;
        Set<String> budgets = new HashSet<>();
        for (AttemptsRow row : rows) {
            int retriesPerPart = row.retriesBySlowness();
            if (retriesPerPart == 0) {
                continue;
            }
            // A first transmission up to one time limit before the window can be retried in it.
            double retries =
                    retriesPerPart * (seconds + row.productSettings.timeLimit().millis() / 1000);
            if (row.budget() != null) {
                double windows = budgetWindows(row, seconds);
                retries = Math.min(retries, windows * row.budget() * budgetSpanSeconds(row));
                if (budgets.add(budgetOwner(row))) {
                    floor += windows * settings.routers() * row.number(AttemptsKey.FLOOR);
                }
            }
            if (worstRow == null || retries > most) {
                most = retries;
                worstRow = row;
            }
        }
        if (all.budget() != null) {
            double windows = budgetWindows(all, seconds);
            double capped = windows * all.budget() * budgetSpanSeconds(all);
            // A row may still use its own floor when the shared budget is used up.
            if (capped < most) {
                most = capped;
                floor += windows * settings.routers() * all.number(AttemptsKey.FLOOR);
            }
        }
        retriesPerRate = most;
        floorRetries = floor;
        worst = worstRow;
    }

    /** The bound for a rate of first transmissions per second. */
    double at(double firstPerSecond) {
        return retriesPerRate * firstPerSecond + floorRetries;
    }

    /**
     * Identifies the budget of a row. Rows share a budget that is configured for their route, or
     * else for their product.
     */
    static String budgetOwner(AttemptsRow row) {
        String section = row.value(AttemptsKey.BUDGET).section();
        return section.startsWith("route ") ? section : "product " + row.product;
    }

    private static double budgetSpanSeconds(AttemptsRow row) {
        return row.span(AttemptsKey.BUDGET_SPAN).millis() / 1000;
    }

    /** How many budget windows are needed to cover the seconds. */
    private static double budgetWindows(AttemptsRow row, double seconds) {
        return Math.ceil(seconds / budgetSpanSeconds(row) - 1e-9);
    }
}
