package gladewing.decisions;

import gladewing.router.TransmissionOutcome;

/**
 * How a transmission or a probe over a connection ended, and by how far it had come, the {@link
 * TransmissionOutcome} that the router is told.
 */
public enum CallResult {
    ANSWERED(TransmissionOutcome.OK),
    ERROR(TransmissionOutcome.ERROR),
    /** Turned away by the node before it was run. */
    BUSY(TransmissionOutcome.REJECTED),
    TIMED_OUT(TransmissionOutcome.TIMED_OUT),
    /** No connection, or it broke before the last byte of the frame was written: it did not run. */
    NOT_WRITTEN(TransmissionOutcome.NOT_CONNECTED),
    /** The connection broke after the frame was written: it may have run. */
    BROKEN(TransmissionOutcome.RESET),
    WITHDRAWN(TransmissionOutcome.WITHDRAWN),
    /** Withdrawn before any byte of the frame was written. */
    NOT_SENT(TransmissionOutcome.NOT_SENT);

    final TransmissionOutcome outcome;

    CallResult(TransmissionOutcome outcome) {
        this.outcome = outcome;
    }

    /** Whether the node may have run the part. */
    boolean mayHaveRun() {
        return switch (this) {
            case BUSY, NOT_WRITTEN, NOT_SENT -> false;
            default -> true;
        };
    }

    /** Whether the node may run the part now or later. */
    boolean mayStillRun() {
        return switch (this) {
            case TIMED_OUT, BROKEN, WITHDRAWN -> true;
            default -> false;
        };
    }
}
