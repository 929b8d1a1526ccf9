package gladewing.lifecycle;

import gladewing.router.Span;
import gladewing.router.Time;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a service that is polled is called once more while earlier calls wait for their
 * answers, and which calls are given up. A call without an answer may be lost, or the service may
 * be slow: so a further call is made beside it, and the earlier one goes on waiting. An answer
 * makes the calls before its own superfluous. Calls that wait are bounded in number and in memory.
 *
 * <p>A service that answers in time has one call at a time. If each answer takes longer than the
 * one before, the service has a queue, and fewer calls are made beside others; if later calls make
 * earlier ones fail, none is for a while.
 *
 * @param <C> identifies a call
 */
public final class OverlappingCalls<C> {
    /** How long a sound service takes for an answer, beside the time that it may hold the call. */
    public static final Span RESPONSE_TIME = Span.ofMillis(500);

    /** How long after a failure a call is repeated, or after a late one another is made. */
    public static final Span RETRY_DELAY = Span.ofMillis(100);

    /** The distance of calls while the service is slow or silent. */
    static final Span SPACING = Span.ofMillis(1000);

    /** The most calls that wait at once: enough for answers that take seven seconds. */
    static final int MAX_WAITING = 8;

    /**
     * The longest that a further call is put off. A change that is missed counts as delivered after
     * the same time.
     */
    static final Span MAX_DELAY = Span.ofMillis(6000);

    /** How long a call may wait without a byte: as long as a router may take to be ready. */
    static final Span MAX_SILENCE = Span.ofMillis(30_000);

    /** How long a call that has received a part of its answer may stall before it may give way. */
    static final Span MAX_STALL = Span.ofMillis(6000);

    /** The delay until a refused call is repeated doubles so often at most. */
    private static final int MAX_DOUBLINGS = 4;

    /** How soon after a call an earlier one fails that the service has ended because of it. */
    static final Span DISPLACEMENT_TIME = Span.ofMillis(200);

    /** For how long no calls overlap after the first sign that the service does not bear it. */
    static final Span FIRST_PAUSE = Span.ofMillis(2000);

    /** By how much longer an answer must take than the one before to be a sign of a queue. */
    static final Span QUEUE_GROWTH = Span.ofMillis(500);

    /** How many answers in a row, each slower than the one before, show a queue. */
    static final int QUEUE_GROWTH_COUNT = 2;

    /** How many calls may wait at first once the service has shown a queue. */
    static final int QUEUE_WINDOW = 2;

    /** The most that unfinished answers hold together, in bytes: two of the largest. */
    static final long MAX_HELD_BYTES = 12L * 1024 * 1024;

    private static final class Waiting<C> {
        final C call;
        final Time madeAt;
        final Span hold;
        Time lastByteAt;
        long heldBytes;
        boolean isReportedLate;

        Waiting(C call, Time madeAt, Span hold) {
            this.call = call;
            this.madeAt = madeAt;
            this.hold = hold;
        }

        /** How long its answer may take if the service is sound. */
        Span allowance() {
            return hold.plus(RESPONSE_TIME);
        }

        Span silence(Time now) {
            return now.since(lastByteAt == null ? madeAt : lastByteAt);
        }

        boolean isProgressing(Time now) {
            return lastByteAt != null && !silence(now).longerThan(MAX_STALL);
        }
    }

    /** Oldest first. */
    private final List<Waiting<C>> waiting = new ArrayList<>();

    /** No call is made before this time; null if one may be made at once. */
    private Time notBefore;

    /** No call is made beside others before this time; null if one may be made at once. */
    private Time noOverlapBefore;

    private Span nextPause = FIRST_PAUSE;
    private boolean lastAnswerWasLate;

    /** How long the last answer took, without the time for which its call was held. */
    private Span lastLatency = Span.ZERO;

    private int slowerInARow;

    /** How many newest calls in a row were refused beside others. */
    private int refusalsInARow;

    /** Whether the newest call has failed and was not repeated yet. */
    private boolean isRetryDue;

    /** How many calls may wait at once; less than the most while the service has a queue. */
    private int window = MAX_WAITING;

