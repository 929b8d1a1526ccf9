package gladewing.soak;

import java.io.IOException;

/** Threads that serve connections, and end with them. */
final class SoakThreads {
    /** A task that ends with the connection that it serves. */
    interface IoTask {
        void run() throws IOException;
    }

    private SoakThreads() {}

    static void start(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException closed) {
                                // The connection has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
