package gladewing.routes;

import gladewing.expr.CompiledExpression;
import gladewing.expr.RecordView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A validated table of routes. The first acting route that matches a request wins. An observing
 * route that would have won is only counted, and the search continues. A condition without a value
 * does not match. Not thread-safe.
 */
public final class RouteTable {
    private final List<Route> routes;
    private final Set<Integer> shards;
    private final RouteTree root;
    private final CompiledExpression.Frame frame;
    private final RoutingDecision decision = new RoutingDecision();

    /** Only routes before this index can still win. */
    private int limit;

    /** Index of the first observing route that matched, or the number of routes. */
    private int observed;

    RouteTable(List<Route> routes, int slots, Set<Integer> shards) {
        this.routes = List.copyOf(routes);
        this.shards = Set.copyOf(shards);
        root = RouteTree.of(this.routes);
        frame = new CompiledExpression.Frame(slots);
    }

    public List<Route> routes() {
        return routes;
    }

    /** The numbers of the shards that conditions and acting routes name. */
    public Set<Integer> shards() {
        return shards;
    }

    /**
     * By route name, the indexes of the products that its multigets may be served as. Products that
     * the condition can be shown to exclude are left out.
     */
    public Map<String, Set<Integer>> servedProducts(RouteValidationContext site) {
        Map<String, Set<Integer>> served = new LinkedHashMap<>();
        for (Route route : routes) {
            Set<Integer> products = new TreeSet<>();
            for (int requested = 0; requested < site.products().size(); requested++) {
                if (ProductGuaranteeCheck.mayMatch(route.when, site.products().get(requested))) {
                    products.add(route.productIndex >= 0 ? route.productIndex : requested);
                }
            }
            served.put(route.name, products);
        }
        return served;
    }

    /** The most steps that routing any one request can take. */
    public long maxSteps() {
        return root.maxSteps();
    }

    /**
     * Routes one request, which is counted and uses up rate limits. Each request must be routed
     * only once.
     */
    public RoutingDecision route(RecordView request, long nowMicros) {
        search(request, true);
        decision.isDismissed = false;
        decision.hasKey = false;
        decision.retryAfterMicros = 0;
        if (decision.observed != null) {
            apply(decision.observed, request, nowMicros);
        }
        Route won = decision.route;
        if (won != null) {
            long wait = apply(won, request, nowMicros);
            decision.isDismissed = wait >= 0;
            decision.retryAfterMicros = Math.max(0, wait);
        }
        return decision;
    }

    /** Finds the routes that would win, without counting or using up rate limits. */
    public RoutingDecision match(RecordView request) {
        search(request, false);
        return decision;
    }

    /**
     * Does the same as {@link #match} by evaluating one route after the other; a reference for
     * tests and benchmarks.
     */
    public RoutingDecision matchSequentially(RecordView request) {
        begin(request);
        for (int i = 0; i < routes.size() && i < limit; i++) {
            evaluate(i, false);
        }
        return end();
    }

    private void search(RecordView request, boolean updatesCounters) {
        begin(request);
        root.search(this, request, updatesCounters);
        end();
    }

    private void begin(RecordView request) {
        frame.reset(request);
        limit = routes.size();
        observed = routes.size();
    }

    private RoutingDecision end() {
        frame.reset(null);
        decision.route = limit < routes.size() ? routes.get(limit) : null;
        decision.observed = observed < limit ? routes.get(observed) : null;
        return decision;
    }

    /** The index from which on routes can't win any more. */
    int limit() {
        return limit;
    }

    /** Evaluates one route for the request of the current search. */
    void evaluate(int index, boolean updatesCounters) {
        Route route = routes.get(index);
        if (route.observes && index > observed) {
            return;
        }
        int matches = route.condition.evaluate(frame);
        if (matches == CompiledExpression.TRUE && route.keyCode != null) {
            route.keyCode.evaluate(frame);
            matches = frame.hasNoValue() ? CompiledExpression.NONE : matches;
            frame.reset(request());
        }
        if (matches == CompiledExpression.NONE && updatesCounters) {
            route.noValueCount++;
        }
        if (matches == CompiledExpression.TRUE) {
            observed = route.observes ? index : observed;
            limit = route.observes ? limit : index;
        }
    }

    private RecordView request() {
        return frame.request();
    }

    /**
     * Counts a match and applies the route's limit.
     *
     * @return how long a request that is turned away should wait, in microseconds; else -1
     */
    private long apply(Route won, RecordView request, long nowMicros) {
        won.matchCount++;
        long key = 0;
        if (won.keyCode != null) {
            key = won.keyCode.evaluate(frame.reset(request));
            frame.reset(null);
            decision.hasKey |= !won.observes;
            decision.key = won.observes ? decision.key : key;
        }
        long wait =
                won.turnAwayMicros >= 0
                        ? won.turnAwayMicros
                        : won.limit == null ? -1 : won.limit.tryAcquire(key, nowMicros);
        boolean isDismissed = won.turnAwayMicros >= 0 || wait > 0;
        won.rejectedCount += isDismissed ? 1 : 0;
        return isDismissed ? wait : -1;
    }

    /** Takes over the rate limiters of the previous table whose settings are unchanged. */
    public void carryOverLimits(RouteTable previous) {
        // All acting routes that name a limit share it, and so do all observing ones.
        Map<String, KeyedRateLimiter> acting = new HashMap<>();
        Map<String, KeyedRateLimiter> observing = new HashMap<>();
        for (Route route : previous.routes) {
            if (route.limit != null) {
                (route.observes ? observing : acting).putIfAbsent(route.limitName, route.limit);
            }
        }
        for (Route route : routes) {
            KeyedRateLimiter earlier =
                    route.limit == null
                            ? null
                            : (route.observes ? observing : acting).get(route.limitName);
            if (earlier != null && route.limit.hasSameSettings(earlier)) {
                route.limit = earlier;
            }
        }
    }

    /** One line with the counts of each route that has any, in the order of the table. */
    public List<String> counterLines() {
        List<String> lines = new ArrayList<>();
        for (Route route : routes) {
            if (route.matchCount + route.noValueCount > 0) {
                String prefix = route.observes ? "would have " : "";
                StringBuilder line = new StringBuilder("route " + route.name + ": ");
                line.append(prefix)
                        .append(route.observes ? "taken " : "took ")
                        .append(route.matchCount);
                if (route.rejectedCount > 0) {
                    line.append(", ")
                            .append(prefix)
                            .append("turned away ")
                            .append(route.rejectedCount);
                }
                if (route.noValueCount > 0) {
                    line.append(", no value ").append(route.noValueCount);
                }
                if (route.limit != null && route.limit.evictedKeys() > 0) {
                    line.append(", keys forgotten ").append(route.limit.evictedKeys());
                }
                lines.add(line.toString());
            }
        }
        return lines;
    }
}
