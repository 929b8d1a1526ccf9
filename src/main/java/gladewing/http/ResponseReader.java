package gladewing.http;

import gladewing.buffer.ConnectionBuffer;
import io.netty.buffer.ByteBuf;

/**
 * Reads the responses on a connection whose client sends one request at a time, so that nothing may
 * follow a response. Bytes that do show that its length is wrong, or that a response came twice:
 * neither it nor a later one can be told from what follows.
 */
public final class ResponseReader {
    private static final String OK = "HTTP/1\\.[01] 200( .*)?";

    /** What has been read so far. */
    public enum Progress {
        /** More bytes are needed. */
        INCOMPLETE,
        /** A response with status 200 is complete, and nothing has arrived behind it. */
        OK,
        /** No response, or none that can be used; nothing more can be read. */
        FAILED
    }

    private final ConnectionBuffer buffer;
    private final MessageReader reader;
    private boolean isOversized;
    private String failure;

    /**
     * @param maxBodyBytes limit on the body of a response
     */
    public ResponseReader(int maxBodyBytes) {
        buffer = new ConnectionBuffer(MessageReader.maxBufferedBytes(maxBodyBytes));
        reader = new MessageReader(maxBodyBytes);
    }

    /** Takes over and releases bytes that have arrived. */
    public void append(ByteBuf bytes) {
        try {
            isOversized |= !buffer.append(bytes);
        } finally {
            bytes.release();
        }
    }

    /** Judges what has arrived; called once the socket holds nothing more. */
    public Progress read() {
        MessageReader.Progress progress =
                isOversized ? MessageReader.Progress.INVALID : reader.read(buffer);
        if (progress == MessageReader.Progress.INCOMPLETE) {
            return Progress.INCOMPLETE;
        }
        if (progress == MessageReader.Progress.INVALID) {
            failure = "malformed or oversized response";
        } else if (!reader.startLine().matches(OK)) {
            failure = "unexpected response: " + reader.startLine();
        } else if (!holdsOnlyLineEnds()) {
            failure = "bytes that belong to no response";
        } else {
            return Progress.OK;
        }
        return Progress.FAILED;
    }

    /** Some servers send the end of a line after a body. */
    private boolean holdsOnlyLineEnds() {
        for (int i = 0; i < buffer.size(); i++) {
            if (buffer.byteAt(i) != '\r' && buffer.byteAt(i) != '\n') {
                return false;
            }
        }
        return true;
    }

    /** How much memory the response takes that is not complete, in bytes. */
    public long heldBytes() {
        return (long) buffer.capacity() + reader.heldBytes();
    }

    /** Why nothing more can be read; null before that. */
    public String failure() {
        return failure;
    }

    /** The body of the response that is complete. */
    public byte[] body() {
        return reader.body();
    }

    /** Whether another request may follow the response that is complete. */
    public boolean isKeepAlive() {
        return reader.isKeepAlive();
    }

    /** Discards the response that is complete. */
    public void startNextResponse() {
        buffer.skip(buffer.size());
        reader.startNextMessage();
    }
}
