package gladewing.router;

import java.util.Arrays;

/**
 * Sums over a sliding time window, kept in a ring of time buckets of equal length. Several channels
 * share the buckets. Times must not decrease from call to call; an earlier one counts as the
 * latest.
 */
public final class SlidingWindow {
    private final long bucketMicros;
    private final int channels;
    private final double[][] buckets;
    private final double[] totals;
    private long newest = Long.MIN_VALUE;

    /**
     * Creates an empty window that covers the whole span.
     *
     * @param buckets number of buckets for the span; one more is added, which is being filled
     */
    public SlidingWindow(Span span, int buckets, int channels) {
        this.bucketMicros = Math.max(1, (span.micros() + buckets - 1) / buckets);
        this.channels = channels;
        this.buckets = new double[buckets + 1][channels];
        this.totals = new double[channels];
    }

    /** Adds an amount to the current bucket of the channel. */
    public void add(Time now, int channel, double amount) {
        advance(now);
        buckets[slot(newest)][channel] += amount;
        totals[channel] += amount;
    }

    /** Adds to the bucket of an earlier time; does nothing if that bucket was already reused. */
    void addAt(Time now, Time earlier, int channel, double amount) {
        advance(now);
        long bucket = Math.floorDiv(earlier.micros(), bucketMicros);
        if (bucket <= newest && bucket > newest - buckets.length) {
            buckets[slot(bucket)][channel] += amount;
            totals[channel] += amount;
        }
    }

    /** Sum over the span and up to one bucket's length before it: never too small. */
    public double sum(Time now, int channel) {
        advance(now);
        return totals[channel];
    }

    /** Sum without the oldest bucket, which may reach out of the span: never too large. */
    public double sumWithoutOldest(Time now, int channel) {
        return sum(now, channel) - buckets[slot(newest + 1)][channel];
    }

    /**
     * Treats the channels as a histogram and returns the one that contains the quantile.
     *
     * @param quantile from 0 to 1
     * @param minimum total of all channels below which -1 is returned
     */
    public int quantileChannel(Time now, double quantile, double minimum) {
        advance(now);
        double total = 0;
        for (double sum : totals) {
            total += sum;
        }
        if (total < minimum) {
            return -1;
        }
        double seen = 0;
        for (int c = 0; c < channels; c++) {
            seen += totals[c];
            if (seen >= quantile * total) {
                return c;
            }
        }
        return channels - 1;
    }

    private void advance(Time now) {
        long bucket = Math.floorDiv(now.micros(), bucketMicros);
        if (bucket <= newest) {
            return;
        }
        long from =
                newest == Long.MIN_VALUE
                        ? bucket
                        : Math.max(newest + 1, bucket - buckets.length + 1);
        for (long b = from; b <= bucket; b++) {
            Arrays.fill(buckets[slot(b)], 0);
        }
        newest = bucket;
        // Totals are summed anew rather than reduced by the dropped buckets: rounding errors must
        // not accumulate in sums that are compared with limits.
        Arrays.fill(totals, 0);
        for (double[] b : buckets) {
            for (int c = 0; c < channels; c++) {
                totals[c] += b[c];
            }
        }
    }

    private int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) buckets.length);
    }
}
