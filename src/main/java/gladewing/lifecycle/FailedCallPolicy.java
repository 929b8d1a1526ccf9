package gladewing.lifecycle;

import gladewing.router.Span;

/**
 * Decides whether a system call that has failed is made again, and when. A failure of such a call
 * says nothing about the other side of a connection: the machine may be short of memory or
 * descriptors for a moment. So the call is repeated, until it has failed for longer than a moment.
 */
public final class FailedCallPolicy {
    /** For calls that must never be given up, such as accepting connections. */
    public static final FailedCallPolicy UNLIMITED =
            new FailedCallPolicy(new Span(Long.MAX_VALUE / 2));

    private static final Span FIRST_DELAY = Span.ofMillis(1);
    private static final Span MAX_DELAY = Span.ofMillis(16);
    private static final int MAX_DOUBLINGS = 4;

    private final Span maxFailurePeriod;

    /**
     * @param maxFailurePeriod how long a call may fail before it is given up
     */
    public FailedCallPolicy(Span maxFailurePeriod) {
        this.maxFailurePeriod = maxFailurePeriod;
    }

    /**
     * Returns the delay until the call is made again, or null to give it up. The delay doubles from
     * 1 ms up to 16 ms.
     *
     * @param failingFor how long the call has been failing
     * @param failures how often it has failed in a row, at least 1
     */
    public Span retryDelay(Span failingFor, int failures) {
        if (failingFor.longerThan(maxFailurePeriod)) {
            return null;
        }
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return Span.shortest(FIRST_DELAY.times(1 << doublings), MAX_DELAY);
    }
}