    /**
     * Records a call that is made now.
     *
     * @param hold how long the service may hold the call if it has no news
     */
    public void begin(C call, Time now, Span hold) {
        notBefore = null;
        isRetryDue = false;
        waiting.add(new Waiting<>(call, now, hold));
    }

    /** Whether a call is waiting for its answer. */
    public boolean isWaiting(C call) {
        return find(call) != null;
    }

    /** The calls that wait for their answers, oldest first. */
    public List<C> waitingCalls() {
        return waiting.stream().map(w -> w.call).toList();
    }

    /** Whether the last answer came later than that of a sound service. */
    public boolean lastAnswerWasLate() {
        return lastAnswerWasLate;
    }

    /**
     * Records that a part of an answer has arrived.
     *
     * @param heldBytes the memory that the unfinished answer takes
     */
    public void progressed(C call, Time now, long heldBytes) {
        Waiting<C> progressing = find(call);
        if (progressing != null) {
            progressing.lastByteAt = now;
            progressing.heldBytes = heldBytes;
        }
    }

    /**
     * Records that the answer to a call is complete.
     *
     * @param now when the answer arrived
     * @param hasNews whether the call was answered before the time that it may be held was over
     * @return the earlier calls, which are no longer waited for
     */
    public List<C> answered(C call, Time now, boolean hasNews) {
        Waiting<C> answered = find(call);
        List<Waiting<C>> upToIt = waiting.subList(0, waiting.indexOf(answered) + 1);
        List<C> earlier = upToIt.stream().map(w -> w.call).filter(c -> c != call).toList();
        upToIt.clear();
        notBefore = null;
        isRetryDue = false;
        refusalsInARow = 0;
        Span age = Span.longest(Span.ZERO, now.since(answered.madeAt));
        lastAnswerWasLate = age.longerThan(answered.allowance());
        recordLatency(hasNews ? age : Span.longest(Span.ZERO, age.minus(answered.hold)));
        if (!lastAnswerWasLate) {
            noOverlapBefore = null;
            nextPause = FIRST_PAUSE;
            window = MAX_WAITING;
        }
        return earlier;
    }

    private void recordLatency(Span latency) {
        boolean isSlower = latency.longerThan(lastLatency.plus(QUEUE_GROWTH));
        lastLatency = latency;
        if (!isSlower) {
            slowerInARow = 0;
            window = Math.min(window + 1, MAX_WAITING);
        } else if (++slowerInARow >= QUEUE_GROWTH_COUNT && !waiting.isEmpty()) {
            slowerInARow = 0;
            window = QUEUE_WINDOW;
        }
    }

    /**
     * Records that a call has failed. If an earlier call fails right after a later one was made,
     * the service may have ended it because of that. If the newest fails soon after it was made, it
     * was refused, and is repeated at growing distances while others wait.
     */
    public void failed(C call, Time now) {
        Waiting<C> failed = find(call);
        boolean wasNewest = newest() == failed;
        boolean isNewestFresh = !now.since(newest().madeAt).longerThan(DISPLACEMENT_TIME);
        boolean wasRefused = wasNewest && RESPONSE_TIME.longerThan(now.since(failed.madeAt));
        waiting.remove(failed);
        refusalsInARow = wasRefused && !waiting.isEmpty() ? refusalsInARow + 1 : 0;
        int doublings = Math.min(Math.max(0, refusalsInARow - 1), MAX_DOUBLINGS);
        notBefore = now.plus(Span.shortest(RETRY_DELAY.times(1 << doublings), SPACING));
        isRetryDue = wasNewest;
        if (!wasNewest && isNewestFresh) {
            pauseOverlap(now);
        }
    }

    private void pauseOverlap(Time now) {
        if (noOverlapBefore == null || !now.before(noOverlapBefore)) {
            noOverlapBefore = now.plus(nextPause);
            nextPause = Span.shortest(nextPause.times(2), MAX_DELAY);
        }
    }

