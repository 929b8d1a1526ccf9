package gladewing.decisions;

import gladewing.router.Outcome;

/** How a transmission or a probe ended, by how far it had come. */
public enum End {
    ANSWERED(Outcome.OK),
    ERROR(Outcome.ERROR),
    /** Turned away by the node, unseen. */
    BUSY(Outcome.FULL),
    TIMED_OUT(Outcome.TIMED_OUT),
    /** No connection, or broken before the last byte of its frame was written: it never ran. */
    NOT_WRITTEN(Outcome.NOT_CONNECTED),
    /** Broken after the frame was written: it may have run. */
    BROKEN(Outcome.RESET),
    WITHDRAWN(Outcome.WITHDRAWN),
    /** Withdrawn before any of it was written. */
    NOT_SENT(Outcome.NOT_SENT);

    final Outcome outcome;

    End(Outcome outcome) {
        this.outcome = outcome;
    }
}
