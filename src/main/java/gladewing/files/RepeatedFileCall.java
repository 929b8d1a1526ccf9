package gladewing.files;

import gladewing.lifecycle.FailedCallPolicy;
import gladewing.router.Span;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;

/**
 * Calls the file system, and repeats a call that fails for a moment. Blocks, so it is never used on
 * the loop's thread.
 */
public final class RepeatedFileCall {
    /** Half of the 4 s within which a new configuration has to be in use after SIGHUP. */
    private static final FailedCallPolicy POLICY = new FailedCallPolicy(Span.ofMillis(2000));

    private RepeatedFileCall() {}

    /** A call that may fail. */
    public interface Call<T> {
        /** Makes the call once. */
        T run() throws IOException;
    }

    /**
     * Returns the result of a call.
     *
     * @throws IOException at once if there is no such file or access is denied, else after two
     *     seconds of failures
     */
    public static <T> T run(Call<T> call) throws IOException {
        long startedAt = System.nanoTime();
        for (int failures = 1; ; failures++) {
            try {
                return call.run();
            } catch (NoSuchFileException | AccessDeniedException permanent) {
                throw permanent;
            } catch (IOException failure) {
                Span failingFor = new Span((System.nanoTime() - startedAt) / 1000);
                Span delay = POLICY.retryDelay(failingFor, failures);
                if (delay == null) {
                    throw failure;
                }
                sleep(delay);
            }
        }
    }

    private static void sleep(Span delay) throws IOException {
        try {
            TimeUnit.MICROSECONDS.sleep(delay.micros());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
    }
}
