package gladewing.decisions;

import gladewing.router.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * What the caller of {@link Decisions} is to do after one call. The lists are reused by the next
 * call.
 */
public final class Actions {
    /**
     * A final answer to a multiget's client.
     *
     * @param retryAfter for a dismissal, when the client may come back; otherwise zero
     */
    public record FinalAnswer(AcceptedMultiget multiget, Kind kind, Span retryAfter) {}

    /** The kind of a final answer. */
    public enum Kind {
        WHOLE,
        PARTIAL,
        /** Refused, with the assurance that repeating the request is harmless. */
        DISMISSED,
        /** Ended without saying whether anything was run. */
        GIVEN_UP
    }

    public final List<FinalAnswer> finalAnswers = new ArrayList<>();

    /** Transmissions to be cancelled. */
    public final List<Transmission> withdrawals = new ArrayList<>();

    public final List<Transmission> transmissions = new ArrayList<>();

    /** Names of the nodes to be probed. */
    public final List<String> probes = new ArrayList<>();

    /**
     * Delay from now after which {@link Decisions#timerFired} is to be called; null if the earlier
     * timer stays in force.
     */
    public Span timerDelay;

    void clear() {
        finalAnswers.clear();
        withdrawals.clear();
        transmissions.clear();
        probes.clear();
        timerDelay = null;
    }
}
