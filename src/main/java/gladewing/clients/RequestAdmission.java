package gladewing.clients;

import gladewing.router.RetryPolicy;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.routes.RouteTable;
import gladewing.routes.RoutingDecision;
import java.util.List;

/**
 * Turns requests away that no part may be sent for, by the routes, the memory and the products that
 * are closed, and says by which product, tenant and settings the others are served.
 */
final class RequestAdmission {
    /**
     * What becomes of a request.
     *
     * @param refusalStatus the HTTP status that it is refused with; 0 if it is admitted
     * @param refusalHeaders header lines of the refusal, each ended by CRLF
     * @param product index of the product that it is served as
     * @param tenant index of the tenant that it counts for
     * @param retryPolicy settings for sending its parts again, or null
     */
    record Admission(
            int refusalStatus,
            String refusalHeaders,
            int product,
            int tenant,
            RetryPolicy retryPolicy) {
        private static Admission refused(int status, String headers) {
            return new Admission(status, headers, 0, 0, null);
        }

        boolean isRefused() {
            return refusalStatus != 0;
        }
    }

    private final MultigetListener listener;

    /** Null without routes, so that no class of the routes package is loaded. */
    private RouteLookup routes;

    /** Null if there are no settings for sending parts again. */
    private RetryPolicyLookup retryPolicies;

    /** Indices of the products that take no more multigets. */
    private List<Integer> closedProducts = List.of();

    RequestAdmission(MultigetListener listener) {
        this.listener = listener;
    }

    /** Routes requests by this table from now on, or routes none if it is null. */
    void setRoutes(RouteTable table) {
        routes = table == null ? null : new RouteLookup(table, routes);
    }

    void setRetryPolicies(RetryPolicyLookup lookup) {
        retryPolicies = lookup;
    }

    /**
     * Refuses requests for these products from now on.
     *
     * @param products indices in the configuration
     */
    void setClosedProducts(List<Integer> products) {
        closedProducts = products;
    }

    /** Decides on the request that was read last, with the time that its client has left. */
    Admission admit(RequestReader reader, Span timeLeft, Time now) {
        RoutingDecision decision = routes == null ? null : routes.route(reader, timeLeft, now);
        if (decision != null && decision.isDismissed()) {
            Span wait = new Span(decision.retryAfterMicros());
            return Admission.refused(Responses.TOO_MANY, Responses.retryAfter(wait));
        }
        if (!listener.mayAccept(reader.textSize())) {
            return Admission.refused(Responses.UNAVAILABLE, "");
        }
        int product =
                decision == null ? reader.product() : decision.servedProduct(reader.product());
        if (closedProducts.contains(product)) {
            return Admission.refused(Responses.UNAVAILABLE, "");
        }
        int tenant = decision == null ? reader.tenant() : decision.servedTenant(reader.tenant());
        return new Admission(0, "", product, tenant, retryPolicyFor(product, decision));
    }

    private RetryPolicy retryPolicyFor(int product, RoutingDecision decision) {
        if (retryPolicies == null) {
            return null;
        }
        boolean isRouted = decision != null && decision.route() != null;
        return retryPolicies.retryPolicyFor(product, isRouted ? decision.route().name : null);
    }
}
