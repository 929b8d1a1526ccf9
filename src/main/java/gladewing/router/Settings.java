package gladewing.router;

import java.util.List;

/**
 * What a router is told at its start about its site; the site decides all of it.
 *
 * @param routers number of query routers that share the tenants' rates
 * @param timerResolution granularity of the caller's timers, by which a check may come late
 * @param listIsPolled whether the router has to request the node list, rather than being sent it
 * @param revenueScalesWithWork whether a multiget earns in proportion to its work
 * @param overShareRevenueFactor factor on the revenue of a tenant's multigets beyond its share
 * @param lateFailureCost what it costs to fail a multiget after its quoted time, as a share of its
 *     revenue
 */
public record Settings(
        int routers,
        Span timerResolution,
        Rules rules,
        Permissions permissions,
        Shards shards,
        List<Product> products,
        List<Tenant> tenants,
        boolean listIsPolled,
        boolean revenueScalesWithWork,
        double overShareRevenueFactor,
        double lateFailureCost) {

    /** How often the router checks for what has become due. */
    public Span checkInterval() {
        Span quoted = shortestQuotedTime();
        return Span.longest(timerResolution, quoted.times(0.01));
    }

    /** How long before its deadline a multiget is ended at the latest. */
    public Span deadlineMargin() {
        return checkInterval().plus(timerResolution);
    }

    /** The shortest quoted time of all products. */
    public Span shortestQuotedTime() {
        Span quoted = products.get(0).quotedTime();
        for (Product p : products) {
            quoted = Span.shortest(quoted, p.quotedTime());
        }
        return quoted;
    }

    /** What running a part twice does, which determines when it may be sent again. */
    public enum Effect {
        /** Running it again is harmless. */
        REPEATABLE,
        /** Data nodes recognise a repetition within the deduplication window. */
        TAGGED,
        /** It may be sent again only if it is proved that it did not run. */
        ONCE_ONLY
    }

    /**
     * Rules of the site that routers must keep.
     *
     * @param listRetryLimit time within which a failed request for the node list is repeated; zero
     *     where lists are pushed
     * @param initialCapacityShare share of its full capacity that a node has at its start
     * @param warmUpSpan time after its start in which a node reaches its full capacity
     * @param overloadFactor load, as a multiple of its capacity, that overloads a node in its
     *     warm-up
     * @param overloadWindow time over which that load is measured
     * @param retryBudgetWindow time over which retries are counted; zero for no budget
     * @param freeRetries retries always permitted within the window
     * @param retryShare further retries permitted per accepted multiget or part
     */
    public record Rules(
            Span listRetryLimit,
            double initialCapacityShare,
            Span warmUpSpan,
            double overloadFactor,
            Span overloadWindow,
            Span retryBudgetWindow,
            double freeRetries,
            double retryShare) {}

    /**
     * What the site permits its routers to do.
     *
     * @param probes whether data nodes may be probed
     * @param withdrawals whether transmissions may be withdrawn
     * @param hedgedCopies whether a part may be sent to a second node while the first is at it
     * @param transmissionsPerPart most transmissions of one part, the first included
     * @param maxOpen most open multigets and parts together
     * @param maxRetryAfter longest wait that a dismissed client may be asked for; zero for none
     */
    public record Permissions(
            boolean probes,
            boolean withdrawals,
            boolean hedgedCopies,
            int transmissionsPerPart,
            int maxOpen,
            Span maxRetryAfter) {}

    /**
     * The placement of shards: a shard is held by all nodes of the cells (shard + j) mod cells, for
     * j from 0 to cellsPerShard - 1.
     */
    public record Shards(int cells, int cellsPerShard) {}

    /**
     * A product that multigets belong to.
     *
     * @param quotedTime time within which an answer is in time
     * @param quotedTimePerWork milliseconds by which the quoted time grows per unit of hinted work
     * @param timeLimit whole time that clients wait, their own retries included
     * @param revenue of an answer in time
     * @param lateRevenue share of the revenue that a late answer earns
     * @param dedupWindow how long after a tagged part was sent a repetition is recognised
     * @param leastShare least sum of weights for a partial answer
     * @param wholeShare sum of weights from which an answer is whole; with the same least share,
     *     there are no partial answers
     * @param secondStep greater than zero if further parts follow the first answer
     */
    public record Product(
            Span quotedTime,
            double quotedTimePerWork,
            Span timeLimit,
            double revenue,
            double lateRevenue,
            Effect effect,
            Span dedupWindow,
            double leastShare,
            double wholeShare,
            int secondStep) {

        /** The same product, with its least share raised to the given one. */
        Product withLeastShare(double share) {
            return share <= leastShare
                    ? this
                    : new Product(
                            quotedTime,
                            quotedTimePerWork,
                            timeLimit,
                            revenue,
                            lateRevenue,
                            effect,
                            dedupWindow,
                            share,
                            wholeShare,
                            secondStep);
        }
    }

    /**
     * A tenant of the site.
     *
     * @param multigetsPerSecond the tenant's share, at all routers together
     */
    public record Tenant(double multigetsPerSecond) {}
}
