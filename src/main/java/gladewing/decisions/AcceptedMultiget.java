package gladewing.decisions;

import gladewing.router.Multiget;
import gladewing.router.RetryPolicy;
import gladewing.router.Span;
import java.util.List;

/**
 * A multiget that was accepted from a client: what the client asked for, and the values that have
 * arrived. Subclasses implement how the client is answered.
 */
public abstract class AcceptedMultiget {
    /**
     * One part as the client asked for it.
     *
     * @param weight share of the whole answer that it stands for
     * @param workHint expected work, zero if unknown
     */
    public record Part(int shard, double weight, Span workHint) {}

    public final String id;
    public final int product;

    /** Index into the settings' tenants, or their number for an unknown tenant or none. */
    public final int tenant;

    /** Time until the client stops waiting, counted from the acceptance. */
    public final Span timeLeft;

    /** Whether the client has marked the request as a repetition. */
    public final boolean isClientRetry;

    public final List<Part> parts;

    /** How its parts are retried; null for the router's default. */
    public final RetryPolicy retryPolicy;

    /** Null once the multiget has been released. */
    private byte[] payload;

    /** By part; null once the multiget has been released. */
    private String[] values;

    private long heldBytes;
    int ref;
    Multiget handle;
    boolean hasEnded;

    /** Transmissions that have not ended. */
    int inFlight;

    private boolean mayHaveRun;
    private boolean mayStillRun;

    protected AcceptedMultiget(
            String id,
            int product,
            int tenant,
            Span timeLeft,
            boolean isClientRetry,
            List<Part> parts,
            byte[] payload) {
        this(id, product, tenant, timeLeft, isClientRetry, parts, payload, null);
    }

    protected AcceptedMultiget(
            String id,
            int product,
            int tenant,
            Span timeLeft,
            boolean isClientRetry,
            List<Part> parts,
            byte[] payload,
            RetryPolicy retryPolicy) {
        this.retryPolicy = retryPolicy;
        this.id = id;
        this.product = product;
        this.tenant = tenant;
        this.timeLeft = timeLeft;
        this.isClientRetry = isClientRetry;
        this.parts = parts;
        this.payload = payload;
        this.values = new String[parts.size()];
        this.heldBytes = payload.length;
    }

    /**
     * Bytes that each transmission of a part carries unchanged. Not to be called after {@link
     * #release}, when nothing is sent any more.
     */
    public final byte[] payload() {
        return payload;
    }

    /** The value of a part as its data node returned it, or null while it is missing. */
    public final String value(int part) {
        return values == null ? null : values[part];
    }

    /** Stores the value of a part unless it has one or the multiget has ended. */
    final void recordValue(int part, String value) {
        if (!hasEnded && values[part] == null) {
            values[part] = value;
            heldBytes += valueBytes(value);
        }
    }

    /** Drops the value of a part, which may not be sound; returns it. */
    final String dropValue(int part) {
        String value = values[part];
        values[part] = null;
        heldBytes -= valueBytes(value);
        return value;
    }

    /** The most memory that a value takes, in bytes. */
    public static long valueBytes(String value) {
        return (long) Character.BYTES * value.length();
    }

    /** How much memory the payload and the values take, in bytes. */
    public final long heldBytes() {
        return heldBytes;
    }

    /**
     * Drops the payload and the values. Called after the end, as transmissions that nodes may still
     * answer refer to the multiget for longer.
     */
    public final void release() {
        payload = null;
        values = null;
        heldBytes = 0;
    }

    /** Whether the final answer was given or the client has left. */
    public final boolean hasEnded() {
        return hasEnded;
    }

    /** Records how one of its transmissions has ended. */
    final void recordEnd(CallResult result) {
        mayHaveRun |= result.mayHaveRun();
        mayStillRun |= result.mayStillRun();
    }

    /** Whether a data node may have run a part of it, by the transmissions that have ended. */
    public final boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether a data node may still run a part of it, although its transmission has ended. */
    public final boolean mayStillRun() {
        return mayStillRun;
    }

    /** Called once: the multiget has ended, and so have all of its transmissions. */
    public void settled() {}

    /** Called last: the multiget is answered with the values that have arrived. */
    public abstract void answered(boolean isWhole);

    /**
     * Called last: the multiget is refused, and repeating it is harmless.
     *
     * @param retryAfter when the client may come back, or zero to say nothing of that
     */
    public abstract void dismissed(Span retryAfter);

    /** Called last: the multiget ends without saying whether anything of it was run. */
    public abstract void givenUp();
}
