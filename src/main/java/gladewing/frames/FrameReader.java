package gladewing.frames;

import gladewing.buffer.ConnectionBuffer;
import java.nio.charset.StandardCharsets;

/** Takes whole frames out of a connection's buffer: a length (least significant first), a letter, a rest. */
public final class FrameReader {
    /** Far more than an answer holds; a longer length is a broken or hostile node. */
    public static final int LONGEST = 128 * 1024;
    static final int LENGTH_BYTES = 4;

    public enum Progress { MORE, FRAME, UNUSABLE }

    private char letter;
    private byte[] rest;

    public Progress read(ConnectionBuffer in) {
        if (in.size() < LENGTH_BYTES) {
            return Progress.MORE;
        }
        long length = 0;
        for (int i = LENGTH_BYTES - 1; i >= 0; i--) {
            length = length << 8 | in.at(i) & 0xff;
        }
        if (length < 1 || length > LONGEST) {
            return Progress.UNUSABLE;
        }
        if (in.size() < LENGTH_BYTES + length) {
            return Progress.MORE;
        }
        letter = (char) (in.at(LENGTH_BYTES) & 0xff);
        rest = in.copy(LENGTH_BYTES + 1, (int) length - 1);
        in.skip(LENGTH_BYTES + (int) length);
        return Progress.FRAME;
    }

    public char letter() {
        return letter;
    }

    public byte[] rest() {
        return rest;
    }

    public String text() {
        return new String(rest, StandardCharsets.UTF_8);
    }
}
