package gladewing.router;

/** One transmission of a part to a node, and what has become of it. */
final class TransmissionState {
    final Part part;
    final DataNode node;

    /** Number of this transmission of its part, counted from 0. */
    final int number;

    final Time sentAt;
    boolean isInFlight = true;

    /** Whether it has been unanswered for longer than the router's adaptive limit. */
    boolean isOverdue;

    /** Whether the retry policy allows a hedged copy now. */
    boolean isHedgeDue;

    /** Whether it was withdrawn by a time limit of a configured retry policy. */
    boolean hasTimedOut;

    boolean isWithdrawn;
    boolean provedNotRun;

    TransmissionState(Part part, DataNode node, Time sentAt) {
        this.part = part;
        this.node = node;
        this.number = part.transmissions.size();
        this.sentAt = sentAt;
        part.transmissions.add(this);
        part.multiget.adjustWaitingParts(part, part.inFlight++ == 0 ? -1 : 0);
        part.multiget.firstSentAt =
                part.multiget.firstSentAt == null ? sentAt : part.multiget.firstSentAt;
        node.inFlight++;
    }

    void ended(TransmissionOutcome outcome) {
        isInFlight = false;
        provedNotRun = outcome.provesNotRun;
        node.inFlight--;
        part.multiget.adjustWaitingParts(part, --part.inFlight == 0 && !part.isAnswered ? 1 : 0);
    }

    /** Takes back {@link #ended}, once the part does not count as answered any more. */
    void reopened() {
        isInFlight = true;
        node.inFlight++;
        part.multiget.adjustWaitingParts(part, part.inFlight++ == 0 ? -1 : 0);
    }
}
