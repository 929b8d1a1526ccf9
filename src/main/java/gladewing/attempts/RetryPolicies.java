package gladewing.attempts;

import gladewing.router.RetryBudget;
import gladewing.router.RetryPolicy;
import gladewing.router.Time;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The retry policies that an attempts file configures, by product and by route. */
public final class RetryPolicies {
    private final RetryPolicy[] byProduct;
    private final Map<String, RetryPolicy[]> byRoute = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryPolicies(AttemptsValidationContext site, List<AttemptsRow> rows, AttemptsRow all) {
        int products = site.products().size();
        byProduct = new RetryPolicy[products];
        RetryBudget sharedBudget = all.budget() == null ? null : budget("all", all);
        for (AttemptsRow row : rows) {
            RetryPolicy policy =
                    new RetryPolicy(
                            row.transmissions(),
                            row.timeOut(),
                            row.number(AttemptsKey.SPLIT),
                            row.span(AttemptsKey.WAIT),
                            row.number(AttemptsKey.GROWTH),
                            row.span(AttemptsKey.WAIT_MOST),
                            row.number(AttemptsKey.JITTER),
                            row.hedgeAfter(),
                            row.minTimeLeft(),
                            row.number(AttemptsKey.LEAST_SHARE),
                            row.budget() == null
                                    ? null
                                    : budget(RetryLoadBound.budgetOwner(row), row),
                            sharedBudget);
            if (row.route == null) {
                byProduct[row.productIndex] = policy;
            } else {
                byRoute.computeIfAbsent(row.route, r -> new RetryPolicy[products])[
                                row.productIndex] =
                        policy;
            }
        }
    }

    private RetryBudget budget(String owner, AttemptsRow row) {
        return budgets.computeIfAbsent(
                owner,
                o ->
                        new RetryBudget(
                                row.span(AttemptsKey.BUDGET_SPAN),
                                row.budget(),
                                row.number(AttemptsKey.FLOOR)));
    }

    /**
     * The policy of the route for the product, if it has one, else the policy of the product.
     *
     * @param route name of the route that matched the multiget, or null
     */
    public RetryPolicy policyFor(int product, String route) {
        RetryPolicy[] routed = route == null ? null : byRoute.get(route);
        return routed == null || routed[product] == null ? byProduct[product] : routed[product];
    }

    /**
     * Takes over the counts of the retry budgets from the previous policies, so that reloading a
     * file does not renew a budget. Multigets in flight keep the policy that they began with.
     */
    public void carryOverBudgets(RetryPolicies previous, Time now) {
        budgets.forEach(
                (owner, budget) -> {
                    RetryBudget earlier = previous.budgets.get(owner);
                    if (earlier != null) {
                        budget.carryOver(earlier, now);
                    }
                });
    }

    /** Retries within each budget's current window: one line per budget, sorted by name. */
    public List<String> retriesByBudget(Time now) {
        return budgets.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(e -> e.getKey() + ": " + Math.round(e.getValue().retriesUsed(now)))
                .toList();
    }
}
