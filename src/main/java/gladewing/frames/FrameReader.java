package gladewing.frames;

import gladewing.buffer.ConnectionBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads frames of the data node protocol from a connection's buffer. A frame is a length of four
 * bytes, least significant first, which counts what follows it: a type (one letter, see {@link
 * NodeFrames}) and a payload.
 */
public final class FrameReader {
    /**
     * The greatest length, in bytes, that a frame may give. A value has to fit into a response body
     * of 64 KiB, so a greater length comes from a broken or hostile node.
     */
    public static final int MAX_FRAME_LENGTH = 66 * 1024;

    /** The longest line before a value, with an id, a status, a score and a load report. */
    private static final int MAX_LINE_LENGTH = 2048;

    static final int LENGTH_BYTES = 4;

    /** What an attempt to read a frame came to. */
    public enum Progress {
        /** More bytes are needed. */
        INCOMPLETE,
        /** A frame was read. */
        FRAME,
        /** The bytes can't be a frame; the connection can't be read any further. */
        MALFORMED
    }

    private char type;
    private byte[] payload;

    /** Reads one frame and removes it from the buffer, if all of it has arrived. */
    public Progress read(ConnectionBuffer in) {
        long length = leastLength(in);
        if (length > MAX_FRAME_LENGTH) {
            return Progress.MALFORMED;
        }
        if (in.size() < LENGTH_BYTES) {
            return Progress.INCOMPLETE;
        }
        if (length < 1) {
            return Progress.MALFORMED;
        }
        if (in.size() < LENGTH_BYTES + length) {
            return mayBeFrameStart(in) ? Progress.INCOMPLETE : Progress.MALFORMED;
        }
        type = (char) (in.byteAt(LENGTH_BYTES) & 0xff);
        payload = in.copy(LENGTH_BYTES + 1, (int) length - 1);
        in.skip(LENGTH_BYTES + (int) length);
        return Progress.FRAME;
    }

    /** The length that the bytes give, or the least that they can give while some are missing. */
    private static long leastLength(ConnectionBuffer in) {
        long length = 0;
        for (int i = Math.min(LENGTH_BYTES, in.size()) - 1; i >= 0; i--) {
            length = length << 8 | in.byteAt(i) & 0xff;
        }
        return length;
    }

    /** Returns the type of a frame that has begun to arrive, or 0 while its type has not. */
    public static char startedType(ConnectionBuffer in) {
        return in.size() <= LENGTH_BYTES ? 0 : (char) (in.byteAt(LENGTH_BYTES) & 0xff);
    }

    /**
     * Returns what has arrived of the payload of a frame up to the end of its first line, without
     * that end, or null while the line is not complete.
     */
    public static byte[] startedLine(ConnectionBuffer in) {
        if (in.size() <= LENGTH_BYTES) {
            return null;
        }
        int lineStart = LENGTH_BYTES + 1;
        int lineEnd = in.indexOf((byte) '\n', lineStart);
        return lineEnd < 0 ? null : in.copy(lineStart, lineEnd - lineStart);
    }

    /**
     * Whether the bytes may be the start of a frame. Bytes that are not would otherwise be waited
     * on until the length that they seem to give has arrived, which may never happen.
     */
    private static boolean mayBeFrameStart(ConnectionBuffer in) {
        if (in.size() == LENGTH_BYTES) {
            return true;
        }
        char startedType = startedType(in);
        return NodeFrames.TYPES.indexOf(startedType) >= 0
                && (startedType != NodeFrames.ANSWER
                        || in.size() < MAX_LINE_LENGTH
                        || in.indexOf((byte) '\n', LENGTH_BYTES) >= 0);
    }

    /** Returns the type of the last frame that was read. */
    public char type() {
        return type;
    }

    /** Returns the payload of the last frame that was read. */
    public byte[] payload() {
        return payload;
    }

    /** Returns the payload of the last frame as UTF-8 text. */
    public String payloadText() {
        return new String(payload, StandardCharsets.UTF_8);
    }
}
