package gladewing.routes;

/** The result of routing one request. The table reuses the object for its next request. */
public final class RoutingDecision {
    /** The acting route that matched, or null; then the request is served as the client asked. */
    Route route;

    /**
     * The observing route that would have matched first if it acted, or null if there is none
     * before the acting route.
     */
    Route observed;

    boolean isDismissed;
    long retryAfterMicros;
    boolean hasKey;
    long key;

    public Route route() {
        return route;
    }

    public Route observed() {
        return observed;
    }

    /**
     * Whether the request is turned away. Nothing of it has been sent then, so a retry by the
     * client is safe.
     */
    public boolean isDismissed() {
        return isDismissed;
    }

    /**
     * How long the client should wait before it retries, in microseconds; only for a dismissed
     * request.
     */
    public long retryAfterMicros() {
        return retryAfterMicros;
    }

    /** The index of the product to serve the request as, given the requested one. */
    public int servedProduct(int requested) {
        return route == null || route.product == null ? requested : route.productIndex;
    }

    /** The index of the tenant to serve the request for, given the requested one. */
    public int servedTenant(int requested) {
        return route == null || route.tenant == null ? requested : route.tenantIndex;
    }

    /** Whether the route computed a key for the request. */
    public boolean hasKey() {
        return hasKey;
    }

    public long key() {
        return key;
    }
}
