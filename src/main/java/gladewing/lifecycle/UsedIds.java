package gladewing.lifecycle;

/**
 * Remembers the ids of requests that must not run again, by hashes of 64 bits. Clients choose the
 * ids, so the memory is bounded: the latest {@link #MIN_REMEMBERED} are remembered in any case, and
 * at most twice as many.
 */
final class UsedIds {
    /** At least this many of the latest ids are remembered. */
    static final int MIN_REMEMBERED = 32_768;

    private static final int INITIAL_CAPACITY = 64;

    /** Stands for a free place, so no hash may have this value. */
    private static final long FREE = 0;

    private final long seed;
    private long[] current = new long[INITIAL_CAPACITY];
    private int currentCount;

    /** The ids before those in {@link #current}. */
    private long[] former = new long[INITIAL_CAPACITY];

    /**
     * @param seed secret, so that nobody can choose ids that fall into one place
     */
    UsedIds(long seed) {
        this.seed = seed;
    }

    void add(String id) {
        long hash = hash(id);
        if (contains(current, hash)) {
            return;
        }
        if (currentCount == MIN_REMEMBERED) {
            former = current;
            current = new long[INITIAL_CAPACITY];
            currentCount = 0;
        }
        if (2 * (currentCount + 1) > current.length) {
            grow();
        }
        current[place(current, hash)] = hash;
        currentCount++;
    }

    boolean contains(String id) {
        long hash = hash(id);
        return contains(current, hash) || contains(former, hash);
    }

    private void grow() {
        long[] larger = new long[2 * current.length];
        for (long hash : current) {
            if (hash != FREE) {
                larger[place(larger, hash)] = hash;
            }
        }
        current = larger;
    }

    private static boolean contains(long[] table, long hash) {
        return table[place(table, hash)] == hash;
    }

    /** The place of a hash in a table: where it stands, or the free one that it would get. */
    private static int place(long[] table, long hash) {
        int mask = table.length - 1;
        int place = (int) (hash >>> 32) & mask;
        while (table[place] != FREE && table[place] != hash) {
            place = (place + 1) & mask;
        }
        return place;
    }

    private long hash(String id) {
        long hash = seed;
        for (int i = 0; i < id.length(); i++) {
            hash = mix(hash ^ id.charAt(i));
        }
        return hash == FREE ? 1 : hash;
    }

    /** The finalizer of MurmurHash3 (public domain). */
    private static long mix(long bits) {
        long h = (bits ^ bits >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
