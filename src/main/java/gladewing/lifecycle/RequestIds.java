package gladewing.lifecycle;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a request may begin under its id. Clients choose the ids, and the ids of parts
 * are made of them, so that two requests with one id could not be told apart by data nodes: not
 * while both run, and not after the first has ended as long as parts of it may still run, or must
 * not run again.
 */
public final class RequestIds {
    /** What is known of the transmissions of a request that has ended. */
    public enum Trace {
        /** Nothing has run, by all that is known. */
        NOT_RUN,
        /** Some of it has run, and nothing runs any more. */
        RUN,
        /** Some of it may still run. */
        MAY_RUN
    }

    /** Ids of requests that have not ended, or of which transmissions are awaited. */
    private final Set<String> inUse = new HashSet<>();

    /**
     * Ids of requests that must not run again. Those of once-only products stand apart, so that
     * others can't push them out.
     */
    private final UsedIds onceOnly;

    private final UsedIds abandoned;

    /**
     * @param seed of the hashes under which ids are remembered; secret
     */
    public RequestIds(long seed) {
        onceOnly = new UsedIds(seed);
        abandoned = new UsedIds(seed);
    }

    /** Whether a request may begin under this id, which is in use from then on. */
    public boolean begin(String id) {
        return !onceOnly.contains(id) && !abandoned.contains(id) && inUse.add(id);
    }

    /** A request that was refused before anything of it was sent has ended. */
    public void refused(String id) {
        inUse.remove(id);
    }

    /**
     * A request has ended, and none of its transmissions is awaited any more.
     *
     * @param isRepeatable whether its product may run again
     */
    public void ended(String id, boolean isRepeatable, Trace trace) {
        inUse.remove(id);
        if (!isRepeatable && trace != Trace.NOT_RUN) {
            onceOnly.add(id);
        } else if (trace == Trace.MAY_RUN) {
            abandoned.add(id);
        }
    }

    /** How many ids are in use. */
    public int inUse() {
        return inUse.size();
    }
}
