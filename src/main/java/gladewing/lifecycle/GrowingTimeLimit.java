package gladewing.lifecycle;

import gladewing.router.Span;

/**
 * The time limit of something that is tried again after it ran out. Each try that ran out of time
 * gets the next one twice the time, up to a bound: work that takes longer than the first limit
 * would otherwise be begun anew for ever.
 */
public final class GrowingTimeLimit {
    /** The limit grows to eight times the first one. */
    static final int MAX_DOUBLINGS = 3;

    private final Span first;
    private int doublings;

    /**
     * @param first the limit of the first try
     */
    public GrowingTimeLimit(Span first) {
        this.first = first;
    }

    /** The limit of the try that is under way or comes next. */
    public Span current() {
        return first.times(1 << doublings);
    }

    /** Records that a try has run out of time. */
    public void exceeded() {
        doublings = Math.min(doublings + 1, MAX_DOUBLINGS);
    }

    /** Records that a try has succeeded; the limit stays where that took the longer time. */
    public void met(Span took) {
        if (!took.longerThan(first)) {
            doublings = 0;
        }
    }
}
