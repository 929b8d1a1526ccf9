package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which ids may be used again, and what remembering them takes. */
class RequestIdsTest {
    private static final long SEED = 46;

    private final RequestIds ids = new RequestIds(SEED);

    @ParameterizedTest
    @CsvSource({
        "true, NOT_RUN, true",
        "true, RUN, true",
        "true, MAY_RUN, false",
        "false, NOT_RUN, true",
        "false, RUN, false",
        "false, MAY_RUN, false"
    })
    void anIdMayBeUsedAgainUnlessItsRequestMustNotRunAgain(
            boolean isRepeatable, RequestIds.Trace trace, boolean mayBeginAgain) {
        assertTrue(ids.begin("r1"));
        assertFalse(ids.begin("r1"));
        ids.ended("r1", isRepeatable, trace);
        assertEquals(mayBeginAgain, ids.begin("r1"));
        assertTrue(ids.begin("r2"));
    }

    /**
     * Ever new ids must neither take memory without end nor push out those of once-only products.
     */
    @Test
    void floodOfNewIdsNeitherGrowsNorPushesOutOnceOnlyIds() {
        ids.begin("once");
        ids.ended("once", false, RequestIds.Trace.RUN);
        Runtime runtime = Runtime.getRuntime();
        int flood = 2_000_000;
        long before = 0;
        for (int i = 0; i < flood; i++) {
            if (i == flood / 4) {
                System.gc();
                before = runtime.totalMemory() - runtime.freeMemory();
            }
            String id = "f" + i;
            assertTrue(ids.begin(id));
            ids.ended(id, true, RequestIds.Trace.MAY_RUN);
        }
        System.gc();
        long grown = runtime.totalMemory() - runtime.freeMemory() - before;
        assertTrue(grown < 2_000_000, "grown by " + grown + " bytes");
        assertEquals(0, ids.inUse());
        assertFalse(ids.begin("once"));
        for (int i = flood - UsedIds.MIN_REMEMBERED; i < flood; i++) {
            assertFalse(ids.begin("f" + i));
        }
    }
}
