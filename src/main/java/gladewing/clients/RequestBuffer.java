package gladewing.clients;

import gladewing.buffer.ConnectionBuffer;
import gladewing.http.MessageReader;
import gladewing.lifecycle.LifecycleRules;
import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What one client has sent and the router has not begun: complete requests, one after the other,
 * and the start of a further one. Its size is limited, and yet it takes all that arrives, because
 * the end of a connection is behind everything that its client has sent: requests that do not fit
 * are refused, the oldest first, and only counted until they can be answered.
 */
final class RequestBuffer {
    /** Enough for the largest request. */
    private static final int MAX_WAITING_BYTES = MessageReader.MAX_BUFFERED_BYTES / 2;

    /** Limits what the objects for small requests take, beside their bytes. */
    private static final int MAX_WAITING_REQUESTS = 256;

    /** What the objects for one request take. */
    private static final int OBJECT_BYTES = 384;

    /**
     * A complete request.
     *
     * @param arrivedAt the earliest time at which its last byte may have arrived at this machine
     * @param deadline when its client stops waiting; null if it does not say
     */
    private record WaitingRequest(MessageReader message, Time arrivedAt, Time deadline) {}

    private final ConnectionBuffer received =
            new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
    private final Deque<WaitingRequest> complete = new ArrayDeque<>();

    /** What the messages of {@link #complete} hold, in bytes. */
    private int completeBytes;

    /** Reads the request behind the complete ones. */
    private MessageReader reading = new MessageReader();

    /** How many requests before the next one were refused and have no answer. */
    private long refusals;

    /** The earliest deadline of the refused requests; null for none. */
    private Time refusalDeadline;

    /** The earliest time at which the bytes that were added last may have arrived. */
    private Time arrivedAt;

    /**
     * Adds bytes that were read, and refuses what does not fit.
     *
     * @param bytesArrivedAt the earliest time at which they may have arrived
     * @return false if they are more than one read can have
     */
    boolean append(ByteBuf bytes, Time bytesArrivedAt) {
        if (!isUpgradeAwaited()) {
            arrivedAt = bytesArrivedAt;
        }
        boolean fits = received.append(bytes);
        readComplete();
        refuseExcess();
        return fits;
    }

    /** Reads requests as far as they are complete, and refuses the oldest where there are many. */
    private void readComplete() {
        while (!isUpgradeAwaited() && reading.read(received) == MessageReader.Progress.MESSAGE) {
            complete.addLast(new WaitingRequest(reading, arrivedAt, deadlineOf(reading)));
            completeBytes += reading.heldBytes();
            reading = new MessageReader();
            if (complete.size() > MAX_WAITING_REQUESTS) {
                refuseNext();
            }
        }
        if (reading.isInvalid()) {
            // Nothing that follows can be read.
            received.clear();
        }
    }

    private void refuseExcess() {
        while (isOverfull()) {
            refuseNext();
            readComplete();
        }
    }

    /** Whether bytes that follow may belong to another protocol than HTTP. */
    private boolean isUpgradeAwaited() {
        return !complete.isEmpty() && complete.getLast().message.header("upgrade") != null;
    }

    private Time deadlineOf(MessageReader message) {
        Span timeLimit = RequestReader.timeLimit(message);
        return timeLimit == null ? null : arrivedAt.plus(timeLimit);
    }

    /** Whether more bytes than the limit are held behind the request that is answered next. */
    private boolean isOverfull() {
        if (complete.isEmpty()) {
            return false;
        }
        int behindNext = completeBytes - complete.getFirst().message.heldBytes() + received.size();
        return behindNext > MAX_WAITING_BYTES;
    }

    private void refuseNext() {
        refusalDeadline = earlier(refusalDeadline, complete.getFirst().deadline);
        refusals++;
        dropNext();
    }

    private void dropNext() {
        completeBytes -= complete.removeFirst().message.heldBytes();
    }

    /** Refuses all requests that are complete. */
    void refuseComplete() {
        while (hasComplete()) {
            refuseNext();
            readComplete();
        }
    }

    /**
     * Refuses the requests that are due, and those before them, as answers keep their order.
     *
     * @return how many were refused
     */
    int refuseDue(Time now) {
        int due = 0;
        int number = 0;
        for (WaitingRequest request : complete) {
            number++;
            if (LifecycleRules.mustRefuse(request.deadline, now)) {
                due = number;
            }
        }
        for (int i = 0; i < due; i++) {
            refuseNext();
        }
        return due;
    }

    /** The earliest deadline of all requests without an answer; null if none has one. */
    Time earliestDeadline() {
        return earlier(refusalDeadline, earliestWaitingDeadline());
    }

    /** The earliest deadline of the complete requests; null if none has one. */
    Time earliestWaitingDeadline() {
        Time earliest = null;
        for (WaitingRequest request : complete) {
            earliest = earlier(earliest, request.deadline);
        }
        return earliest;
    }

    /** The earlier of two times; null stands for none. */
    private static Time earlier(Time one, Time other) {
        return one == null || other != null && other.before(one) ? other : one;
    }

    /** Whether a refused request is to be answered before anything else. */
    boolean hasRefusals() {
        return refusals > 0;
    }

    /** How many refused requests have no answer. */
    long refusals() {
        return refusals;
    }

    /** Counts one refused request as answered. */
    void refusalAnswered() {
        refusals--;
        if (refusals == 0) {
            refusalDeadline = null;
        }
    }

    /** Reads the next request; it stays the next one until {@link #startNext} is called. */
    MessageReader.Progress read() {
        readComplete();
        return hasComplete() ? MessageReader.Progress.MESSAGE : reading.read(received);
    }

    /** Whether the next request is complete. */
    boolean hasComplete() {
        return !complete.isEmpty();
    }

    /** The request that was read last. */
    MessageReader message() {
        return hasComplete() ? complete.getFirst().message : reading;
    }

    /** Drops the request that was read last. */
    void startNext() {
        dropNext();
    }

    /** The earliest time at which the request that was read last may have arrived. */
    Time arrivedAt() {
        return complete.getFirst().arrivedAt;
    }

    /** The bytes behind the requests that are complete. */
    ConnectionBuffer rest() {
        return received;
    }

    /** Whether something follows the request that was read last. */
    boolean hasFurther() {
        return complete.size() > 1 || hasIncomplete();
    }

    private boolean hasIncomplete() {
        return reading.isMidMessage() || received.size() > 0;
    }

    /** Whether nothing is held. */
    boolean isEmpty() {
        return !hasIncomplete() && complete.isEmpty() && refusals == 0;
    }

    /**
     * Drops the next request and all that follows, but keeps count of what was refused.
     *
     * @return whether there was any of it
     */
    boolean dropRest() {
        boolean hasRest = hasIncomplete() || hasComplete();
        received.clear();
        complete.clear();
        completeBytes = 0;
        reading = new MessageReader();
        return hasRest;
    }

    /** How much memory is held, in bytes. */
    int heldBytes() {
        return received.capacity()
                + reading.heldBytes()
                + completeBytes
                + complete.size() * OBJECT_BYTES;
    }

    /** Drops everything, and gives back its memory. */
    void clear() {
        dropRest();
        refusals = 0;
        refusalDeadline = null;
    }
}
