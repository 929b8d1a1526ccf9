package gladewing.lifecycle;

import gladewing.router.Span;
import gladewing.router.Time;

/**
 * Decides how long an answer with nothing behind it is doubted. What an answer lacks because its
 * length is too short may come in a later read, when the answer may have been used already. Where
 * no answers are spoilt, none is delayed for that; while some are, the socket has to stay quiet for
 * a moment.
 */
public final class SpoiltAnswers {
    /** How long after a spoilt answer others are doubted. */
    static final Span DOUBT_DURATION = Span.ofMillis(60_000);

    /** How long the socket has to stay quiet behind an answer that is doubted. */
    static final Span QUIET_TIME = Span.ofMillis(25);

    /** The most of the time that is left for an answer that is spent on doubt. */
    static final double MAX_SHARE_OF_TIME_LEFT = 0.1;

    private Time lastSeenAt;

    /** Records that what a data node has sent was spoilt. */
    public void seen(Time now) {
        lastSeenAt = now;
    }

    /**
     * How long the socket has to stay quiet before an answer counts.
     *
     * @param timeLeft how long the answer is waited for at most
     */
    public Span quietTime(Time now, Span timeLeft) {
        boolean isInDoubt = lastSeenAt != null && !now.since(lastSeenAt).longerThan(DOUBT_DURATION);
        return isInDoubt
                ? Span.shortest(QUIET_TIME, timeLeft.times(MAX_SHARE_OF_TIME_LEFT))
                : Span.ZERO;
    }
}
