package gladewing.websocket;

import gladewing.buffer.ConnectionBuffer;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decodes the frames of one peer, however the bytes are split on arrival. It returns complete
 * messages, pings, pongs and the close in order. A violation of the protocol is reported as soon as
 * the received bytes show it. Nothing is decoded after a violation or a close.
 */
public final class MessageDecoder {
    /**
     * Result of a read: a message, a control frame, the end by a close or a violation, or
     * INCOMPLETE if more bytes are needed.
     */
    public enum Event {
        INCOMPLETE,
        TEXT,
        BINARY,
        PING,
        PONG,
        CLOSE,
        VIOLATION
    }

    private static final byte[] EMPTY = new byte[0];

    /**
     * Whether this side is the server. Frames to a server must be masked, frames to a client must
     * not.
     */
    private final boolean isServer;

    private final int maxMessageBytes;
    private final CharsetDecoder utf8 = StandardCharsets.UTF_8.newDecoder();
    private byte[] message = EMPTY;
    private int messageLength;

    /** Opcode of the message whose fragments are being collected; 0 if there is none. */
    private int messageOpcode;

    /**
     * Length of the message prefix that is valid UTF-8. An incomplete character at the end is
     * checked again with the next fragment.
     */
    private int validUtf8Bytes;

    private boolean isEnded;
    private byte[] payload = EMPTY;
    private int code;
    private String reason = "";

