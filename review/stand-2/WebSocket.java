import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Random;

/** One side of a WebSocket (RFC 6455): whole messages of text, pings and closes. */
final class WebSocket {
    static final int TEXT = 1;
    static final int CLOSE = 8;
    static final int PING = 9;
    static final int PONG = 10;

    /** A frame as it was read. */
    record Frame(int kind, byte[] payload) {
        String text() {
            return new String(payload, StandardCharsets.UTF_8);
        }

        int closeCode() {
            return payload.length < 2 ? 1005 : (payload[0] & 0xff) << 8 | payload[1] & 0xff;
        }
    }

    private final DataInputStream in;
    private final OutputStream out;
    private final boolean isClient;
    private final Random random = new Random(1);

    WebSocket(InputStream in, OutputStream out, boolean isClient) {
        this.in = new DataInputStream(in);
        this.out = out;
        this.isClient = isClient;
    }

    /** The value that answers a key in the handshake. */
    static String accept(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-1")
                            .digest(
                                    (key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")
                                            .getBytes(StandardCharsets.US_ASCII));
            return Base64.getEncoder().encodeToString(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    Frame read() throws IOException {
        int first = in.readUnsignedByte();
        int second = in.readUnsignedByte();
        long length = second & 0x7f;
        if (length == 126) {
            length = in.readUnsignedShort();
        } else if (length == 127) {
            length = in.readLong();
        }
        byte[] mask = new byte[4];
        if ((second & 0x80) != 0) {
            in.readFully(mask);
        }
        byte[] payload = new byte[(int) length];
        in.readFully(payload);
        for (int i = 0; i < payload.length; i++) {
            payload[i] ^= mask[i % 4];
        }
        return new Frame(first & 0x0f, payload);
    }

    void text(String text) throws IOException {
        write(TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    void close(int code) throws IOException {
        write(CLOSE, new byte[] {(byte) (code >> 8), (byte) code});
    }

    synchronized void write(int kind, byte[] payload) throws IOException {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        frame.write(0x80 | kind);
        int maskBit = isClient ? 0x80 : 0;
        if (payload.length < 126) {
            frame.write(maskBit | payload.length);
        } else {
            frame.write(maskBit | 126);
            frame.write(payload.length >> 8);
            frame.write(payload.length);
        }
        byte[] mask = new byte[4];
        if (isClient) {
            random.nextBytes(mask);
            frame.writeBytes(mask);
        }
        for (int i = 0; i < payload.length; i++) {
            frame.write(payload[i] ^ mask[i % 4]);
        }
        out.write(frame.toByteArray());
        out.flush();
    }
}
