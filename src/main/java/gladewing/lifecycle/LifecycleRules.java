package gladewing.lifecycle;

import gladewing.router.Span;
import gladewing.router.Time;
import java.util.function.Consumer;

/**
 * The one place that decides whether something may be sent to a data node, started for a client or
 * closed now (whether a failed call is repeated is up to {@link FailedCallPolicy}), and that checks
 * what has become of it. A rule that was broken is reported, never repaired.
 */
public final class LifecycleRules {
    /**
     * How long a frame may wait for its socket to take it. After a client has left, nothing may
     * begin for it later than 0.1 s; half of that is for noticing that it has left.
     */
    public static final Span MAX_SEND_DELAY = Span.ofMillis(50);

    /**
     * How long the socket of a client may not be read to its end before its multiget is given up:
     * reads fail, or more arrives than is read. Nobody who waits for an answer sends anything, so
     * the client has most likely left.
     */
    public static final Span MAX_UNREAD = Span.ofMillis(50);

    /**
     * How long before parts are sent the ends of all clients' connections may have been looked for.
     * A pass lasts longer only if the process is held up or overloaded.
     */
    private static final Span MAX_UNSEEN = Span.ofMillis(30);

    /**
     * How often the socket of a client whose multiget is open is read where the selector may not
     * watch it. Half of the 0.1 s after which nothing may begin for a client that has left.
     */
    public static final Span MAX_UNWATCHED = Span.ofMillis(50);

    /** How long before its client's time is over a request that waits behind others is refused. */
    private static final Span REFUSAL_MARGIN = Span.ofMillis(30);

    /** How long the process may be held up between a decision and its write. */
    private static final Span MAX_HOLD_UP = Span.ofMillis(150);

    private static final Span LATEST_SEND = MAX_SEND_DELAY.plus(MAX_HOLD_UP);

    /** A rule that was broken. */
    public enum Violation {
        /** A frame was taken by its socket so late that its multiget may have ended long before. */
        SENT_LATE,
        /** A multiget got a second final answer. */
        ANSWERED_TWICE,
        /** The router closed a client's connection with a multiget open on it. */
        CLOSED_UNANSWERED
    }

    private final Consumer<Violation> reporter;

    /**
     * @param reporter is told of each violation
     */
    public LifecycleRules(Consumer<Violation> reporter) {
        this.reporter = reporter;
    }

    /**
     * Whether a part may be sent to a node, for the first time or again.
     *
     * @param hasEnded whether its multiget has its final answer, or needs none any more
     * @param isNodeClosed whether the node takes nothing new, as it drains, is gone or was replaced
     */
    public boolean maySend(boolean hasEnded, boolean isNodeClosed) {
        return !hasEnded && !isNodeClosed;
    }

    /**
     * Whether the next request of a client's connection may be answered or begun.
     *
     * @param hasOpenRequest whether an earlier one is not answered
     * @param isClosing whether the connection is closed, or will be soon
     * @param isWritable whether the client reads its responses
     */
    public boolean mayAnswerNext(boolean hasOpenRequest, boolean isClosing, boolean isWritable) {
        return !hasOpenRequest && !isClosing && isWritable;
    }

    /**
     * Whether a request may be begun. Its client may have left already, which is noticed only once
     * everything before the end of the connection has been read.
     *
     * @param isUnread whether the client's socket may hold bytes that were not read
     */
    public boolean mayBegin(boolean isUnread) {
        return !isUnread;
    }

    /**
     * When requests before one that waits must have been answered, and it is refused if it still
     * waits.
     *
     * @param deadline when its client stops waiting
     */
    public static Time latestWait(Time deadline) {
        return deadline.minus(REFUSAL_MARGIN);
    }

    /**
     * Whether a request that waits behind others is to be refused, so that its answer is in time.
     *
     * @param deadline when its client stops waiting; null if that is not known
     */
    public static boolean mustRefuse(Time deadline, Time now) {
        return deadline != null && !now.before(latestWait(deadline));
    }

    /**
     * Whether the router may close a client's connection of its own accord.
     *
     * @param hasOpenRequest whether a request on it is not answered
     * @param isResponding whether a response is not written out
     */
    public boolean mayClose(boolean hasOpenRequest, boolean isResponding) {
        return !hasOpenRequest && !isResponding;
    }

    /**
     * Whether the sockets of clients with open multigets are to be read again before anything is
     * sent.
     *
     * @param sincePassBegan since when they may have been read
     */
    public boolean mustReadAgain(Span sincePassBegan) {
        return sincePassBegan.longerThan(MAX_UNSEEN);
    }

    /**
     * Checks a frame that its socket has taken as a whole.
     *
     * @param sinceDecision since {@link #maySend} allowed it
     */
    public void checkSent(Span sinceDecision) {
        if (sinceDecision.longerThan(LATEST_SEND)) {
            reporter.accept(Violation.SENT_LATE);
        }
    }

    /**
     * Checks a final answer.
     *
     * @param isOpen whether its multiget had none yet
     */
    public void checkAnswered(boolean isOpen) {
        if (!isOpen) {
            reporter.accept(Violation.ANSWERED_TWICE);
        }
    }

    /**
     * Checks the close of a client's connection by the router.
     *
     * @param hasOpenRequest whether a request on it is not answered
     */
    public void checkClosed(boolean hasOpenRequest) {
        if (hasOpenRequest) {
            reporter.accept(Violation.CLOSED_UNANSWERED);
        }
    }
}
