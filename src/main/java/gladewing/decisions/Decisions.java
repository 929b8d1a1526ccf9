package gladewing.decisions;

import gladewing.router.Multiget;
import gladewing.router.NodeLoad;
import gladewing.router.Port;
import gladewing.router.QueryRouter;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A facade of {@link QueryRouter} for a server: each call returns the {@link Actions} that result
 * from it, rather than calling back. A turn starts with {@link #beginTurn} and ends with {@link
 * #endTurn}, which decides what to send; the calls between them accept multigets and report events.
 * The facade translates between the names of data nodes and the router's indices, and decides
 * nothing itself.
 *
 * <p>The returned actions are valid until the next call.
 */
public final class Decisions {
    private final QueryRouter router;
    private final NodeTable<String> nodes;

    /** By the router's reference; null where the reference is free. */
    private final List<AcceptedMultiget> multigets = new ArrayList<>();

    /** By the same reference: all transmissions of the multiget. */
    private final List<List<Transmission>> transmissions = new ArrayList<>();

    private final Actions actions = new Actions();
    private boolean isTimerDue;

    /**
     * Creates a facade of a new router without data nodes; the seed is that of its random choices.
     */
    public Decisions(Settings settings, long seed, Time now) {
        router = new QueryRouter(settings, seed, new ActionRecorder(), now);
        nodes = new NodeTable<>(router);
    }

    /** Begins a turn at the given time. */
    public void beginTurn(Time now) {
        router.beginTurn(now);
    }

    /** Reports that the delay of {@link Actions#timerDelay} has passed. */
    public void timerFired() {
        isTimerDue = true;
    }

    /** Accepts a multiget; from now on it is owed exactly one final answer. */
    public Actions accept(AcceptedMultiget multiget) {
        actions.clear();
        multiget.ref = NodeTable.freeIndex(multigets);
        multigets.set(multiget.ref, multiget);
        while (transmissions.size() < multigets.size()) {
            transmissions.add(new ArrayList<>());
        }
        multiget.handle =
                multiget.retryPolicy == null
                        ? router.accept(
                                multiget.ref,
                                multiget.product,
                                multiget.tenant,
                                multiget.timeLeft,
                                multiget.isClientRetry)
                        : router.accept(
                                multiget.ref,
                                multiget.product,
                                multiget.tenant,
                                multiget.timeLeft,
                                multiget.isClientRetry,
                                multiget.retryPolicy);
        for (AcceptedMultiget.Part part : multiget.parts) {
            multiget.handle.addPart(part.shard(), part.weight(), part.workHint().millis());
        }
        return actions;
    }

    /**
     * Reports the end of a transmission.
     *
     * @param value the part's value, or null without one
     * @param load the node's report of its load, or null
     */
    public Actions transmissionEnded(
            Transmission transmission, CallResult result, Span took, String value, NodeLoad load) {
        actions.clear();
        if (result == CallResult.ANSWERED) {
            transmission.multiget.recordValue(transmission.part, value);
        }
        transmission.multiget.inFlight--;
        transmission.multiget.recordEnd(result);
        transmission.multiget.handle.transmissionEnded(
                transmission.part, transmission.number, result.outcome, took, load);
        releaseNodeIndex(transmission);
        freeIfFinished(transmission.multiget);
        return actions;
    }

    /**
     * Reports that the answer to a transmission may not be sound, although its end was reported:
     * the transmission is in flight again, and its end will be reported once more.
     *
     * @return the value that is dropped; null if nothing has changed, as the answer was used
     *     already or was not needed
     */
    public String reopen(Transmission transmission) {
        AcceptedMultiget multiget = transmission.multiget;
        if (multiget.hasEnded || !multiget.handle.reopen(transmission.part, transmission.number)) {
            return null;
        }
        multiget.inFlight++;
        acquireNodeIndex(transmission);
        return multiget.dropValue(transmission.part);
    }

    /** Holds the node's index again, unless the node has gone and lost its index meanwhile. */
    private void acquireNodeIndex(Transmission transmission) {
        Integer index = nodes.indexOf(transmission.node);
        if (index != null && index == transmission.nodeIndex) {
            nodes.acquire(index);
            transmission.holdsNodeIndex = true;
        }
    }

    private void releaseNodeIndex(Transmission transmission) {
        if (transmission.holdsNodeIndex) {
            transmission.holdsNodeIndex = false;
            nodes.release(transmission.nodeIndex);
        }
    }

    /** Reports the end of a probe; each probe must be reported exactly once. */
    public Actions probeEnded(String node, CallResult result, NodeLoad load) {
        actions.clear();
        int index = nodes.indexOf(node);
        router.probeEnded(index, result.outcome, load);
        nodes.release(index);
        return actions;
    }

    /** Reports that a multiget's client has left, so that no answer is owed any more. */
    public Actions clientLeft(AcceptedMultiget multiget) {
        actions.clear();
        if (!multiget.hasEnded) {
            multiget.hasEnded = true;
            multiget.handle.clientLeft();
            freeIfFinished(multiget);
        }
        return actions;
    }

    /** As {@link #limitDeadlines}, for one multiget. */
    public void limitDeadline(AcceptedMultiget multiget, Time latest) {
        if (!multiget.hasEnded) {
            multiget.handle.limitDeadline(latest);
        }
    }

    /**
     * Brings the deadlines of all open multigets forward to the given time: by then they have their
     * final answers, and none of their parts is sent afterwards.
     */
    public void limitDeadlines(Time latest) {
        for (AcceptedMultiget multiget : multigets) {
            if (multiget != null) {
                multiget.handle.limitDeadline(latest);
            }
        }
    }

    /**
     * Reports a node list.
     *
     * @param isWhole whether nodes that are not in it are gone; otherwise it holds changes only
     */
    public Actions nodeListReceived(boolean isWhole, List<NodeTable.Entry<String>> entries) {
        actions.clear();
        nodes.update(isWhole, entries);
        return actions;
    }

    /** Reports that a request for the node list has failed. */
    public Actions nodeListFailed() {
        actions.clear();
        router.nodeListFailed();
        return actions;
    }

    /** Ends the turn: with all its events known, decides what to send. */
    public Actions endTurn() {
        actions.clear();
        if (isTimerDue) {
            isTimerDue = false;
            router.timerFired();
        }
        router.endTurn();
        return actions;
    }

    /**
     * Chooses a node for each shard of a long-lived session, by the rules for parts of a multiget.
     * Nothing is sent.
     *
     * @param excludedNodes names of nodes that must not be chosen; unknown ones are ignored
     * @return node names in the order of the shards; null where no node is usable and ready
     */
    public String[] placeSession(int product, Collection<String> excludedNodes, int... shards) {
        Set<Integer> excludedIndices = new HashSet<>();
        for (String node : excludedNodes) {
            if (nodes.indexOf(node) != null) {
                excludedIndices.add(nodes.indexOf(node));
            }
        }
        int[] indices = router.placeSession(product, excludedIndices, shards);
        String[] names = new String[indices.length];
        for (int i = 0; i < indices.length; i++) {
            names[i] = indices[i] < 0 ? null : nodes.idAt(indices[i]);
        }
        return names;
    }

    /**
     * Reports that a leg of a session was opened at the node, or has ended there.
     *
     * @param delta change of its load, in units of concurrent parts; negative for an end
     */
    public void adjustSessionLoad(String node, double delta) {
        Integer index = nodes.indexOf(node);
        if (index != null) {
            router.adjustSessionLoad(index, delta);
        }
    }

    /** Reports that a leg of a session could not be opened at the node, or broke. */
    public void sessionFailed(String node) {
        Integer index = nodes.indexOf(node);
        if (index != null) {
            router.sessionFailed(index);
        }
    }

    /** Number of multigets without their final answer, by product. */
    public int[] openByProduct(int products) {
        int[] count = new int[products];
        for (AcceptedMultiget multiget : multigets) {
            if (multiget != null && !multiget.hasEnded) {
                count[multiget.product]++;
            }
        }
        return count;
    }

    private void freeIfFinished(AcceptedMultiget multiget) {
        if (multiget.hasEnded
                && multiget.inFlight == 0
                && multigets.get(multiget.ref) == multiget) {
            multigets.set(multiget.ref, null);
            transmissions.get(multiget.ref).clear();
            multiget.settled();
        }
    }

    private void recordFinalAnswer(AcceptedMultiget multiget, Actions.Kind kind, Span retryAfter) {
        multiget.hasEnded = true;
        actions.finalAnswers.add(new Actions.FinalAnswer(multiget, kind, retryAfter));
        freeIfFinished(multiget);
    }

    /** Records what the router does as actions for the caller. */
    private final class ActionRecorder implements Port {
        @Override
        public void transmit(Multiget multiget, int part, int node, Span timeout) {
            AcceptedMultiget accepted = multigets.get(multiget.ref);
            accepted.inFlight++;
            Transmission transmission =
                    new Transmission(
                            accepted,
                            part,
                            nodes.acquire(node),
                            timeout,
                            multiget.transmissionCount(part) - 1,
                            node);
            transmissions.get(multiget.ref).add(transmission);
            actions.transmissions.add(transmission);
        }

        @Override
        public void withdraw(Multiget multiget, int part, int transmission) {
            for (Transmission t : transmissions.get(multiget.ref)) {
                if (t.part == part && t.number == transmission) {
                    actions.withdrawals.add(t);
                }
            }
        }

        @Override
        public void answer(Multiget multiget, boolean isWhole) {
            recordFinalAnswer(
                    multigets.get(multiget.ref),
                    isWhole ? Actions.Kind.WHOLE : Actions.Kind.PARTIAL,
                    Span.ZERO);
        }

        @Override
        public void dismiss(Multiget multiget, Span retryAfter) {
            recordFinalAnswer(multigets.get(multiget.ref), Actions.Kind.DISMISSED, retryAfter);
        }

        @Override
        public void giveUp(Multiget multiget) {
            recordFinalAnswer(multigets.get(multiget.ref), Actions.Kind.GIVEN_UP, Span.ZERO);
        }

        @Override
        public void probe(int node) {
            actions.probes.add(nodes.acquire(node));
        }

        @Override
        public void watchNodeList() {
            // The caller watches the node list all the time.
        }

        @Override
        public void startTimer(Span delay) {
            actions.timerDelay = delay;
        }
    }
}
