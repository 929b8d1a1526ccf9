package gladewing.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.router.Span;
import gladewing.router.Time;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls in virtual time to services that are slow, silent or crowded. */
class OverlappingCallsTest {
    private static final Span HOLD = Span.ofMillis(1000);

    private final OverlappingCalls<Call> calls = new OverlappingCalls<>();
    private final List<Call> made = new ArrayList<>();
    private final List<Long> answeredAt = new ArrayList<>();
    private int mostWaiting;

    private record Call(long madeAt, long answerAt) {}

    private static Time at(long millis) {
        return Time.ofMillis(millis);
    }

    /**
     * Plays a service for a time, in steps of 10 ms.
     *
     * @param answerAt when a call that was made at a time is answered; Long.MAX_VALUE for never
     */
    private void play(long from, long to, LongUnaryOperator answerAt) {
        for (long now = from; now < to; now += 10) {
            for (Call call : calls.waitingCalls()) {
                if (call.answerAt <= now && calls.isWaiting(call)) {
                    calls.answered(call, at(now), true);
                    answeredAt.add(now);
                }
            }
            while (calls.nextToGiveUp(at(now)) != null) {}
            if (calls.mayCall(at(now))) {
                Call call = new Call(now, answerAt.applyAsLong(now));
                made.add(call);
                calls.begin(call, at(now), HOLD);
            }
            mostWaiting = Math.max(mostWaiting, calls.waitingCalls().size());
        }
    }

    private long longestGap(long from, long to) {
        long longest = 0;
        long last = from;
        for (long answer : answeredAt) {
            if (answer > from && answer <= to) {
                longest = Math.max(longest, answer - last);
                last = answer;
            }
        }
        return Math.max(longest, to - last);
    }

    /** However slow a service is, its answers are waited for, and come one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {800, 2000, 5000, 7000})
    void answersOfASlowServiceComeOnceASecond(long delay) {
        play(0, 60_000, now -> now + delay);
        // The second call is made once the first is late for a sound service.
        long gap = longestGap(delay + 1600, 60_000);
        assertTrue(gap <= 1100, "gap " + gap);
        assertTrue(mostWaiting <= OverlappingCalls.MAX_WAITING);
        long atMost = 60_000 / Math.min(delay, 1000) + 1;
        assertTrue(made.size() <= atMost, made.size() + " calls");
    }

    /** Guards against calls that are all given up before a very slow service has answered. */
    @ParameterizedTest
    @ValueSource(longs = {10_000, 20_000, 29_000})
    void aVerySlowServiceIsHeard(long delay) {
        play(0, 120_000, now -> now + delay);
        assertTrue(answeredAt.size() > 3, answeredAt.size() + " answers");
        assertEquals(delay, answeredAt.get(0), "the first call");
        assertEquals(OverlappingCalls.MAX_WAITING, mostWaiting);
    }

    /** After a long silence, in which all calls are lost, an answer comes within a second. */
    @Test
    void aServiceThatWasSilentIsHeardWithinASecond() {
        play(0, 20_000, now -> Long.MAX_VALUE);
        play(20_000, 30_000, now -> now + 10);
        assertTrue(answeredAt.get(0) <= 21_010, "answered at " + answeredAt.get(0));
        assertEquals(1, calls.waitingCalls().size());
    }

    /** A slow service that was silent is heard, though lost calls keep places. */
    @Test
    void aSlowServiceThatWasSilentIsHeard() {
        play(0, 20_000, now -> now + 5000);
        play(20_000, 40_000, now -> Long.MAX_VALUE);
        answeredAt.clear();
        play(40_000, 60_000, now -> now + 5000);
        assertTrue(answeredAt.get(0) <= 46_010, "answered at " + answeredAt.get(0));
    }

    /** Guards against a queue of our own: a service that serves one call at a time. */
    @ParameterizedTest
    @ValueSource(longs = {1000, 2000, 3000})
    void aServiceWithAQueueIsNotCrowded(long serviceTime) {
        long[] freeAt = {0};
        play(
                0,
                120_000,
                now -> {
                    freeAt[0] = Math.max(now, freeAt[0]) + serviceTime;
                    return freeAt[0];
                });
        long latest = 0;
        for (Call call : made.subList(made.size() / 2, made.size() - 1)) {
            latest = Math.max(latest, call.answerAt - call.madeAt);
        }
        assertTrue(latest <= 6 * serviceTime, "an answer after " + latest + " ms");
        assertTrue(answeredAt.size() >= 120_000 / serviceTime - 10, answeredAt.size() + " answers");
    }

    /** Guards against a call that every later one ends: none is made beside it for a while. */
    @Test
    void callsDoNotOverlapAfterALaterOneEndedAnEarlierOne() {
        Call first = new Call(0, 0);
        Call second = new Call(1600, 0);
        Call third = new Call(3700, 0);
        calls.begin(first, at(0), HOLD);
        assertFalse(calls.mayCall(at(1590)));
        assertTrue(calls.mayCall(at(1600)));
        calls.begin(second, at(1600), HOLD);
        calls.failed(first, at(1700));
        assertFalse(calls.mayCall(at(3690)));
        assertTrue(calls.mayCall(at(3700)));
        calls.begin(third, at(3700), HOLD);
        calls.failed(second, at(3800));
        assertFalse(calls.mayCall(at(7790)));
        assertTrue(calls.mayCall(at(7800)));
    }

