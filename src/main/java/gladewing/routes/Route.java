package gladewing.routes;

import gladewing.expr.CompiledExpression;
import gladewing.expr.Expression;

/** One route of a table: the requests that it matches, and what is done with them. */
public final class Route {
    public final String name;

    /** Whether matches are only counted and change nothing. */
    public final boolean observes;

    public final Expression when;

    /** Key of a request for the rate limit, or null if the route has none. */
    public final Expression key;

    /** The product to serve requests as, or null to keep the requested one. */
    public final String product;

    /** -1 if the product is not replaced, or no site was given. */
    final int productIndex;

    /** The tenant to serve requests for, or null to keep the requested one. */
    public final String tenant;

    /** -1 if the tenant is not replaced, or no site was given. */
    final int tenantIndex;

    /** Name of the rate limit, or null if the route has none. */
    public final String limitName;

    /**
     * Wait given to a request that is turned away, in microseconds; negative if the route turns
     * none away.
     */
    public final long turnAwayMicros;

    /**
     * Shared by all acting routes that name it, or by all observing ones; null if the route has
     * none.
     */
    KeyedRateLimiter limit;

    final CompiledExpression.BoolCode condition;
    final CompiledExpression.IntCode keyCode;
    long matchCount;
    long rejectedCount;

    /** How often the condition or key had no value. */
    long noValueCount;

    Route(
            String name,
            boolean observes,
            Expression when,
            Expression key,
            String product,
            int productIndex,
            String tenant,
            int tenantIndex,
            String limitName,
            KeyedRateLimiter limit,
            long turnAwayMicros) {
        this.name = name;
        this.observes = observes;
        this.when = when;
        this.key = key;
        this.product = product;
        this.productIndex = productIndex;
        this.tenant = tenant;
        this.tenantIndex = tenantIndex;
        this.limitName = limitName;
        this.limit = limit;
        this.turnAwayMicros = turnAwayMicros;
        condition = when.compileBool();
        keyCode = key == null ? null : key.compileKey();
    }

    /** The most steps that evaluating the route for one request can take. */
    public long maxSteps() {
        return when.cost() + (key == null ? 0 : key.cost());
    }

    public long matchCount() {
        return matchCount;
    }

    public long rejectedCount() {
        return rejectedCount;
    }

    public long noValueCount() {
        return noValueCount;
    }
}
