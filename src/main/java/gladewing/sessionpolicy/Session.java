package gladewing.sessionpolicy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A long-lived session of a client: the shards that it uses and the upstream connections that serve
 * them. Only {@link SessionPlanner} changes it.
 */
public final class Session {
    enum State {
        /** The client has not been answered, as not all shards are connected. */
        WAITING,
        OPEN,
        ENDED
    }

    /** Index of the product. */
    public final int product;

    /** Index of the tenant; the number of tenants if the client names none or an unknown one. */
    public final int tenant;

    final double revenue;
    final int[] shards;

    /** Connection that serves each shard, by position of the shard; null for none. */
    final UpstreamConnection[] active;

    /** Connection that is being opened for each shard, by position of the shard; null for none. */
    final UpstreamConnection[] pending;

    final Set<UpstreamConnection> connections = new LinkedHashSet<>();

    /** Order of the request among all sessions. */
    final long number;

    /** When the client requested the session, in microseconds. */
    final long requestedAt;

    State state = State.WAITING;

    /**
     * Since when at least one shard of the open session has had no connection, in microseconds; -1
     * while all have one.
     */
    long parkedAt = -1;

    /** Connections that failed since the last one was opened. */
    int consecutiveFailures;

    /** Earliest time of the next attempt to connect, in microseconds. */
    long retryAt;

    Session(long number, int product, int tenant, double revenue, int[] shards, long requestedAt) {
        this.number = number;
        this.product = product;
        this.tenant = tenant;
        this.revenue = revenue;
        this.shards = shards;
        this.requestedAt = requestedAt;
        active = new UpstreamConnection[shards.length];
        pending = new UpstreamConnection[shards.length];
    }

    /** Returns the number of shards that the session uses. */
    public int shardCount() {
        return shards.length;
    }

    /** Returns the shard at a position in the session. */
    public int shard(int shardIndex) {
        return shards[shardIndex];
    }

    /** Returns whether the session was refused, was closed, or has lost its client. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Returns whether the upgrade of the client was accepted and the session has not ended. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /**
     * Returns the connection on which a message to the shard is sent now; null if it must be
     * buffered.
     */
    public UpstreamConnection sendTarget(int shardIndex) {
        UpstreamConnection connection = active[shardIndex];
        return connection != null && connection.canSend() ? connection : null;
    }
}
