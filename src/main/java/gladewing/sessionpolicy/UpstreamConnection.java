package gladewing.sessionpolicy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A WebSocket connection to a data node that serves some shards of one session. {@link
 * SessionPlanner} changes its state.
 */
public final class UpstreamConnection {
    enum State {
        OPENING,
        OPEN,
        /** A close handshake was started; nothing more may be sent. */
        CLOSING,
        ENDED
    }

    public final Session session;

    /** Name of the data node. */
    public final String node;

    /** Positions of its shards in {@link Session#shards}. */
    final int[] shardIndexes;

    State state = State.OPENING;

    /**
     * Load that it adds to its node. It is recorded at the open, as the setting may change before
     * the end.
     */
    double weight;

    /**
     * Connections that served some of its shards before and have not ended. Nothing is sent until
     * all have ended, so that messages keep their order.
     */
    final Set<UpstreamConnection> predecessors = new LinkedHashSet<>();

    UpstreamConnection(Session session, String node, int[] shardIndexes) {
        this.session = session;
        this.node = node;
        this.shardIndexes = shardIndexes;
    }

    /** Returns the number of shards that the connection serves. */
    public int shardCount() {
        return shardIndexes.length;
    }

    /** Returns the position in the session of the i-th shard of this connection. */
    public int shardIndex(int i) {
        return shardIndexes[i];
    }

    /**
     * Returns whether messages may be sent: the connection is open, it is not being closed, and all
     * its predecessors have ended.
     */
    public boolean canSend() {
        return state == State.OPEN && predecessors.isEmpty();
    }

    /** Returns whether the connection has ended, so that nothing more can be received on it. */
    public boolean isEnded() {
        return state == State.ENDED;
    }
}
