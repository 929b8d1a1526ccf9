package gladewing.clients;

import gladewing.router.RetryPolicy;

/** Finds the settings by which the parts of a multiget are sent again. */
public interface RetryPolicyLookup {
    /**
     * @param product index of the product that the multiget is served as, which a route may have
     *     changed
     * @param route name of the route that matched, or null if none did
     * @return null if neither the route nor the product has settings of its own
     */
    RetryPolicy retryPolicyFor(int product, String route);
}
