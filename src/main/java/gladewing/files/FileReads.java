package gladewing.files;

import gladewing.lifecycle.FailedCallPolicy;
import gladewing.router.Span;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Reads settings files, which the operator has put there: a read that fails for a moment is
 * repeated. Blocks, so it is never called on the loop's thread.
 */
public final class FileReads {
    /** Half of the 4 s within which a new configuration has to be in use after SIGHUP. */
    private static final FailedCallPolicy POLICY = new FailedCallPolicy(Span.ofMillis(2000));

    private FileReads() {}

    /**
     * Returns what is in a file.
     *
     * @throws IOException at once if there is no such file or it must not be read, else after two
     *     seconds
     */
    public static byte[] readAllBytes(Path path) throws IOException {
        long startedAt = System.nanoTime();
        for (int failures = 1; ; failures++) {
            try {
                return Files.readAllBytes(path);
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
