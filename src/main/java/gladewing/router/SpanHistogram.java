package gladewing.router;

/** A histogram of time spans over a sliding time window, with exponentially growing bins. */
final class SpanHistogram {
    /**
     * Logarithm of the ratio of a bin's upper to its lower bound: quantiles are exact to within 15
     * percent, enough for all uses.
     */
    private static final double LOG_RATIO = Math.log(1.15);

    private static final int BINS = 80;

    private final SlidingWindow counts;

    SpanHistogram(Span span, int buckets) {
        this.counts = new SlidingWindow(span, buckets, BINS);
    }

    void add(Time now, Span span) {
        counts.add(now, bin(span), 1);
    }

    /**
     * The given quantile of the recorded spans; the fallback if there are fewer than the minimum.
     */
    Span quantile(Time now, double quantile, double minimum, Span fallback) {
        int bin = counts.quantileChannel(now, quantile, minimum);
        return bin < 0 ? fallback : Span.ofMillis(Math.exp((bin + 1) * LOG_RATIO));
    }

    private static int bin(Span span) {
        return (int)
                Math.max(0, Math.min(BINS - 1, Math.log(Math.max(1, span.millis())) / LOG_RATIO));
    }
}
