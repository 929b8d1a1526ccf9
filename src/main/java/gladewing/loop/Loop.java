package gladewing.loop;

import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Groups the work of an event loop into passes, and keeps its clock and timers. The first event of
 * a pass begins it and reads the clock once for all of it; the pass ends when the events that were
 * ready have been handled. All methods are called on the loop's thread, except {@link #readClock}
 * and {@link #runInLaterPass}, which any thread may call.
 */
public final class Loop {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());

    /** Is notified of the beginning and the end of each pass. */
    public interface PassListener {
        /** A pass begins; its time is the given one throughout. */
        void passBegan(Time now);

        /** A pass ends; its events have been handled and the timers that were due have run. */
        void passEnded();
    }

    /**
     * The fraction of a millisecond, in microseconds, that alarm delays end in. It is far enough
     * above one half that the delay is still rounded up if some tenths of a millisecond pass before
     * the transport begins to wait.
     */
    private static final long ALARM_FRACTION_MICROS = 800;

    /** How long the transport takes at most to look for events that are there already. */
    private static final Span MAX_SELECT_DURATION = Span.ofMillis(5);

    private final EventLoop thread;
    private final TimerQueue timers = new TimerQueue();
    private final Set<Channel> channelsToFlush = new LinkedHashSet<>();
    private final List<Runnable> afterEvents = new ArrayList<>();
    private PassListener listener;
    private boolean isInPass;
    private Time now = readClock();

    /** The event loop's task for the earliest timer; null while none is scheduled. */
    private ScheduledFuture<?> alarm;

    private Time alarmAt;
    private Span stallBeforePass = Span.ZERO;

    /**
     * Whether the current or last pass was begun by a task: sockets may not have been read in it.
     */
    private boolean wasBegunByTask;

    private Time lastPassEndedAt = now;
    private long faultCount;

    public Loop(EventLoop thread) {
        this.thread = thread;
    }

    /** Sets the listener; must be called before the first pass. */
    public void start(PassListener passListener) {
        listener = passListener;
    }

    /** Reads the clock, regardless of the pass. */
    public static Time readClock() {
        return new Time(System.nanoTime() / 1000);
    }

    /**
     * Begins a pass unless one is going on, and returns its time. Every event handler calls this
     * before it acts on the event.
     */
    public Time enterPass() {
        if (!isInPass) {
            beginPass(false);
        }
        return now;
    }

    private void beginPass(boolean isBegunByTask) {
        isInPass = true;
        Time formerPass = now;
        now = readClock();
        Span alarmLate = alarm == null || now.before(alarmAt) ? Span.ZERO : now.since(alarmAt);
        stallBeforePass = Span.longest(alarmLate, unreadStall(formerPass));
        wasBegunByTask = isBegunByTask;
        thread.execute(this::endPass);
        listener.passBegan(now);
    }

    /**
     * The stall before the last pass, if that had none of the events that waited meanwhile: after a
     * stall, tasks that are due run first, and the sockets are read right after them.
     */
    private Span unreadStall(Time formerPass) {
        boolean isUnread =
                wasBegunByTask
                        && stallBeforePass.longerThan(Span.ZERO)
                        && !now.since(lastPassEndedAt).longerThan(MAX_SELECT_DURATION);
        return isUnread ? stallBeforePass.plus(now.since(formerPass)) : Span.ZERO;
    }

    private void enterPassByTask() {
        if (!isInPass) {
            beginPass(true);
        }
    }

    /** Returns for how long the current pass has lasted; begins one if none is going on. */
    public Span passDuration() {
        Time began = enterPass();
        return readClock().since(began);
    }

    /**
     * Runs a task once the events of the current pass have been handled, before the timers that are
     * due. Begins a pass unless one is going on.
     */
    public void runAfterEvents(Runnable task) {
        enterPass();
        afterEvents.add(task);
    }

    private void runAfterEventsTasks() {
        List<Runnable> tasks = new ArrayList<>(afterEvents);
        afterEvents.clear();
        tasks.forEach(this::runGuarded);
    }

    private void endPass() {
        runAfterEventsTasks();
        // Timers run after the events, so that an answer that arrived in time does not time out
        // because this program was stalled.
        timers.runDue(now, this::runGuarded);
        // A timer may have read a socket.
        runAfterEventsTasks();
        runGuarded(listener::passEnded);
        isInPass = false;
        if (!afterEvents.isEmpty()) {
            runInLaterPass(() -> {});
        }
        List<Channel> toFlush = new ArrayList<>(channelsToFlush);
        channelsToFlush.clear();
        toFlush.forEach(Channel::flush);
        setAlarm();
        lastPassEndedAt = readClock();
    }

    /**
     * Runs a part of a pass whose fault must not keep the other parts from running. It may be an
     * Error, as where a thread can't be created.
     */
    public void runGuarded(Runnable part) {
        try {
            part.run();
        } catch (RuntimeException | Error fault) {
            faultCount++;
            LOG.log(Level.SEVERE, "a pass ended with a fault of the program", fault);
        }
    }

    /**
     * Returns how long this program was stalled before the current pass, which is the longest that
     * an event of the pass may have waited. It is measured from the time of the alarm that was due.
     */
    public Span stallBeforePass() {
        return stallBeforePass;
    }

    /** Returns how many passes have ended with an unexpected exception. */
    public long faultCount() {
        return faultCount;
    }

    /**
     * Runs a task soon on the loop's thread, but in no pass that has begun when this is called.
     * Tasks keep their order, and several may run in one pass.
     */
    public void runInLaterPass(Runnable task) {
        thread.execute(
                () -> {
                    enterPassByTask();
                    task.run();
                });
    }

    /**
     * Runs a task once a delay has passed, counted from the time of the current pass if there is
     * one. Tasks that are due at the same time run in the order in which they were scheduled.
     */
    public Timer schedule(Span delay, Runnable task) {
        Timer timer = timers.add((isInPass ? now : readClock()).plus(delay), task);
        if (!isInPass) {
            setAlarm();
        }
        return timer;
    }

    /**
     * Schedules the one alarm for all timers; an alarm that exists is replaced by earlier ones
     * only.
     */
    private void setAlarm() {
        Time next = timers.nextDueAt();
        if (next == null || alarm != null && !next.before(alarmAt)) {
            return;
        }
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarmAt = next;
        alarm =
                thread.schedule(
                        this::onAlarm,
                        alarmDelayMicros(next.since(readClock())),
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Returns the delay to give to the transport for an alarm, less than a millisecond above the
     * span. The transport waits in whole milliseconds, rounded to the nearest, and polls the
     * sockets in a busy loop for a remainder that was rounded away. A delay that is rounded up lets
     * it sleep until the alarm.
     */
    static long alarmDelayMicros(Span span) {
        long micros = Math.max(0, span.micros());
        return micros + Math.floorMod(ALARM_FRACTION_MICROS - micros, 1000L);
    }

    private void onAlarm() {
        enterPassByTask();
        alarm = null;
    }

    /** Flushes a channel when the pass ends, so that all its writes of the pass leave together. */
    public void flushAfterPass(Channel channel) {
        channelsToFlush.add(channel);
    }
}
