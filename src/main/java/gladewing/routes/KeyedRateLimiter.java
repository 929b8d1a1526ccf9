package gladewing.routes;

import java.util.Arrays;

/**
 * Limits the rate and burst of requests per key with the generic cell rate algorithm (GCRA). For
 * each key it stores only the time at which its bucket is empty again, in a set-associative table
 * of fixed size. A key whose bucket is empty is the same as one never seen, so an entry can be
 * reused without loss while one of the eight entries of its set is empty. If none is, the key whose
 * bucket is empty soonest is evicted and may use its burst again; a busy key, whose time is latest,
 * is the last to be evicted. A rejected request changes nothing, so a flood of them evicts no key.
 */
public final class KeyedRateLimiter {
    /** Entries per set of the table. */
    private static final int WAYS = 8;

    private final String name;
    private final double rate;
    private final double burst;

    /**
     * In nanoseconds, so that the interval of a million requests a second is not lost to rounding.
     */
    private final long interval;

    private final long burstTolerance;
    private final int sets;
    private final long[] keys;

    /** When the bucket of each key is empty, in nanoseconds. */
    private final long[] emptyAt;

    private long now = Long.MIN_VALUE;
    private long evictedKeys;

    /**
     * Creates a limiter for this router alone.
     *
     * @param rate requests a second for each key
     * @param burst most requests of a key at once
     * @param keys how many keys are stored at least
     */
    public KeyedRateLimiter(String name, double rate, double burst, int keys) {
        this.name = name;
        this.rate = rate;
        this.burst = burst;
        interval = Math.max(1, Math.round(1e9 / rate));
        burstTolerance = Math.round(Math.max(0, burst - 1) * interval);
        int minSets = Math.max(1, (keys + WAYS - 1) / WAYS);
        sets =
                Integer.highestOneBit(minSets) == minSets
                        ? minSets
                        : Integer.highestOneBit(minSets) * 2;
        this.keys = new long[sets * WAYS];
        emptyAt = new long[sets * WAYS];
        Arrays.fill(emptyAt, Long.MIN_VALUE);
    }

    /**
     * Admits one more request of the key if that is within its limit. The clock may stand still or
     * jump: a jump back counts as standing still, and a jump forward gives a key no more than its
     * burst.
     *
     * @return 0 if the request is admitted, else the time in microseconds until one would be
     */
    public long tryAcquire(long key, long nowMicros) {
        now = Math.max(now, nowMicros * 1000);
        int set = (int) (hash(key) >>> 32) & sets - 1;
        int entry = set * WAYS;
        for (int i = set * WAYS; i < set * WAYS + WAYS; i++) {
            if (keys[i] == key && emptyAt[i] > now) {
                entry = i;
                break;
            }
            entry = emptyAt[i] < emptyAt[entry] ? i : entry;
        }
        boolean isStored = keys[entry] == key && emptyAt[entry] > now;
        long empty = isStored ? emptyAt[entry] : now;
        if (empty - now > burstTolerance) {
            return Math.max(1, (empty - now - burstTolerance + 999) / 1000);
        }
        if (!isStored && emptyAt[entry] > now) {
            evictedKeys++;
        }
        keys[entry] = key;
        emptyAt[entry] = empty + interval;
        return 0;
    }

    /**
     * Whether this limiter can be replaced by the other, so that reloading a file does not renew
     * the bursts.
     */
    boolean hasSameSettings(KeyedRateLimiter other) {
        return other != null
                && name.equals(other.name)
                && rate == other.rate
                && burst == other.burst
                && sets == other.sets;
    }

    /**
     * How many keys were evicted before their bucket was empty. Each of them may have used its
     * burst once more.
     */
    public long evictedKeys() {
        return evictedKeys;
    }

    /** Size of the table, which is fixed. */
    public long sizeInBytes() {
        return 2L * Long.BYTES * keys.length;
    }

    /** Mixes the bits of a key, so that consecutive keys do not fall into one set. */
    private static long hash(long key) {
        long h = (key ^ key >>> 33) * 0xff51afd7ed558ccdL;
        return (h ^ h >>> 29) * 0xc4ceb9fe1a85ec53L;
    }
}
