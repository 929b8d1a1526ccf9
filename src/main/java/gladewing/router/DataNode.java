package gladewing.router;

/**
 * What one router has observed of one data node, and what the node has reported. It holds state
 * only; {@link QueryRouter} decides by it.
 */
final class DataNode {
    final int index;
    final int cell;

    /** When the node's process started; null for long ago. */
    final Time startedAt;

    /** Whether the node is listed and not draining. */
    boolean isActive;

    /** Transmissions of this router that have not ended. */
    int inFlight;

    /** Load of long-lived sessions, in units of concurrent parts. */
    double sessionLoad;

    /** Additive-increase, multiplicative-decrease limit of concurrent transmissions. */
    double concurrencyLimit;

    /** Failures, overdue transmissions included, since the last timely answer. */
    int consecutiveFailures;

    /** Failed or rejected transmissions since the last answer, timely or not. */
    int consecutiveErrors;

    Time lastFailureAt;

    /** End of the open period of the circuit breaker; set by every failure. */
    Time circuitOpenUntil;

    Time limitReducedAt;

    /** When an answer last came before its transmission was overdue. */
    Time lastTimelyAnswerAt;

    Time lastAnswerAt;

    /** When the open probe was sent; null if none is open. */
    Time probeSentAt;

    /** When a probe last ended other than by a refused connection. */
    Time lastProbeEndAt;

    /** Load level that the last probe shows; 0 once a transmission is answered after it. */
    int probeLoadLevel;

    /** When an answer last came, or a probe last ended other than by a refused connection. */
    Time lastInformationAt;

    Time loadReportedAt;

    /** Expected time of a part by the last load report, as a multiple of the usual service time. */
    double reportedSlowdown;

    /**
     * Work sent within the overload window. Null unless the node was in its warm-up when listed,
     * since a window for each node would take much memory in a large fleet.
     */
    SlidingWindow recentWork;

    /** Random number that decides on an allowance of less than one part in this window. */
    double admissionDraw;

    Time admissionDrawnAt;

    /** Whether the slow-start allowance is so small that it depends on the random number. */
    boolean isAdmittedByChance;

    /** Number of the holders query that last visited this node; see {@link DataNodeIndex}. */
    int lastVisit;

    /** Number of the parts that are being assigned that this node may serve. */
    int coveredParts;

    DataNode(int index, int cell, Time startedAt, double concurrencyLimit) {
        this.index = index;
        this.cell = cell;
        this.startedAt = startedAt;
        this.concurrencyLimit = concurrencyLimit;
    }

    /** Whether a probe ended after the open period of the circuit breaker. */
    boolean probedAfterOpenPeriod() {
        return lastProbeEndAt != null && !lastProbeEndAt.before(circuitOpenUntil);
    }
}
