package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.http.MessageReader;
import gladewing.router.Span;
import org.junit.jupiter.api.Test;

/** How much is read of a connection in one pass. */
class ReadAllowanceTest {
    /** A client that sends one request at a time must be read in one pass. */
    @Test
    void theLargestRequestIsReadInOneTurn() {
        int largest = MessageReader.MAX_HEAD_BYTES + MessageReader.MAX_BODY_BYTES;
        assertTrue(ReadAllowance.bytes(ReadAllowance.SHORT_PASS, false) > largest);
    }

    /** Neither one client nor many may make a pass long. */
    @Test
    void whoSendsMuchIsReadInSmallerTurnsAndLessInALongPass() {
        Span longPass = ReadAllowance.SHORT_PASS.plus(Span.ofMillis(1));
        assertEquals(ReadAllowance.CONTINUED_BYTES, ReadAllowance.bytes(Span.ZERO, true));
        assertEquals(ReadAllowance.REDUCED_BYTES, ReadAllowance.bytes(longPass, false));
        assertEquals(ReadAllowance.LEAST_BYTES, ReadAllowance.bytes(longPass, true));
    }
}
