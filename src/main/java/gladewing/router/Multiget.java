package gladewing.router;

import java.util.ArrayList;
import java.util.List;

/**
 * The handle of an accepted multiget, by which the caller reports what happens to it. It holds
 * state only; {@link QueryRouter} decides.
 */
public final class Multiget {
    /** The number that the caller gave this multiget. */
    public final int ref;

    private final QueryRouter router;
    final int product;
    final Settings.Product productSettings;

    /** The policy in force when it was accepted; a later reload does not change it. */
    final RetryPolicy retryPolicy;

    final double revenue;

    /** When the client stops waiting, or the router ends. */
    Time deadline;

    /** When the quoted time is over; answers after that are late. */
    Time quotedDeadline;

    /** When the first part was sent; null while the multiget has not started. */
    Time firstSentAt;

    double totalWorkHint;
    final List<Part> parts = new ArrayList<>();
    final List<TentativeAssignment> assignments = new ArrayList<>(1);

    /** 1, or 2 after the first answer of a product with a second step. */
    int step = 1;

    int firstPartOfStep;

    /** Answered parts of the current step. */
    int answeredParts;

    /** Sum of the weights of the answered parts of the current step. */
    double answeredWeight;

    /** Parts of the current step that are neither answered nor in flight. */
    int waitingParts;

    /** Whether a hedged copy of some part has been due; never reset. */
    boolean mayHaveHedgeDue;

    boolean isFirstStepWhole;
    boolean hasEnded;

    /** Sort key, valid only while the router sorts multigets. */
    double priority;

    Multiget(
            QueryRouter router,
            int ref,
            int product,
            Settings.Product productSettings,
            RetryPolicy retryPolicy,
            double revenue,
            Time quotedDeadline,
            Time deadline) {
        this.router = router;
        this.ref = ref;
        this.product = product;
        this.productSettings = productSettings;
        this.retryPolicy = retryPolicy;
        this.revenue = revenue;
        this.quotedDeadline = quotedDeadline;
        this.deadline = deadline;
    }

    /** Whether no step follows the next answer: false for the first of two steps. */
    public boolean nextAnswerIsFinal() {
        return step > 1 || productSettings.secondStep() == 0;
    }

    /**
     * Adds a part to the current step; does nothing after the end of the multiget.
     *
     * @param weight share of the whole answer that the part stands for
     * @param workHint expected work in milliseconds, 0 if unknown; it extends the quoted time
     */
    public void addPart(int shard, double weight, double workHint) {
        if (!hasEnded) {
            parts.add(new Part(this, parts.size(), shard, weight));
            waitingParts++;
            totalWorkHint += workHint;
            quotedDeadline =
                    quotedDeadline.plus(
                            Span.ofMillis(workHint * productSettings.quotedTimePerWork()));
            router.partAdded();
        }
    }

    /** How often the part has been sent. */
    public int transmissionCount(int part) {
        return parts.get(part).transmissions.size();
    }

    /**
     * Reports the end of a transmission.
     *
     * @param part index of the part, in the order in which parts were added
     * @param transmission number of the part's transmission, counted from 0
     * @param took time since it was sent
     * @param load the node's own report of its load, or null
     */
    public void transmissionEnded(
            int part, int transmission, TransmissionOutcome outcome, Span took, NodeLoad load) {
        router.transmissionEnded(
                parts.get(part).transmissions.get(transmission), outcome, took, load);
    }

    /**
     * Reports that a transmission whose end was reported as {@link TransmissionOutcome#OK} is in
     * flight again, as its answer may not be sound.
     *
     * @return false if nothing has changed, as its answer was used already or was not needed
     */
    public boolean reopen(int part, int transmission) {
        return router.reopen(parts.get(part).transmissions.get(transmission));
    }

    /** Brings the deadline forward: the final answer is given by this time at the latest. */
    public void limitDeadline(Time latest) {
        deadline = latest.before(deadline) ? latest : deadline;
    }

    /** Reports that the client no longer waits: the multiget is closed without an answer. */
    public void clientLeft() {
        if (!hasEnded) {
            router.close(this);
        }
    }

    List<Part> stepParts() {
        return parts.subList(firstPartOfStep, parts.size());
    }

    boolean allAnswered() {
        return parts.size() > firstPartOfStep && answeredParts == parts.size() - firstPartOfStep;
    }

    /** Whether no part of the current step is in flight without being answered. */
    boolean restIsWaiting() {
        return answeredParts + waitingParts == parts.size() - firstPartOfStep;
    }

    /**
     * Changes the number of waiting parts. Parts of an earlier step no longer count, though their
     * transmissions may still end.
     */
    void adjustWaitingParts(Part part, int delta) {
        waitingParts += part.index >= firstPartOfStep ? delta : 0;
    }

    void partAnswered(Part part, TransmissionState transmission) {
        part.isAnswered = true;
        part.answeredBy = transmission;
        adjustWaitingParts(part, part.inFlight == 0 ? -1 : 0);
        if (part.index >= firstPartOfStep) {
            answeredParts++;
            answeredWeight += part.weight;
        }
    }

    /** Takes back {@link #partAnswered}. */
    void partReopened(Part part) {
        part.isAnswered = false;
        part.answeredBy = null;
        adjustWaitingParts(part, part.inFlight == 0 ? 1 : 0);
        answeredParts--;
        answeredWeight -= part.weight;
    }

    void startNextStep(boolean isWhole) {
        isFirstStepWhole = isWhole;
        assignments.clear();
        step++;
        firstPartOfStep = parts.size();
        answeredParts = 0;
        answeredWeight = 0;
        waitingParts = 0;
    }
}
