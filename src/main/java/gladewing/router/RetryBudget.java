package gladewing.router;

/**
 * Limits the retries within a sliding time window to a floor plus a share of the first
 * transmissions. Retries are counted over at least the window and first transmissions over at most
 * the window, so that the limit is never exceeded.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;

    private final Span span;
    private final double share;
    private final double floor;

    /** Channel 0 counts first transmissions, channel 1 retries. */
    private SlidingWindow counts;

    /**
     * Creates an unused budget.
     *
     * @param span length of the time window
     * @param share retries permitted per first transmission
     * @param floor retries always permitted within the window
     */
    public RetryBudget(Span span, double share, double floor) {
        this.span = span;
        this.share = share;
        this.floor = floor;
        counts = new SlidingWindow(span, BUCKETS, 2);
    }

    /** Whether one more retry stays within the limit. */
    public boolean allowsRetry(Time now) {
        return counts.sum(now, 1) + 1 <= floor + share * counts.sumWithoutOldest(now, 0);
    }

    /** Whether one more retry stays within the floor. */
    boolean isBelowFloor(Time now) {
        return counts.sum(now, 1) + 1 <= floor;
    }

    /** Counts a transmission that is sent now. */
    public void recordSent(Time now, boolean isRetry) {
        counts.add(now, isRetry ? 1 : 0, 1);
    }

    /**
     * Takes back a retry that was recorded but never sent. It is subtracted at the time it was
     * recorded, so that both leave the window together.
     */
    public void refundRetry(Time now, Time sentAt) {
        counts.addAt(now, sentAt, 1, -1);
    }

    /**
     * Takes over the counts of the budget that this one replaces, so that reloading the settings
     * does not grant a fresh budget. If the window's length has changed, the retries alone are
     * taken over, as if sent now.
     */
    public void carryOver(RetryBudget previous, Time now) {
        if (previous.span.equals(span)) {
            counts = previous.counts;
        } else {
            counts.add(now, 1, previous.counts.sum(now, 1));
        }
    }

    /** Retries counted within the window. */
    public double retriesUsed(Time now) {
        return counts.sum(now, 1);
    }
}
