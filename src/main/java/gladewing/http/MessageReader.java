package gladewing.http;

import gladewing.buffer.ConnectionBuffer;
import java.util.Arrays;
import java.util.Locale;

/**
 * Parses HTTP/1.1 messages, requests or responses, one after the other from a connection's buffer.
 * The bytes may arrive in pieces of any size. A body has either a Content-Length or chunked
 * encoding. For an invalid message the reader gives the status that a server would respond with;
 * its connection can't be used any further.
 */
public final class MessageReader {
    /** Limit on the start line and the headers together. */
    public static final int MAX_HEAD_BYTES = 8 * 1024;

    /** Limit on the body of a client's request. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Size of the buffer for a connection of a client. */
    public static final int MAX_BUFFERED_BYTES = maxBufferedBytes(MAX_BODY_BYTES);

    private static final int BAD_REQUEST = 400;
    private static final int BODY_TOO_LARGE = 413;
    private static final int HEAD_TOO_LARGE = 431;

    private static final String CONNECTION = "connection";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";

    /** The result of a call of {@link #read}. */
    public enum Progress {
        /** More bytes are needed. */
        INCOMPLETE,
        /** A message is complete. */
        MESSAGE,
        /** The message is invalid, and no further one can be read. */
        INVALID
    }

    private enum State {
        START_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        COMPLETE,
        INVALID
    }

    private static final byte[] EMPTY = new byte[0];

    private final int maxBodyBytes;
    private State state = State.START_LINE;
    private String startLine;

    private final HeaderBlock headers = new HeaderBlock();
    private int headBytes;

    /** How many bytes of the incomplete line have been searched for its end. */
    private int searched;

    /** Bytes of the body or of the current chunk that are still to be read. */
    private int remaining;

    private byte[] body = EMPTY;

    /** The chunks of the body that have been read, at the front of an array that grows. */
    private byte[] chunks = EMPTY;

    private int chunkBytes;
    private int errorStatus;

    /** Creates a reader for requests of clients. */
    public MessageReader() {
        this(MAX_BODY_BYTES);
    }

