package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.decisions.AcceptedMultiget;
import gladewing.lifecycle.MemoryLimit;
import gladewing.router.Trace;
import org.junit.jupiter.api.Test;

class MultigetMemoryTest {
    private static final int LIMIT_BYTES = 1000;
    private static final int MAX_MULTIGETS = 10;
    private static final int EQUAL_SHARE_BYTES = LIMIT_BYTES / MAX_MULTIGETS;

    /**
     * Guards against values and texts that use up the heap, and against a limit that turns away
     * small multigets because of large ones.
     */
    @Test
    void largeMultigetsAndValuesGetNoMoreMemoryThanThereIs() {
        MemoryLimit limit = new MemoryLimit(LIMIT_BYTES);
        MultigetMemory memory = new MultigetMemory(limit, () -> MAX_MULTIGETS);
        AcceptedMultiget large = Trace.silentMultiget("large", 900, 0);
        assertTrue(memory.mayAccept(900));
        memory.accepted(large);
        AcceptedMultiget small = Trace.silentMultiget("small", 20, 0);
        memory.accepted(small);
        assertFalse(memory.mayAccept(EQUAL_SHARE_BYTES + 1));
        assertTrue(memory.mayAccept(EQUAL_SHARE_BYTES));
        String value = "x".repeat(41);
        assertFalse(memory.mayStore(large, value));
        assertFalse(memory.mayStore(small, value));
        assertTrue(memory.mayStore(small, value.substring(1)));
        memory.ended(large);
        assertTrue(memory.mayStore(small, value));
        assertTrue(memory.mayAccept(900));
        memory.ended(small);
        memory.ended(small);
        assertEquals(0, limit.heldBytes());
    }
}
