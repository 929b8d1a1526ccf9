package gladewing.sessionpolicy;

/**
 * Limits events to a rate, evenly spaced. The rate is passed to each call and may change. Times are
 * in microseconds.
 */
final class RateLimiter {
    /** When the next event is due without a burst. */
    private double nextAt = Double.NEGATIVE_INFINITY;

    /**
     * Returns whether an event is allowed now. Events may come early by up to the given number of
     * seconds.
     */
    boolean isAllowed(long now, double perSecond, double burstSeconds) {
        return perSecond > 0 && now >= nextAt - burstSeconds * 1e6;
    }

    /** Counts an event at the given time. */
    void recordUse(long now, double perSecond) {
        nextAt = Math.max(nextAt, now) + 1e6 / perSecond;
    }
}
