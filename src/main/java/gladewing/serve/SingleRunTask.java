package gladewing.serve;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a task on an executor, one run at a time: while a run waits or goes on, further requests are
 * dropped. So requests that come faster than the task runs do not pile up.
 */
final class SingleRunTask implements Runnable {
    private final Executor executor;
    private final Runnable task;
    private final AtomicBoolean isPending = new AtomicBoolean();

    SingleRunTask(Executor executor, Runnable task) {
        this.executor = executor;
        this.task = task;
    }

    /** Requests a run. May be called on any thread. */
    @Override
    public void run() {
        if (!isPending.compareAndSet(false, true)) {
            return;
        }
        try {
            executor.execute(this::runOnExecutor);
        } catch (RejectedExecutionException ended) {
            isPending.set(false);
        }
    }

    private void runOnExecutor() {
        try {
            task.run();
        } finally {
            isPending.set(false);
        }
    }
}
