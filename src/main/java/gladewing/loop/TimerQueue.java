package gladewing.loop;

import gladewing.router.Time;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Timers by due time, and in the order of their adding where that is the same. */
final class TimerQueue {
    /** How many cancelled timers may be in the queue before it is worth removing them. */
    private static final int MIN_CANCELLED = 64;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nextSequenceNumber;
    private int cancelled;

    Timer add(Time dueAt, Runnable task) {
        Timer timer = new Timer(this, dueAt, nextSequenceNumber++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Counts a cancelled timer. It stays in the queue until it is due, but once more than half of
     * the timers are cancelled, all of those are removed together.
     */
    void timerCancelled() {
        if (++cancelled > MIN_CANCELLED && cancelled > timers.size() / 2) {
            timers.removeIf(Timer::isDone);
            cancelled = 0;
        }
    }

    /** Returns the earliest time at which a timer is due, or null if there is none. */
    Time nextDueAt() {
        while (!timers.isEmpty() && timers.peek().isDone()) {
            timers.poll();
        }
        return timers.isEmpty() ? null : timers.peek().dueAt;
    }

    /** Runs the timers that are due, each by way of the given runner. */
    void runDue(Time now, Consumer<Runnable> runner) {
        for (Time next = nextDueAt(); next != null && !now.before(next); next = nextDueAt()) {
            runner.accept(timers.poll()::run);
        }
    }
}
