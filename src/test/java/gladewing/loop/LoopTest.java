package gladewing.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Passes, timers and alarms on a real event loop. */
class LoopTest implements Loop.PassListener {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private Loop loop;

    @Override
    public void passBegan(Time now) {
        events.add("begin");
    }

    @Override
    public void passEnded() {
        events.add("end");
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Runs a task on the loop's thread and waits for its end. */
    private void run(Runnable task) throws Exception {
        thread.submit(task).get();
    }

    private void assertNextEvents(String... expected) throws InterruptedException {
        for (String event : expected) {
            assertEquals(event, events.poll(30, TimeUnit.SECONDS));
        }
    }

    private void start() throws Exception {
        run(
                () -> {
                    loop = new Loop(thread);
                    loop.start(this);
                });
    }

    /**
     * The transport rounds the remaining delay to whole milliseconds, some tenths of a millisecond
     * after the alarm was set. If it rounded down, it would poll the sockets in a busy loop for the
     * rest.
     */
    @Test
    void alarmDelaysAreRoundedUpByTheTransport() {
        for (long micros = 0; micros < 20_000; micros += 7) {
            long delay = Loop.alarmDelayMicros(new Span(micros));
            assertTrue(delay >= micros && delay - micros < 1000, micros + " us became " + delay);
            for (long elapsed = 0; elapsed <= 250; elapsed += 50) {
                long remaining = delay - elapsed;
                assertTrue(
                        (remaining + 500) / 1000 * 1000 >= remaining,
                        micros + " us, " + elapsed + " us later, is rounded down");
            }
        }
    }

    /**
     * All events of a pass must see the same time, and timers that are due must run after them:
     * else an answer that arrived in time could be timed out before it is handled.
     */
    @Test
    void passHasOneTimeAndRunsDueTimersAfterItsEvents() throws Exception {
        start();
        run(
                () -> {
                    Time first = loop.enterPass();
                    loop.schedule(Span.ZERO, () -> events.add("timer"));
                    Timer never = loop.schedule(Span.ZERO, () -> events.add("cancelled"));
                    never.cancel();
                    events.add("read");
                    assertEquals(first, loop.enterPass());
                    events.add("read again");
                    loop.runInLaterPass(() -> events.add("later"));
                });
        assertNextEvents("begin", "read", "read again", "timer", "end", "begin", "later", "end");
        // Far enough apart that a loop which is held up does not run both in one pass.
        run(() -> loop.schedule(Span.ofMillis(3000), () -> events.add("second")));
        run(() -> loop.schedule(Span.ofMillis(10), () -> events.add("first")));
        assertNextEvents("begin", "first", "end", "begin", "second", "end");
    }

    /** An unexpected exception must end only its own timer; this and later passes go on. */
    @Test
    void exceptionEndsOnlyItsTimer() throws Exception {
        start();
        run(
                () ->
                        loop.schedule(
                                Span.ZERO,
                                () -> {
                                    events.add("fault");
                                    throw new IllegalStateException("thrown by a test");
                                }));
        assertNextEvents("begin", "fault", "end");
        run(() -> loop.schedule(Span.ZERO, () -> events.add("goes on")));
        assertNextEvents("begin", "goes on", "end");
    }

    /**
     * After a stall, the next pass must tell how long events may have waited, so that the time
     * counts against the limits of requests that were read late.
     */
    @Test
    void stallBeforeAPassIsMeasured() throws Exception {
        start();
        BlockingQueue<Span> stalls = new LinkedBlockingQueue<>();
        run(
                () -> {
                    loop.schedule(Span.ofMillis(1), () -> {});
                    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(60);
                    while (System.nanoTime() < until) {
                        Thread.onSpinWait();
                    }
                    loop.enterPass();
                    stalls.add(loop.stallBeforePass());
                });
        Span stall = stalls.poll(30, TimeUnit.SECONDS);
        assertTrue(
                stall != null && stall.longerThan(Span.ofMillis(50)), "stall of " + List.of(stall));
    }

    /**
     * Guards against timers, decisions and the next alarm that are lost with the fault of one
     * timer, which is an Error where the machine has no thread.
     */
    @Test
    void passGoesOnAfterAFaultOfATimer() throws Exception {
        start();
        run(
                () -> {
                    loop.schedule(
                            Span.ofMillis(10),
                            () -> {
                                events.add("faulty");
                                throw new OutOfMemoryError("unable to create native thread");
                            });
                    loop.schedule(Span.ofMillis(10), () -> events.add("same time"));
                    loop.schedule(Span.ofMillis(200), () -> events.add("later"));
                });
        assertNextEvents("begin", "faulty", "same time", "end", "begin", "later", "end");
        assertEquals(1, loop.faultCount());
    }
}
