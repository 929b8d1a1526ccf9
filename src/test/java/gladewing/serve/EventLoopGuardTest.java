package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventLoopGuardTest {
    /** Guards against a router that stays and answers nobody once its event loop has ended. */
    @Test
    void errorOfTheGuardedThreadEndsTheProcess() throws InterruptedException {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        AtomicInteger status = new AtomicInteger();
        EventLoopGuard guard =
                new EventLoopGuard(
                        new PrintStream(errors, true, StandardCharsets.UTF_8), status::set);
        Thread loop =
                new Thread(
                        () -> {
                            guard.guardThisThread();
                            throw new OutOfMemoryError("Java heap space");
                        });
        loop.start();
        loop.join();
        assertEquals(1, status.get());
        assertEquals(
                "serve: the event loop has ended: java.lang.OutOfMemoryError: Java heap space",
                errors.toString(StandardCharsets.UTF_8).strip());
    }
}
