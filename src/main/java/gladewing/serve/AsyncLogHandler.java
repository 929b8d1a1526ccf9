package gladewing.serve;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/**
 * Writes the log on a thread of its own, so that a reader of the log that is stuck does not block
 * the event loop. Lines that do not fit into the queue are dropped and counted.
 */
final class AsyncLogHandler extends Handler {
    private static final int QUEUE_CAPACITY = 256;

    private final PrintStream output;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicInteger unwritten = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();

    AsyncLogHandler(PrintStream output) {
        this.output = output;
        setFormatter(new SimpleFormatter());
        Thread thread = new Thread(this::writeLines, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            unwritten.incrementAndGet();
            record.setMessage(LogText.message(String.valueOf(record.getMessage())));
            if (!lines.offer(LogText.record(getFormatter().format(record)))) {
                unwritten.decrementAndGet();
                dropped.incrementAndGet();
            }
        }
    }

    private void writeLines() {
        try {
            while (true) {
                output.print(lines.take());
                int droppedLines = dropped.getAndSet(0);
                if (droppedLines > 0) {
                    output.println(
                            droppedLines
                                    + " log lines were dropped, as the log was not read fast"
                                    + " enough");
                }
                output.flush();
                unwritten.decrementAndGet();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits up to half a second until all lines are written; called only at the shutdown. */
    @Override
    public void flush() {
        try {
            for (int i = 0; i < 50 && unwritten.get() > 0; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        flush();
    }
}
