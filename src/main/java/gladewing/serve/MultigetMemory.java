package gladewing.serve;

import gladewing.decisions.AcceptedMultiget;
import gladewing.lifecycle.MemoryLimit;
import java.util.function.IntSupplier;

/** Counts what the open multigets hold together: what they ask, and the values that are in. */
final class MultigetMemory {
    private final MemoryLimit limit;
    private final IntSupplier maxMultigets;

    /**
     * @param maxMultigets how many multigets may be open at present
     */
    MultigetMemory(MemoryLimit limit, IntSupplier maxMultigets) {
        this.limit = limit;
        this.maxMultigets = maxMultigets;
    }

    /** Whether a multiget with a payload of this size can be accepted now. */
    boolean mayAccept(int payloadBytes) {
        return limit.mayTake(payloadBytes, payloadBytes, maxMultigets.getAsInt());
    }

    void accepted(AcceptedMultiget multiget) {
        limit.adjust(multiget.heldBytes());
    }

    /** Whether a multiget can store this value; one that has ended does not store it at all. */
    boolean mayStore(AcceptedMultiget multiget, String value) {
        long added = AcceptedMultiget.valueBytes(value);
        return multiget.hasEnded()
                || limit.mayTake(multiget.heldBytes() + added, added, maxMultigets.getAsInt());
    }

    /**
     * Counts what a multiget has stored or released.
     *
     * @param bytesBefore what it held before
     */
    void changed(AcceptedMultiget multiget, long bytesBefore) {
        limit.adjust(multiget.heldBytes() - bytesBefore);
    }

    /** Releases what a multiget holds that has its final answer, or needs none any more. */
    void ended(AcceptedMultiget multiget) {
        long bytesBefore = multiget.heldBytes();
        multiget.release();
        changed(multiget, bytesBefore);
    }
}
