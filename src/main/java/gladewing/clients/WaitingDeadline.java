package gladewing.clients;

import gladewing.loop.Loop;
import gladewing.loop.Timer;
import gladewing.router.Time;

/** The time at which requests of one connection that wait behind others become due. */
final class WaitingDeadline {
    private final Loop loop;
    private final Runnable onDue;

    /** Null while nothing waits. */
    private Timer timer;

    private Time dueAt;

    /**
     * @param onDue is run when requests are due; it may set the next time
     */
    WaitingDeadline(Loop loop, Runnable onDue) {
        this.loop = loop;
        this.onDue = onDue;
    }

    /**
     * Sets the next time.
     *
     * @param due null if nothing waits
     */
    void set(Time due) {
        if (timer != null && dueAt.equals(due)) {
            return;
        }
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        dueAt = due;
        if (due != null) {
            timer = loop.schedule(due.since(loop.enterPass()), this::run);
        }
    }

    private void run() {
        timer = null;
        onDue.run();
    }
}
