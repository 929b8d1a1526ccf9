package gladewing.serve;

import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * Ends the process when the event loop's thread ends by an error, as for want of memory. Without
 * it, the process could stay, take connections and answer nobody.
 */
final class EventLoopGuard implements Thread.UncaughtExceptionHandler {
    static final int EXIT_STATUS = 1;

    private final PrintStream errors;
    private final IntConsumer exit;

    /**
     * @param errors gets the reason
     * @param exit ends the process with a status at once, even where there is no memory
     */
    EventLoopGuard(PrintStream errors, IntConsumer exit) {
        this.errors = errors;
        this.exit = exit;
    }

    /** Guards the thread that calls this. */
    void guardThisThread() {
        Thread.currentThread().setUncaughtExceptionHandler(this);
    }

    @Override
    public void uncaughtException(Thread thread, Throwable error) {
        try {
            errors.println("serve: the event loop has ended: " + error);
            errors.flush();
        } finally {
            exit.accept(EXIT_STATUS);
        }
    }
}