    /** Returns a call that has become late since it was made, once for each call; else null. */
    public C nextLateCall(Time now) {
        for (Waiting<C> w : waiting) {
            if (!w.isReportedLate && !now.since(w.madeAt).minus(w.allowance()).isNegative()) {
                w.isReportedLate = true;
                return w.call;
            }
        }
        return null;
    }

    /**
     * Returns a call that is given up now, or null. It is one that has been silent for too long; or
     * the newest that holds memory, if all hold too much; or, if no further call may be made beside
     * those that wait, one that makes room for it.
     */
    public C nextToGiveUp(Time now) {
        Waiting<C> givenUp = nextWaitingToGiveUp(now);
        if (givenUp == null) {
            return null;
        }
        waiting.remove(givenUp);
        return givenUp.call;
    }

    private Waiting<C> nextWaitingToGiveUp(Time now) {
        for (Waiting<C> w : waiting) {
            if (w.silence(now).longerThan(MAX_SILENCE)) {
                return w;
            }
        }
        if (waiting.stream().mapToLong(w -> w.heldBytes).sum() > MAX_HELD_BYTES) {
            pauseOverlap(now);
            return newestThatHolds();
        }
        return isFull() && !now.before(nextCallAt()) ? givesWay(now) : null;
    }

    private Waiting<C> newestThatHolds() {
        Waiting<C> newest = null;
        for (Waiting<C> w : waiting) {
            newest = w.heldBytes > 0 ? w : newest;
        }
        return newest;
    }

    /**
     * The call that makes room: the second oldest that receives nothing, so that the oldest gets
     * its answer from a service however slow, and younger ones from one that was silent before. If
     * all receive something, the newest.
     */
    private Waiting<C> givesWay(Time now) {
        return waiting.stream()
                .skip(1)
                .filter(w -> !w.isProgressing(now))
                .findFirst()
                .orElse(newest());
    }

    /** Whether a call may be made now. */
    public boolean mayCall(Time now) {
        return !isFull() && !now.before(nextCallAt());
    }

    /** When the next call is due if nothing happens until then. */
    private Time nextCallAt() {
        Time due = notBefore == null ? new Time(Long.MIN_VALUE) : notBefore;
        if (waiting.isEmpty() || isRetryDue) {
            return due;
        }
        due = later(due, newest().madeAt.plus(spacing()));
        return noOverlapBefore == null ? due : later(due, earlier(noOverlapBefore, lossShownAt()));
    }

    /**
     * When the newest call is probably lost, as answers did not take that long before. While that
     * is not known, calls do not overlap for the whole pause.
     */
    private Time lossShownAt() {
        return lastLatency.longerThan(Span.ZERO)
                ? newest().madeAt.plus(newest().allowance()).plus(lastLatency.times(1.5))
                : noOverlapBefore;
    }

    private boolean isFull() {
        return waiting.size() >= window;
    }

    /**
     * How long after the newest call another one is due. Where a service with a queue is full, one
     * that waits is given up for it, so the answers on the way are awaited first.
     */
    private Span spacing() {
        if (isFull() && window < MAX_WAITING) {
            return Span.longest(SPACING, Span.shortest(lastLatency.times(1.5), MAX_DELAY));
        }
        boolean isFirstOverlap = waiting.size() == 1 && !lastAnswerWasLate;
        return isFirstOverlap ? newest().allowance().plus(RETRY_DELAY) : SPACING;
    }

    /** How long it takes until a call is due, late or to be given up, if nothing happens. */
    public Span untilNextDecision(Time now) {
        Time next = nextCallAt();
        for (Waiting<C> w : waiting) {
            if (!w.isReportedLate) {
                next = earlier(next, w.madeAt.plus(w.allowance()));
            }
        }
        return next.before(now) ? Span.ZERO : next.since(now);
    }

    private static Time later(Time a, Time b) {
        return a.before(b) ? b : a;
    }

    private static Time earlier(Time a, Time b) {
        return a.before(b) ? a : b;
    }

    private Waiting<C> newest() {
        return waiting.get(waiting.size() - 1);
    }

    private Waiting<C> find(C call) {
        for (Waiting<C> w : waiting) {
            if (w.call == call) {
                return w;
            }
        }
        return null;
    }
}