    /** Creates a reader with its own limit on the body. */
    public MessageReader(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * The size of a buffer for messages with bodies of this size. It is twice the size of a head
     * and a body, because chunked bodies have chunk sizes between their bytes.
     */
    public static int maxBufferedBytes(int maxBodyBytes) {
        return 2 * (MAX_HEAD_BYTES + maxBodyBytes);
    }

    /** Reads on; after a complete message, {@link #startNextMessage} must be called first. */
    public Progress read(ConnectionBuffer in) {
        while (state != State.COMPLETE && state != State.INVALID) {
            if (!step(in)) {
                return Progress.INCOMPLETE;
            }
        }
        return state == State.COMPLETE ? Progress.MESSAGE : Progress.INVALID;
    }

    /** Discards the current message. */
    public void startNextMessage() {
        state = State.START_LINE;
        startLine = null;
        headers.clear();
        headBytes = 0;
        searched = 0;
        body = EMPTY;
        chunks = EMPTY;
        chunkBytes = 0;
    }

    /**
     * How much memory the current message takes, in bytes, beside what of it is still in the
     * connection's buffer.
     */
    public int heldBytes() {
        int lineBytes = startLine == null ? 0 : startLine.length();
        return lineBytes + headers.heldBytes() + chunks.length + body.length;
    }

    /** Whether the sender waits for "100 Continue" before it sends the body. */
    public boolean expectsContinue() {
        return (state == State.BODY || state == State.CHUNK_SIZE)
                && "100-continue".equalsIgnoreCase(header("expect"));
    }

    /** Whether the start line of a message has been read, but not yet all of the message. */
    public boolean isMidMessage() {
        return state != State.START_LINE && state != State.COMPLETE;
    }

    /** Whether the message is invalid, so that no further one can be read. */
    public boolean isInvalid() {
        return state == State.INVALID;
    }

    public String startLine() {
        return startLine;
    }

    /**
     * The value of the first header with this name, or null.
     *
     * @param name in lower case
     */
    public String header(String name) {
        return headers.first(name);
    }

    public int headerCount() {
        return headers.count();
    }

    public byte[] body() {
        return body;
    }

    /** The HTTP status that describes why the message is invalid. */
    public int errorStatus() {
        return errorStatus;
    }

    /** Whether the connection may be used for further messages, by version and headers. */
    public boolean isKeepAlive() {
        boolean keepAlive = !startLine.contains("HTTP/1.0");
        for (int at = headers.find(CONNECTION, 0);
                at >= 0;
                at = headers.find(CONNECTION, headers.next(at))) {
            String value = headers.value(CONNECTION, at).toLowerCase(Locale.ROOT);
            keepAlive = !value.contains("close") && (keepAlive || value.contains("keep-alive"));
        }
        return keepAlive;
    }

    private boolean invalid(int status) {
        errorStatus = status;
        state = State.INVALID;
        return true;
    }

    /** Reads the next element; returns false if it is not complete. */
    private boolean step(ConnectionBuffer in) {
        switch (state) {
            case START_LINE:
                return readStartLine(in);
            case HEADERS:
                return readHeader(in);
            case BODY:
                return readBody(in);
            case CHUNK_SIZE:
                return readChunkSize(in);
            case CHUNK:
                return readChunk(in);
            case CHUNK_END:
                return readChunkEnd(in);
            default:
                return readTrailer(in);
        }
    }

    /**
     * Reads a line, without its end, and counts it towards the size of the head. Returns null if
     * the line is not complete or the head is too large.
     */
    private String readLine(ConnectionBuffer in) {
        int end = in.indexOf((byte) '\n', searched);
        int seen = end < 0 ? in.size() : end + 1;
        if (headBytes + seen > MAX_HEAD_BYTES) {
            invalid(HEAD_TOO_LARGE);
            return null;
        }
        if (end < 0) {
            searched = seen;
            return null;
        }
        int length = end > 0 && in.byteAt(end - 1) == '\r' ? end - 1 : end;
        String line = in.latin1Text(0, length);
        in.skip(seen);
        headBytes += seen;
        searched = 0;
        return line;
    }

    private boolean readStartLine(ConnectionBuffer in) {
        String line = readLine(in);
        if (line == null) {
            return state == State.INVALID;
        }
        // Empty lines before a message are skipped: some clients send one after a body.
        if (!line.isEmpty()) {
            startLine = line;
            state = State.HEADERS;
        }
        return true;
    }

    private boolean readHeader(ConnectionBuffer in) {
        String line = readLine(in);
        if (line == null) {
            return state == State.INVALID;
        }
        if (line.isEmpty()) {
            return beginBody();
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || !isToken(line, colon)) {
            return invalid(BAD_REQUEST);
        }
        headers.add(line.substring(0, colon), line.substring(colon + 1));
        return true;
    }

    /**
     * Whether the line up to an index is a valid header name. Folded lines and names with a space
     * before the colon are refused, because they allow request smuggling.
     */
    private static boolean isToken(String line, int end) {
        for (int i = 0; i < end; i++) {
            char c = line.charAt(i);
            if (c <= ' ' || c >= 127 || "\"(),/;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return true;
    }

    private boolean beginBody() {
        headers.trim();
        String contentLength = headers.first(CONTENT_LENGTH);
        for (int at = headers.find(CONTENT_LENGTH, 0);
                at >= 0;
                at = headers.find(CONTENT_LENGTH, headers.next(at))) {
            if (!contentLength.equals(headers.value(CONTENT_LENGTH, at))) {
                return invalid(BAD_REQUEST);
            }
        }
        int encodingAt = headers.find(TRANSFER_ENCODING, 0);
        if (encodingAt >= 0) {
            if (contentLength != null
                    || !headers.value(TRANSFER_ENCODING, encodingAt).equalsIgnoreCase("chunked")
                    || headers.find(TRANSFER_ENCODING, headers.next(encodingAt)) >= 0) {
                return invalid(BAD_REQUEST);
            }
            state = State.CHUNK_SIZE;
            return true;
        }
        if (contentLength == null) {
            state = State.COMPLETE;
            return true;
        }
        if (!contentLength.chars().allMatch(c -> c >= '0' && c <= '9') || contentLength.isEmpty()) {
            return invalid(BAD_REQUEST);
        }
        remaining =
                contentLength.length() > 9 ? Integer.MAX_VALUE : Integer.parseInt(contentLength);
        if (remaining > maxBodyBytes) {
            return invalid(BODY_TOO_LARGE);
        }
        state = State.BODY;
        return true;
    }

    private boolean readBody(ConnectionBuffer in) {
        if (in.size() < remaining) {
            return false;
        }
        body = in.copy(0, remaining);
        in.skip(remaining);
        state = State.COMPLETE;
        return true;
    }

    private boolean readChunkSize(ConnectionBuffer in) {
        headBytes = 0;
        String line = readLine(in);
        if (line == null) {
            return state == State.INVALID;
        }
        int end = line.indexOf(';');
        String digits = (end < 0 ? line : line.substring(0, end)).strip();
        long size = hexNumber(digits);
        if (size < 0) {
            return invalid(BAD_REQUEST);
        }
        if (chunkBytes + size > maxBodyBytes) {
            return invalid(BODY_TOO_LARGE);
        }
        remaining = (int) size;
        state = size == 0 ? State.TRAILERS : State.CHUNK;
        headBytes = 0;
        return true;
    }

    /** Returns the number that 1 to 8 hexadecimal digits stand for; negative if it is none. */
    private static long hexNumber(String digits) {
        if (digits.isEmpty() || digits.length() > 8) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = Character.digit(digits.charAt(i), 16);
            if (digit < 0) {
                return -1;
            }
            number = 16 * number + digit;
        }
        return number;
    }

    private boolean readChunk(ConnectionBuffer in) {
        int take = Math.min(remaining, in.size());
        if (take == 0) {
            return false;
        }
        makeRoomForChunk(take);
        in.copyTo(chunks, chunkBytes, take);
        in.skip(take);
        chunkBytes += take;
        remaining -= take;
        state = remaining == 0 ? State.CHUNK_END : State.CHUNK;
        return true;
    }

    private void makeRoomForChunk(int added) {
        if (chunkBytes + added > chunks.length) {
            int capacity = Math.max(chunkBytes + added, 2 * chunks.length);
            chunks = Arrays.copyOf(chunks, Math.min(capacity, maxBodyBytes));
        }
    }

    private boolean readChunkEnd(ConnectionBuffer in) {
        headBytes = 0;
        String line = readLine(in);
        if (line == null) {
            return state == State.INVALID;
        }
        state = State.CHUNK_SIZE;
        return line.isEmpty() || invalid(BAD_REQUEST);
    }

    private boolean readTrailer(ConnectionBuffer in) {
        String line = readLine(in);
        if (line == null) {
            return state == State.INVALID;
        }
        if (line.isEmpty()) {
            body = Arrays.copyOf(chunks, chunkBytes);
            chunks = EMPTY;
            state = State.COMPLETE;
        }
        return true;
    }
}
