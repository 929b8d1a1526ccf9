package gladewing.router;

/** How a transmission or a probe ended, and whether that proves that the node did not run it. */
public enum TransmissionOutcome {
    OK(false),
    ERROR(false),
    /** Turned away by an overloaded node before it was run. */
    REJECTED(true),
    TIMED_OUT(false),
    /** No connection, or it broke before the whole transmission was written. */
    NOT_CONNECTED(true),
    /** The connection broke after the transmission was written. */
    RESET(false),
    /** Withdrawn by the router after it was sent. */
    WITHDRAWN(false),
    /** Ended by the router's own side before any of it was written. */
    NOT_SENT(true);

    public final boolean provesNotRun;

    TransmissionOutcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
