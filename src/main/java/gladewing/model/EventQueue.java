package gladewing.model;

import java.util.Arrays;

/**
 * The simulation clock and the queue of future events. Times are in microseconds of virtual time.
 * Events run in order of their due time, and events due at the same time in the order in which they
 * were scheduled. A binary heap in parallel arrays, because a long run has hundreds of millions of
 * events.
 */
final class EventQueue {
    private static final int INITIAL_CAPACITY = 1024;

    private long[] dueAt = new long[INITIAL_CAPACITY];
    private long[] sequence = new long[INITIAL_CAPACITY];
    private Runnable[] actions = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long scheduledCount;
    private long processedCount;
    private long now;

    long now() {
        return now;
    }

    long processedCount() {
        return processedCount;
    }

    /** Schedules an action; a negative delay counts as zero. */
    void schedule(long delayMicros, Runnable action) {
        if (size == dueAt.length) {
            dueAt = Arrays.copyOf(dueAt, 2 * size);
            sequence = Arrays.copyOf(sequence, 2 * size);
            actions = Arrays.copyOf(actions, 2 * size);
        }
        long due = now + Math.max(0, delayMicros);
        long number = scheduledCount++;
        int slot = size++;
        while (slot > 0) {
            int parent = (slot - 1) / 2;
            if (dueAt[parent] <= due) {
                // An event due at the same time was scheduled earlier and has the lower number.
                break;
            }
            move(parent, slot);
            slot = parent;
        }
        set(slot, due, number, action);
    }

    /**
     * Runs the next event and advances the clock to its due time. If no event is due by the given
     * time, advances the clock to that time and returns false.
     */
    boolean runNext(long until) {
        if (size == 0 || dueAt[0] > until) {
            now = Math.max(now, until);
            return false;
        }
        now = dueAt[0];
        Runnable action = actions[0];
        size--;
        long due = dueAt[size];
        long number = sequence[size];
        Runnable last = actions[size];
        actions[size] = null;
        int slot = 0;
        while (2 * slot + 1 < size) {
            int child = 2 * slot + 1;
            if (child + 1 < size
                    && before(
                            dueAt[child + 1], sequence[child + 1], dueAt[child], sequence[child])) {
                child++;
            }
            if (!before(dueAt[child], sequence[child], due, number)) {
                break;
            }
            move(child, slot);
            slot = child;
        }
        if (size > 0) {
            set(slot, due, number, last);
        }
        processedCount++;
        action.run();
        return true;
    }

    private static boolean before(long dueAt, long sequence, long otherDueAt, long otherSequence) {
        return dueAt < otherDueAt || dueAt == otherDueAt && sequence < otherSequence;
    }

    private void move(int from, int to) {
        set(to, dueAt[from], sequence[from], actions[from]);
    }

    private void set(int slot, long due, long number, Runnable action) {
        dueAt[slot] = due;
        sequence[slot] = number;
        actions[slot] = action;
    }
}
