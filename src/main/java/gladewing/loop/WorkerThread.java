package gladewing.loop;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Threads for work that the loop's thread must not do itself, such as reading files. */
public final class WorkerThread {
    private WorkerThread() {}

    /**
     * Starts a thread that runs one task at a time, in the order in which they are submitted. It is
     * started now, as the machine may have no thread for it later, and does not keep the process
     * alive.
     */
    public static ExecutorService start(String name) {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.prestartAllCoreThreads();
        return executor;
    }
}
