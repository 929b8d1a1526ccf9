package gladewing.lifecycle;

import java.util.Collection;

/**
 * A limit on the memory that many holders take together, and the decision who gets none or gives
 * way when it is reached. Each holder is left an equal share of the limit, so that those that hold
 * little are not turned away because of those that hold much.
 */
public final class MemoryLimit {
    private final long maxBytes;
    private long heldBytes;

    /**
     * @param maxBytes limit for all holders together
     */
    public MemoryLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts a change of what one holder takes, in bytes; negative for what is given back. */
    public void adjust(long deltaBytes) {
        heldBytes += deltaBytes;
    }

    /** What all holders take together, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    public long maxBytes() {
        return maxBytes;
    }

    public boolean isExceeded() {
        return heldBytes > maxBytes;
    }

    /**
     * Whether a holder may take more. Where that can't be taken from it again, all holders together
     * take at most twice the limit.
     *
     * @param ownBytes what the holder would take in all
     * @param addedBytes what of that it does not take yet
     * @param maxHolders the most holders that there may be
     */
    public boolean mayTake(long ownBytes, long addedBytes, int maxHolders) {
        return heldBytes + addedBytes <= maxBytes || ownBytes <= equalShare(maxHolders);
    }

    /**
     * Lets holders give way, one after the other, until the limit is kept.
     *
     * @return how many gave way
     */
    public int enforce(Collection<? extends MemoryHolder> holders) {
        int count = 0;
        for (MemoryHolder first = firstToGiveWay(holders);
                first != null;
                first = firstToGiveWay(holders)) {
            first.giveWay();
            count++;
        }
        return count;
    }

    /**
     * Returns the holder that gives way first: of those that could give back more than an equal
     * share of the limit, the one that has held it longest. What arrives at once is kept for a
     * moment only, so that is most likely one that stopped in the middle of something. Returns null
     * if the limit is kept, or if nobody holds more than an equal share.
     */
    private MemoryHolder firstToGiveWay(Collection<? extends MemoryHolder> holders) {
        if (!isExceeded()) {
            return null;
        }
        long equalShare = equalShare(holders.size());
        MemoryHolder first = null;
        for (MemoryHolder holder : holders) {
            if (holder.releasableBytes() > equalShare
                    && (first == null || holder.heldSince().before(first.heldSince()))) {
                first = holder;
            }
        }
        return first;
    }

    private long equalShare(int holders) {
        return maxBytes / Math.max(1, holders);
    }
}
