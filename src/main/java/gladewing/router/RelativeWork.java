package gladewing.router;

/**
 * The mean times of recently answered parts by product, from which the work of a part is derived in
 * units of the average part.
 */
final class RelativeWork {
    /**
     * Two channels for each product, the number of parts and the sum of their milliseconds, and two
     * for all products together.
     */
    private final SlidingWindow sums;

    private final int products;

    RelativeWork(Span span, int buckets, int products) {
        this.products = products;
        this.sums = new SlidingWindow(span, buckets, 2 * products + 2);
    }

    /** Records the time of an answered part. */
    void add(Time now, int product, Span took) {
        for (int slot : new int[] {product, products}) {
            sums.add(now, 2 * slot, 1);
            sums.add(now, 2 * slot + 1, took.millis());
        }
    }

    /** Number of answered parts of all products within the window. */
    double count(Time now) {
        return sums.sum(now, 2 * products);
    }

    /**
     * The mean time of a product's parts divided by the mean time of all parts; 1 if fewer than the
     * minimum were recorded for the product.
     */
    double relativeWork(Time now, int product, double minimum) {
        return sums.sum(now, 2 * product) < minimum ? 1 : mean(now, product) / mean(now, products);
    }

    private double mean(Time now, int slot) {
        return sums.sum(now, 2 * slot + 1) / sums.sum(now, 2 * slot);
    }
}
