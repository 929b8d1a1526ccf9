package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.http.MessageReader;
import gladewing.router.Span;
import org.junit.jupiter.api.Test;

/** How much is read of a connection in one pass. */
class ReadAllowanceTest {
    private static final Span LONG_PASS = ReadAllowance.SHORT_PASS.plus(Span.ofMillis(1));

    /** A client that sends one request at a time must be read in one pass. */
    @Test
    void theLargestRequestIsReadInOneTurn() {
        int largest = MessageReader.MAX_HEAD_BYTES + MessageReader.MAX_BODY_BYTES;
        assertTrue(ReadAllowance.bytes(ReadAllowance.SHORT_PASS, false, 0, false) > largest);
    }

    /** Neither one client nor many may make a pass long. */
    @Test
    void whoSendsMuchIsReadInSmallerTurnsAndLessInALongPass() {
        int continued = ReadAllowance.CONTINUED_BYTES;
        int reduced = ReadAllowance.REDUCED_BYTES;
        int least = ReadAllowance.LEAST_BYTES;
        assertEquals(continued, ReadAllowance.bytes(Span.ZERO, true, 0, true));
        assertEquals(0, ReadAllowance.bytes(Span.ZERO, true, continued, true));
        assertEquals(reduced, ReadAllowance.bytes(LONG_PASS, false, 0, true));
        assertEquals(0, ReadAllowance.bytes(LONG_PASS, false, reduced, true));
        assertEquals(least, ReadAllowance.bytes(LONG_PASS, true, 0, true));
        assertEquals(0, ReadAllowance.bytes(LONG_PASS, true, least, true));
    }

    /** The rest of a large request was read so slowly that its client's time was over. */
    @Test
    void aLongPassReadsTheRestOfALargeRequest() {
        int largest = MessageReader.MAX_HEAD_BYTES + MessageReader.MAX_BODY_BYTES;
        assertEquals(
                ReadAllowance.REDUCED_BYTES, ReadAllowance.bytes(LONG_PASS, false, largest, false));
        assertEquals(0, ReadAllowance.bytes(LONG_PASS, false, ReadAllowance.FULL_BYTES, false));
    }
}
