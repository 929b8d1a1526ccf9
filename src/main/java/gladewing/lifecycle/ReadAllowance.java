package gladewing.lifecycle;

import gladewing.router.Span;

/**
 * Decides how much is read of one client's connection in one pass of the event loop, so that
 * neither one client that sends much nor many of them together hold up the others: what is not read
 * waits for the next pass, in which every connection is read again.
 */
public final class ReadAllowance {
    /** More than the largest request, so that a client that sends one at a time is not held up. */
    static final int FULL_BYTES = 128 * 1024;

    /** For a connection that has had more than it was allowed in its last turn. */
    static final int CONTINUED_BYTES = 16 * 1024;

    /** What a long pass reads of each connection at a time; most requests are smaller. */
    static final int REDUCED_BYTES = 4 * 1024;

    /** As above, of a connection that had more than it was allowed in its last turn. */
    static final int LEAST_BYTES = 1024;

    /** How long a pass may last before it is a long one. */
    static final Span SHORT_PASS = Span.ofMillis(10);

    private ReadAllowance() {}

    /**
     * Returns how many bytes may be read next of a connection; 0 ends its turn. A long pass reads
     * one large request to its end, in small steps, and nothing behind a complete one.
     *
     * @param sincePassBegan for how long the pass has lasted
     * @param wasExceeded whether the connection had more than it was allowed in its last turn
     * @param readInTurn what was read in its turn before, in bytes
     * @param isWaiting whether something that is complete waits to be handled
     */
    public static int bytes(
            Span sincePassBegan, boolean wasExceeded, int readInTurn, boolean isWaiting) {
        if (!sincePassBegan.longerThan(SHORT_PASS)) {
            return Math.max(0, (wasExceeded ? CONTINUED_BYTES : FULL_BYTES) - readInTurn);
        }
        int step = wasExceeded ? LEAST_BYTES : REDUCED_BYTES;
        int allowed = isWaiting ? step : FULL_BYTES;
        return Math.max(0, Math.min(step, allowed - readInTurn));
    }
}