    /**
     * Guards against a lost call that is waited for alone: the connections of a slow service are
     * reset, but for one that is silent.
     */
    @Test
    void aLostCallIsNotWaitedForAfterTheOthersWereReset() {
        play(0, 10_000, now -> now + 2000);
        List<Call> open = calls.waitingCalls();
        assertEquals(2, open.size());
        Call lost = new Call(10_000, Long.MAX_VALUE);
        calls.begin(lost, at(10_000), HOLD);
        Call newest = new Call(11_000, Long.MAX_VALUE);
        calls.begin(newest, at(11_000), HOLD);
        open.forEach(call -> calls.failed(call, at(11_100)));
        calls.failed(newest, at(11_100));
        assertEquals(List.of(lost), calls.waitingCalls());
        answeredAt.clear();
        play(11_100, 30_000, now -> now + 2000);
        assertTrue(answeredAt.get(0) <= 16_600, "answered at " + answeredAt.get(0));
    }

    /**
     * Guards against a service that is back and not asked: while an earlier call is silent, others
     * are refused, and are repeated after 0.1 s to one second.
     */
    @Test
    void aRefusedCallIsRepeatedWithinASecond() {
        calls.begin(new Call(0, 0), at(0), HOLD);
        long now = 1600;
        for (long delay : new long[] {100, 200, 400, 800, 1000, 1000, 1000}) {
            assertTrue(calls.mayCall(at(now)), "at " + now);
            Call refused = new Call(now, 0);
            calls.begin(refused, at(now), HOLD);
            calls.failed(refused, at(now));
            assertFalse(calls.mayCall(at(now + delay - 10)), "at " + now);
            now += delay;
        }
    }

    /** Guards against a slow answer that is cut off and asked for late, as a lost call waits. */
    @Test
    void aCallThatIsCutOffIsRepeatedAtOnce() {
        calls.begin(new Call(0, 0), at(0), HOLD);
        Call cut = new Call(1600, 0);
        calls.begin(cut, at(1600), HOLD);
        calls.failed(cut, at(2500));
        assertFalse(calls.mayCall(at(2590)));
        assertTrue(calls.mayCall(at(2600)));
    }

    /** A call that failed alone is repeated at once. */
    @Test
    void aCallThatFailedAloneIsRepeatedAtOnce() {
        Call call = new Call(0, 0);
        calls.begin(call, at(0), HOLD);
        calls.failed(call, at(50));
        assertFalse(calls.mayCall(at(140)));
        assertTrue(calls.mayCall(at(150)));
    }

    /** An answer ends the earlier calls; the later ones go on waiting. */
    @Test
    void anAnswerMakesEarlierCallsSuperfluous() {
        List<Call> three = List.of(new Call(0, 0), new Call(1600, 0), new Call(2600, 0));
        three.forEach(call -> calls.begin(call, at(call.madeAt), HOLD));
        assertEquals(List.of(three.get(0)), calls.answered(three.get(1), at(3000), true));
        assertEquals(List.of(three.get(2)), calls.waitingCalls());
    }

    /** Each call is reported as late once. */
    @Test
    void reportsALateCallOnce() {
        Call call = new Call(0, 0);
        calls.begin(call, at(0), HOLD);
        assertNull(calls.nextLateCall(at(1490)));
        assertEquals(call, calls.nextLateCall(at(1500)));
        assertNull(calls.nextLateCall(at(1510)));
    }

    /** Of unfinished answers that hold too much together, the newest is given up. */
    @Test
    void unfinishedAnswersAreBoundedInMemory() {
        List<Call> four = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            four.add(new Call(1000 * i, 0));
            calls.begin(four.get(i), at(1000 * i), Span.ZERO);
            calls.progressed(four.get(i), at(3500), OverlappingCalls.MAX_HELD_BYTES / 3);
        }
        assertEquals(four.get(3), calls.nextToGiveUp(at(3500)));
        assertNull(calls.nextToGiveUp(at(3500)));
        assertFalse(calls.mayCall(at(5400)));
    }

    /** What receives something keeps its place; where all do, the newest gives way. */
    @Test
    void answersThatMakeProgressAreKept() {
        List<Call> all = new ArrayList<>();
        for (int i = 0; i < OverlappingCalls.MAX_WAITING; i++) {
            all.add(new Call(1000 * i, 0));
            calls.begin(all.get(i), at(1000 * i), Span.ZERO);
            if (i != 3) {
                calls.progressed(all.get(i), at(7500), 100);
            }
        }
        assertNull(calls.nextToGiveUp(at(7990)));
        assertEquals(all.get(3), calls.nextToGiveUp(at(8000)));
        Call another = new Call(8000, 0);
        calls.begin(another, at(8000), Span.ZERO);
        calls.progressed(another, at(8500), 100);
        assertEquals(another, calls.nextToGiveUp(at(9000)));
    }
}
