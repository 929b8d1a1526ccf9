package gladewing.loop;

import gladewing.router.Time;

/** A task that runs once at a set time unless it is cancelled before. */
public final class Timer implements Comparable<Timer> {
    private final TimerQueue queue;
    final Time dueAt;
    private final long sequenceNumber;

    /** Null once it has run or was cancelled. */
    private Runnable task;

    Timer(TimerQueue queue, Time dueAt, long sequenceNumber, Runnable task) {
        this.queue = queue;
        this.dueAt = dueAt;
        this.sequenceNumber = sequenceNumber;
        this.task = task;
    }

    /** Cancels the task; has no effect if it has run or was cancelled before. */
    public void cancel() {
        if (task != null) {
            task = null;
            queue.timerCancelled();
        }
    }

    boolean isDone() {
        return task == null;
    }

    void run() {
        Runnable dueTask = task;
        task = null;
        dueTask.run();
    }

    /** Orders timers by their due time, and those due at the same time by when they were added. */
    @Override
    public int compareTo(Timer other) {
        int byTime = Long.compare(dueAt.micros(), other.dueAt.micros());
        return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
}
