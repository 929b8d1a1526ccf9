package gladewing.control;

import gladewing.buffer.ConnectionBuffer;
import java.io.ByteArrayOutputStream;
import java.util.Locale;

/**
 * Reads the control service's response to a watch request: an HTTP head, followed by a chunked body
 * that normally never ends, in which each line is one message. The memory held for an incomplete
 * line is bounded.
 */
final class ChunkedLineReader {
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_SIZE_LINE_BYTES = 256;

    enum Progress {
        /** More bytes have to be received first. */
        MORE,
        /** A line is complete. */
        LINE,
        /** The response has ended. */
        ENDED,
        /** The response can't be read; nothing more is read from it. */
        UNUSABLE
    }

    private enum State {
        STATUS,
        HEADERS,
        SIZE,
        DATA,
        DATA_END,
        ENDED,
        UNUSABLE
    }

    private final int maxLineBytes;
    private State state = State.STATUS;
    private int headBytes;
    private boolean chunked;
    private int chunkBytesLeft;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private byte[] completeLine;
    private String fault = "";

    ChunkedLineReader(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Reads on until a line is complete or the buffer holds nothing more to read. */
    Progress read(ConnectionBuffer in) {
        completeLine = null;
        while (state != State.ENDED && state != State.UNUSABLE) {
            if (!step(in)) {
                return Progress.MORE;
            }
            if (completeLine != null) {
                return Progress.LINE;
            }
        }
        return state == State.ENDED ? Progress.ENDED : Progress.UNUSABLE;
    }

    /** The line that was read, without its line feed; valid after {@link Progress#LINE}. */
    byte[] line() {
        return completeLine;
    }

    /** Why the response can't be read, after {@link Progress#UNUSABLE}. */
    String fault() {
        return fault;
    }

    /** Whether part of a line has been received and its end has not. */
    boolean hasPartialLine() {
        return partialLine.size() > 0;
    }

    /** Ends the reading; always returns true, as {@link #step} needs no more bytes then. */
    private boolean unusable(String why) {
        fault = why;
        state = State.UNUSABLE;
        return true;
    }

    /** Returns false if more bytes are needed to make progress. */
    private boolean step(ConnectionBuffer in) {
        return switch (state) {
            case STATUS, HEADERS -> readHeadLine(in);
            case SIZE -> readChunkSize(in);
            case DATA -> readData(in);
            default -> readChunkEnd(in);
        };
    }

    /** Returns null while the line's end has not been received, or if the line is too long. */
    private String readTextLine(ConnectionBuffer in, int maxBytes) {
        int end = in.indexOf((byte) '\n', 0);
        if (end < 0 || end > maxBytes) {
            if (end > maxBytes || in.size() > maxBytes) {
                unusable("a head line or chunk-size line is longer than " + maxBytes + " bytes");
            }
            return null;
        }
        String text = in.latin1Text(0, end > 0 && in.byteAt(end - 1) == '\r' ? end - 1 : end);
        in.skip(end + 1);
        return text;
    }

    private boolean readHeadLine(ConnectionBuffer in) {
        String text = readTextLine(in, MAX_HEAD_BYTES);
        if (text == null) {
            return state == State.UNUSABLE;
        }
        headBytes += text.length();
        if (headBytes > MAX_HEAD_BYTES) {
            return unusable("the response head is longer than " + MAX_HEAD_BYTES + " bytes");
        }
        if (state == State.STATUS) {
            if (!text.startsWith("HTTP/1.1 200")) {
                return unusable(
                        "the control service responded with "
                                + (text.length() > 60 ? text.substring(0, 60) : text));
            }
            state = State.HEADERS;
        } else if (text.isEmpty()) {
            if (!chunked) {
                return unusable("the response body is not chunked");
            }
            state = State.SIZE;
        } else {
            String lower = text.toLowerCase(Locale.ROOT).replaceAll("\\s", "");
            chunked |= lower.equals("transfer-encoding:chunked");
        }
        return true;
    }

    private boolean readChunkSize(ConnectionBuffer in) {
        String text = readTextLine(in, MAX_SIZE_LINE_BYTES);
        if (text == null) {
            return state == State.UNUSABLE;
        }
        int end = text.indexOf(';');
        String size = (end < 0 ? text : text.substring(0, end)).strip();
        if (size.isEmpty()
                || size.length() > 7
                || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            return unusable("a chunk size is not a hexadecimal number of 1 to 7 digits");
        }
        chunkBytesLeft = Integer.parseInt(size, 16);
        state = chunkBytesLeft == 0 ? State.ENDED : State.DATA;
        return true;
    }

    private boolean readData(ConnectionBuffer in) {
        int available = Math.min(chunkBytesLeft, in.size());
        if (available == 0) {
            return false;
        }
        int end = in.indexOf((byte) '\n', 0);
        int lineBytes = end >= 0 && end < available ? end : available;
        if (partialLine.size() + lineBytes > maxLineBytes) {
            return unusable("a message is longer than " + maxLineBytes + " bytes");
        }
        partialLine.writeBytes(in.copy(0, lineBytes));
        boolean lineEnds = lineBytes < available;
        in.skip(lineEnds ? lineBytes + 1 : lineBytes);
        chunkBytesLeft -= lineEnds ? lineBytes + 1 : lineBytes;
        if (chunkBytesLeft == 0) {
            state = State.DATA_END;
        }
        if (lineEnds) {
            // An empty line is not a message.
            completeLine = partialLine.size() == 0 ? null : partialLine.toByteArray();
            partialLine.reset();
        }
        return true;
    }

    private boolean readChunkEnd(ConnectionBuffer in) {
        String text = readTextLine(in, MAX_SIZE_LINE_BYTES);
        if (text == null) {
            return state == State.UNUSABLE;
        }
        state = State.SIZE;
        return text.isEmpty() || unusable("a chunk does not end at its stated size");
    }
}
