package gladewing.lifecycle;

import gladewing.router.Time;

/** Something that holds memory which was filled from outside, and that can give it back. */
public interface MemoryHolder {
    /** How much memory it would give back now, in bytes; 0 if it can't give back any. */
    long releasableBytes();

    /** Since when it has held what it would give back. */
    Time heldSince();

    /** Gives that memory back, and ends what it was held for. */
    void giveWay();
}
