package gladewing.sessionsockets;

import gladewing.buffer.ConnectionBuffer;
import gladewing.lifecycle.MemoryHolder;
import gladewing.lifecycle.MemoryLimit;
import gladewing.router.Time;
import gladewing.websocket.MessageDecoder;

/** What one connection of a session holds of a message that is not complete. */
final class PartialMessage implements MemoryHolder {
    private final MemoryLimit limit;
    private final Runnable drop;
    private long countedBytes;

    /** Since when there has been an incomplete message; null if there is none. */
    private Time since;

    /**
     * @param drop ends the connection or its session, and drops the message
     */
    PartialMessage(MemoryLimit limit, Runnable drop) {
        this.limit = limit;
        this.drop = drop;
    }

    /** Updates the count after a read. */
    void update(ConnectionBuffer in, MessageDecoder decoder, Time now) {
        if (decoder.hasPartialMessage(in)) {
            count((long) in.capacity() + decoder.heldBytes());
            since = since == null ? now : since;
        } else {
            clear();
        }
    }

    /** Counts nothing any more, as the message is dropped or complete. */
    void clear() {
        count(0);
        since = null;
    }

    private void count(long bytes) {
        limit.adjust(bytes - countedBytes);
        countedBytes = bytes;
    }

    @Override
    public long releasableBytes() {
        return countedBytes;
    }

    @Override
    public Time heldSince() {
        return since;
    }

    @Override
    public void giveWay() {
        clear();
        drop.run();
    }
}