    /**
     * @param isServer whether this side is the server
     * @param maxMessageBytes limit of the payload of a message
     */
    public MessageDecoder(boolean isServer, int maxMessageBytes) {
        this.isServer = isServer;
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Returns the buffer size that is needed for the largest frame that is accepted. */
    public static int bufferSize(int maxMessageBytes) {
        return maxMessageBytes + 14;
    }

    /**
     * Decodes the next event; INCOMPLETE if more bytes are needed, and always after a close or a
     * violation.
     */
    public Event read(ConnectionBuffer in) {
        payload = EMPTY;
        while (!isEnded) {
            if (in.size() < 2) {
                return Event.INCOMPLETE;
            }
            int first = in.byteAt(0) & 0xff;
            int second = in.byteAt(1) & 0xff;
            Event violation = checkHead(first, second);
            if (violation != null) {
                return violation;
            }
            int shortLength = second & 0x7f;
            int extraLengthBytes = shortLength == 126 ? 2 : shortLength == 127 ? 8 : 0;
            int headLength = 2 + extraLengthBytes + (isServer ? 4 : 0);
            if (in.size() < 2 + extraLengthBytes) {
                return Event.INCOMPLETE;
            }
            long length = extraLengthBytes == 0 ? shortLength : readNumber(in, extraLengthBytes);
            if (length < 0
                    || extraLengthBytes == 2 && length <= FrameEncoder.MAX_SHORT_LENGTH
                    || extraLengthBytes == 8 && length <= 0xffff) {
                return violation(
                        CloseCode.PROTOCOL_ERROR,
                        "a length that is not written in the shortest way");
            }
            boolean isControl = (first & 8) != 0;
            if (!isControl && messageLength + length > maxMessageBytes) {
                return violation(
                        CloseCode.MESSAGE_TOO_BIG,
                        "a message of more than " + maxMessageBytes + " bytes");
            }
            if (in.size() < headLength + length) {
                return Event.INCOMPLETE;
            }
            byte[] bytes = in.copy(headLength, (int) length);
            if (isServer) {
                for (int i = 0; i < bytes.length; i++) {
                    bytes[i] ^= in.byteAt(headLength - 4 + (i & 3));
                }
            }
            in.skip(headLength + (int) length);
            Event event = isControl ? handleControl(first & 15, bytes) : handleData(first, bytes);
            if (event != null) {
                return event;
            }
        }
        return Event.INCOMPLETE;
    }

    private static long readNumber(ConnectionBuffer in, int bytes) {
        long number = 0;
        for (int i = 0; i < bytes; i++) {
            number = number << 8 | in.byteAt(2 + i) & 0xff;
        }
        return number;
    }

    /** Checks the first two bytes of a frame. Returns null if they are valid. */
    private Event checkHead(int first, int second) {
        int frameOpcode = first & 15;
        if ((first & 0x70) != 0) {
            return violation(
                    CloseCode.PROTOCOL_ERROR, "a reserved bit, and no extension was agreed on");
        }
        if (frameOpcode > FrameEncoder.BINARY && frameOpcode < FrameEncoder.CLOSE
                || frameOpcode > FrameEncoder.PONG) {
            return violation(CloseCode.PROTOCOL_ERROR, "an unknown opcode " + frameOpcode);
        }
        if ((second & FrameEncoder.MASKED) != 0 != isServer) {
            return violation(
                    CloseCode.PROTOCOL_ERROR,
                    isServer ? "a frame that is not masked" : "a frame that is masked");
        }
        if (frameOpcode >= FrameEncoder.CLOSE
                && ((first & FrameEncoder.FINAL) == 0
                        || (second & 0x7f) > FrameEncoder.MAX_SHORT_LENGTH)) {
            return violation(CloseCode.PROTOCOL_ERROR, "a control frame that is cut or too long");
        }
        if (frameOpcode == FrameEncoder.CONTINUATION && messageOpcode == 0) {
            return violation(CloseCode.PROTOCOL_ERROR, "a continuation of nothing");
        }
        if ((frameOpcode == FrameEncoder.TEXT || frameOpcode == FrameEncoder.BINARY)
                && messageOpcode != 0) {
            return violation(CloseCode.PROTOCOL_ERROR, "a message within another");
        }
        return null;
    }

    private Event violation(int closeCode, String closeReason) {
        isEnded = true;
        code = closeCode;
        reason = closeReason;
        return Event.VIOLATION;
    }

    private Event handleControl(int frameOpcode, byte[] bytes) {
        payload = bytes;
        if (frameOpcode != FrameEncoder.CLOSE) {
            return frameOpcode == FrameEncoder.PING ? Event.PING : Event.PONG;
        }
        if (bytes.length == 1) {
            return violation(CloseCode.PROTOCOL_ERROR, "a close with half a code");
        }
        int closeCode =
                bytes.length == 0 ? CloseCode.NO_STATUS : (bytes[0] & 0xff) << 8 | bytes[1] & 0xff;
        if (bytes.length > 0 && !CloseCode.maySend(closeCode)) {
            return violation(CloseCode.PROTOCOL_ERROR, "a close with the code " + closeCode);
        }
        try {
            String closeReason =
                    bytes.length == 0
                            ? ""
                            : utf8.decode(ByteBuffer.wrap(bytes, 2, bytes.length - 2)).toString();
            isEnded = true;
            code = closeCode;
            reason = closeReason;
            return Event.CLOSE;
        } catch (CharacterCodingException invalid) {
            return violation(CloseCode.INVALID_PAYLOAD, "a reason that is not UTF-8");
        }
    }

    /** Adds a data frame to the message. Returns null if the message is not complete. */
    private Event handleData(int first, byte[] bytes) {
        messageOpcode = messageOpcode == 0 ? first & 15 : messageOpcode;
        boolean isLast = (first & FrameEncoder.FINAL) != 0;
        if (messageLength == 0) {
            message = bytes;
        } else {
            message = Arrays.copyOf(message, messageLength + bytes.length);
            System.arraycopy(bytes, 0, message, messageLength, bytes.length);
        }
        messageLength += bytes.length;
        if (messageOpcode == FrameEncoder.TEXT && !isValidUtf8SoFar(isLast)) {
            return violation(CloseCode.INVALID_PAYLOAD, "a text that is not UTF-8");
        }
        if (!isLast) {
            return null;
        }
        Event event = messageOpcode == FrameEncoder.TEXT ? Event.TEXT : Event.BINARY;
        payload = message;
        message = EMPTY;
        messageLength = 0;
        validUtf8Bytes = 0;
        messageOpcode = 0;
        return event;
    }

    /**
     * Checks the new bytes of a text message, so that it is rejected at the first byte that cannot
     * be part of valid UTF-8.
     */
    private boolean isValidUtf8SoFar(boolean isLast) {
        int checked = validUtf8Bytes;
        while (checked < messageLength && message[checked] >= 0) {
            checked++;
        }
        // Only the bytes from the first non-ASCII byte on need the decoder. Most texts are all
        // ASCII.
        validUtf8Bytes = checked;
        if (checked == messageLength) {
            return true;
        }
        ByteBuffer in = ByteBuffer.wrap(message, validUtf8Bytes, messageLength - validUtf8Bytes);
        CharBuffer out = CharBuffer.allocate(1024);
        utf8.reset();
        while (true) {
            CoderResult result = utf8.decode(in, out, isLast);
            if (result.isError()) {
                return false;
            }
            out.clear();
            if (result.isUnderflow()) {
                validUtf8Bytes = in.position();
                return !isLast || validUtf8Bytes == messageLength;
            }
        }
    }

    /** Returns the payload of the last message, ping or pong. */
    public byte[] payload() {
        return payload;
    }

    /** Returns the payload of the last message as text. */
    public String text() {
        return new String(payload, StandardCharsets.UTF_8);
    }

    /**
     * Returns the code of a received close frame (1005 if it has none), or the code to send after a
     * violation.
     */
    public int code() {
        return code;
    }

    /** Returns the reason of a received close frame, or the reason to send after a violation. */
    public String reason() {
        return reason;
    }

    /** Returns how much memory the fragments of an incomplete message take, in bytes. */
    public int heldBytes() {
        return message.length;
    }

    /** Returns whether the start of a frame or message has been received, but not its end. */
    public boolean hasPartialMessage(ConnectionBuffer in) {
        return !isEnded && (in.size() > 0 || messageOpcode != 0);
    }
}
