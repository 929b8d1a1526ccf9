package gladewing.sessionsockets;

import gladewing.buffer.ConnectionBuffer;
import gladewing.lifecycle.MemoryLimit;
import gladewing.router.Time;
import gladewing.websocket.MessageDecoder;

/** Counts what one connection of a session holds of a message that is not complete. */
final class PartialMessage {
    private final MemoryLimit limit;
    private long countedBytes;

    /** Since when there has been an incomplete message; null if there is none. */
    private Time since;

    PartialMessage(MemoryLimit limit) {
        this.limit = limit;
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

    /** In bytes. */
    long size() {
        return countedBytes;
    }

    Time since() {
        return since;
    }
}
