package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladewing.router.Span;
import gladewing.router.Time;
import org.junit.jupiter.api.Test;

class SpoiltAnswersTest {
    /** Sound answers must not wait; doubt takes a tenth of the time that is left at most. */
    @Test
    void answersAreDelayedOnlyWhileOthersAreSpoilt() {
        SpoiltAnswers answers = new SpoiltAnswers();
        Span longTime = Span.ofMillis(3000);
        assertEquals(Span.ZERO, answers.quietTime(Time.ofMillis(0), longTime));
        answers.seen(Time.ofMillis(1000));
        assertEquals(SpoiltAnswers.QUIET_TIME, answers.quietTime(Time.ofMillis(61_000), longTime));
        assertEquals(Span.ofMillis(10), answers.quietTime(Time.ofMillis(2000), Span.ofMillis(100)));
        assertEquals(Span.ZERO, answers.quietTime(Time.ofMillis(2000), Span.ZERO));
        assertEquals(Span.ZERO, answers.quietTime(Time.ofMillis(61_001), longTime));
    }
}
