package gladewing.websocket;

import java.nio.charset.StandardCharsets;

/**
 * Encodes frames as in RFC 6455, section 5.2. Messages are never fragmented. For all methods, the
 * masking key has four bytes that the peer cannot predict; it is null for frames of a server, which
 * are not masked.
 */
public final class FrameEncoder {
    static final int CONTINUATION = 0;
    static final int TEXT = 1;
    static final int BINARY = 2;
    static final int CLOSE = 8;
    static final int PING = 9;
    static final int PONG = 10;
    static final int FINAL = 0x80;
    static final int MASKED = 0x80;

    /**
     * Longest payload of a control frame, and the largest length that needs no additional length
     * bytes.
     */
    static final int MAX_SHORT_LENGTH = 125;

    /** Values of the 7-bit length that announce two or eight additional length bytes. */
    private static final int TWO_BYTE_LENGTH = 126;

    private static final int EIGHT_BYTE_LENGTH = 127;

    private FrameEncoder() {}

    /** Encodes a text message. */
    public static byte[] text(String text, byte[] maskingKey) {
        return frame(TEXT, text.getBytes(StandardCharsets.UTF_8), maskingKey);
    }

    /** Encodes a binary message. */
    public static byte[] binary(byte[] payload, byte[] maskingKey) {
        return frame(BINARY, payload, maskingKey);
    }

    /** Encodes a ping. */
    public static byte[] ping(byte[] payload, byte[] maskingKey) {
        return frame(PING, payload, maskingKey);
    }

    /** Encodes a pong; its payload is that of the ping that it answers. */
    public static byte[] pong(byte[] payload, byte[] maskingKey) {
        return frame(PONG, payload, maskingKey);
    }

    /**
     * Encodes a close frame. The reason is shortened to the size of a control frame, between two
     * characters. A close with {@link CloseCode#NO_STATUS} has no payload.
     */
    public static byte[] close(int code, String reason, byte[] maskingKey) {
        if (code == CloseCode.NO_STATUS) {
            return frame(CLOSE, new byte[0], maskingKey);
        }
        byte[] reasonBytes = reason.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(reasonBytes.length, MAX_SHORT_LENGTH - 2);
        while (length > 0 && length < reasonBytes.length && (reasonBytes[length] & 0xc0) == 0x80) {
            length--;
        }
        byte[] payload = new byte[2 + length];
        payload[0] = (byte) (code >> 8);
        payload[1] = (byte) code;
        System.arraycopy(reasonBytes, 0, payload, 2, length);
        return frame(CLOSE, payload, maskingKey);
    }

    static byte[] frame(int opcode, byte[] payload, byte[] maskingKey) {
        int length = payload.length;
        int extraLengthBytes = length <= MAX_SHORT_LENGTH ? 0 : length <= 0xffff ? 2 : 8;
        byte[] frame = new byte[2 + extraLengthBytes + (maskingKey == null ? 0 : 4) + length];
        frame[0] = (byte) (FINAL | opcode);
        frame[1] =
                (byte)
                        ((maskingKey == null ? 0 : MASKED)
                                | (extraLengthBytes == 0
                                        ? length
                                        : extraLengthBytes == 2
                                                ? TWO_BYTE_LENGTH
                                                : EIGHT_BYTE_LENGTH));
        int offset = 2;
        for (int i = extraLengthBytes - 1; i >= 0; i--) {
            frame[offset++] = i >= 4 ? 0 : (byte) (length >> 8 * i);
        }
        if (maskingKey != null) {
            System.arraycopy(maskingKey, 0, frame, offset, 4);
            offset += 4;
        }
        for (int i = 0; i < length; i++) {
            frame[offset + i] =
                    maskingKey == null ? payload[i] : (byte) (payload[i] ^ maskingKey[i & 3]);
        }
        return frame;
    }
}
