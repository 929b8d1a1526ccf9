package gladewing.sessionpolicy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks the message numbers of one session, and buffers messages for shards that have no usable
 * connection. No message is sent twice. Messages that may have been lost are reported by number, so
 * that both ends can recover.
 */
public final class MessageTracker {
    /**
     * What to do with a message from the client: send it now, nothing as it is buffered, or end the
     * session because the buffer is full or the number is not the next.
     */
    public enum ClientMessageResult {
        SEND,
        BUFFERED,
        BUFFER_FULL,
        OUT_OF_ORDER
    }

    /**
     * What to do with a message from a node: forward it, drop it as a duplicate, or forward it and
     * report a gap in the numbers before it.
     */
    public enum NodeMessageResult {
        FORWARD,
        DUPLICATE,
        GAP
    }

    /** A message from the client; the text is its data. */
    public record Message(long number, String text) {}

    /** Range of numbers that may have been lost: greater than after, up to and including to. */
    public record LostRange(long after, long to) {}

    /** Limit of the characters that all sessions together may buffer, and their current number. */
    public static final class BufferBudget {
        private final long maxBytes;
        private long bytes;

        /**
         * @param maxBytes limit for the sum over all sessions
         */
        public BufferBudget(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        /** Returns how much all sessions have buffered. */
        public long bytes() {
            return bytes;
        }
    }

    private static final class ShardState {
        /** Last number accepted from the client. */
        long lastFromClient;

        /** Last number sent to a node. */
        long lastSent;

        /** Last number that a node acknowledged, or that was reported as lost. */
        long lastAcknowledged;

        /** Last number forwarded to the client. */
        long lastToClient;

        final Deque<Message> buffered = new ArrayDeque<>();
    }

    private final ShardState[] shardStates;
    private final BufferBudget total;
    private final int maxBytes;
    private int bytes;

    /**
     * @param shards number of shards of the session
     * @param maxBytes limit for the data that this session may buffer, in characters of its text
     * @param total shared limit of all sessions
     */
    public MessageTracker(int shards, int maxBytes, BufferBudget total) {
        this.maxBytes = maxBytes;
        this.total = total;
        shardStates = new ShardState[shards];
        for (int i = 0; i < shards; i++) {
            shardStates[i] = new ShardState();
        }
    }

    /**
     * Accepts a message from the client. The numbers of each shard start at 1 and increase by one.
     *
     * @param canSend whether the shard has a connection that can take the message now
     */
    public ClientMessageResult acceptFromClient(
            int shardIndex, long number, String text, boolean canSend) {
        ShardState shard = shardStates[shardIndex];
        if (number != shard.lastFromClient + 1) {
            return ClientMessageResult.OUT_OF_ORDER;
        }
        if (canSend && shard.buffered.isEmpty()) {
            shard.lastFromClient = number;
            shard.lastSent = number;
            return ClientMessageResult.SEND;
        }
        if (bytes + text.length() > maxBytes || total.bytes + text.length() > total.maxBytes) {
            return ClientMessageResult.BUFFER_FULL;
        }
        shard.lastFromClient = number;
        shard.buffered.add(new Message(number, text));
        bytes += text.length();
        total.bytes += text.length();
        return ClientMessageResult.BUFFERED;
    }

    /**
     * Removes and returns all buffered messages of a shard, in their order. The caller must send
     * them.
     */
    public List<Message> takeBuffered(int shardIndex) {
        ShardState shard = shardStates[shardIndex];
        List<Message> messages = new ArrayList<>(shard.buffered);
        for (Message message : messages) {
            bytes -= message.text.length();
            total.bytes -= message.text.length();
            shard.lastSent = message.number;
        }
        shard.buffered.clear();
        return messages;
    }

    /**
     * Records that a node has received the messages of a shard up to a number. Returns false if
     * that number was not sent.
     */
    public boolean acknowledge(int shardIndex, long number) {
        ShardState shard = shardStates[shardIndex];
        if (number > shard.lastSent) {
            return false;
        }
        shard.lastAcknowledged = Math.max(shard.lastAcknowledged, number);
        return true;
    }

    /**
     * Returns the messages that were sent on the ended connection of the shard and not
     * acknowledged, or null if there are none. They are returned only once.
     */
    public LostRange takeLost(int shardIndex) {
        ShardState shard = shardStates[shardIndex];
        LostRange lost =
                shard.lastAcknowledged < shard.lastSent
                        ? new LostRange(shard.lastAcknowledged, shard.lastSent)
                        : null;
        shard.lastAcknowledged = shard.lastSent;
        return lost;
    }

    /**
     * Accepts the number of a message from a node to the client. The numbers of each shard start at
     * 1 and increase by one, across all its connections.
     */
    public NodeMessageResult acceptFromNode(int shardIndex, long number) {
        ShardState shard = shardStates[shardIndex];
        if (number <= shard.lastToClient) {
            return NodeMessageResult.DUPLICATE;
        }
        NodeMessageResult result =
                number == shard.lastToClient + 1
                        ? NodeMessageResult.FORWARD
                        : NodeMessageResult.GAP;
        shard.lastToClient = number;
        return result;
    }

    /** Returns the last message number of the shard that was forwarded to the client. */
    public long lastToClient(int shardIndex) {
        return shardStates[shardIndex].lastToClient;
    }

    /** Returns the last message number of the client that was sent to a node of the shard. */
    public long lastSent(int shardIndex) {
        return shardStates[shardIndex].lastSent;
    }

    /** Drops all buffered messages; the session has ended. */
    public void clear() {
        for (int i = 0; i < shardStates.length; i++) {
            total.bytes -= shardStates[i].buffered.stream().mapToInt(m -> m.text.length()).sum();
            shardStates[i].buffered.clear();
        }
        bytes = 0;
    }
}
