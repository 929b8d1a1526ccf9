package gladewing.router;

/**
 * How the parts of multigets of one product, or of one route, are retried and hedged. A policy can
 * only restrict what the rules of the site permit. A retry is any transmission of a part after the
 * first, a hedged copy included.
 *
 * @param maxTransmissions most transmissions of one part, the first included
 * @param timeout when a transmission is withdrawn so that its part may go to another node
 * @param timeShare share of the time left when it was sent that a transmission may take, if a retry
 *     can follow it; 1 for no limit
 * @param backoff wait after a transmission that ended without an answer, before the first retry
 * @param backoffGrowth factor by which each further backoff is longer
 * @param maxBackoff longest backoff, before jitter
 * @param jitter share of a backoff by which it may be longer or shorter
 * @param hedgeAfter when a hedged copy may be sent while the first transmission is in flight
 * @param minTimeLeft a retry is sent only while this much of the client's time is left
 * @param leastShare least share of the whole that an answer must have, if that is more than the
 *     product's; otherwise 0
 * @param ownBudget retry budget of the multigets of this policy's product or route, or null
 * @param sharedBudget retry budget of all policies together, or null
 */
public record RetryPolicy(
        int maxTransmissions,
        Delay timeout,
        double timeShare,
        Span backoff,
        double backoffGrowth,
        Span maxBackoff,
        double jitter,
        Delay hedgeAfter,
        Delay minTimeLeft,
        double leastShare,
        RetryBudget ownBudget,
        RetryBudget sharedBudget) {

    /** The policy for when none is configured: the router adapts to recent transmission times. */
    public static RetryPolicy routerDefault(int maxTransmissions) {
        return new RetryPolicy(
                maxTransmissions,
                Delay.ADAPTIVE,
                1,
                Span.ZERO,
                1,
                Span.ZERO,
                0,
                Delay.ADAPTIVE,
                Delay.NONE,
                0,
                null,
                null);
    }

    /**
     * The wait before the next transmission.
     *
     * @param transmissions how often the part has been sent, at least 1
     * @param random number from 0 to 1 that determines the jitter
     */
    public Span backoffAfter(int transmissions, double random) {
        double beforeJitter =
                Math.min(
                        backoff.micros() * Math.pow(backoffGrowth, transmissions - 1.0),
                        maxBackoff.micros());
        return new Span(Math.round(beforeJitter * (1 + jitter * (2 * random - 1))));
    }

    /**
     * Whether the budgets allow one more retry. Below the floor of its own budget a policy always
     * allows it, whatever others have used.
     */
    boolean budgetAllowsRetry(Time now) {
        return ownBudget == null
                ? sharedBudget == null || sharedBudget.allowsRetry(now)
                : ownBudget.allowsRetry(now)
                        && (sharedBudget == null
                                || sharedBudget.allowsRetry(now)
                                || ownBudget.isBelowFloor(now));
    }

    /** Counts a transmission in the budgets. */
    void recordSent(Time now, boolean isRetry) {
        if (ownBudget != null) {
            ownBudget.recordSent(now, isRetry);
        }
        if (sharedBudget != null) {
            sharedBudget.recordSent(now, isRetry);
        }
    }

    /** Returns to the budgets a retry that was recorded at the given time but was never written. */
    void refundRetry(Time now, Time sentAt) {
        if (ownBudget != null) {
            ownBudget.refundRetry(now, sentAt);
        }
        if (sharedBudget != null) {
            sharedBudget.refundRetry(now, sentAt);
        }
    }
}
