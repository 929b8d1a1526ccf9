package gladewing.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * A response as a client of the soak reads it.
 *
 * @param closes whether the connection is closed after it
 */
record SoakResponse(String status, String body, boolean closes) {
    /** The connection has ended within a response. */
    static final class CutException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** Reads the next response; fails with an IOException if the connection ends before it. */
    static SoakResponse read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = readByte(in, head.length() > 0);
            head.append((char) c);
        }
        int length =
                Integer.parseInt(
                        head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new CutException();
        }
        return new SoakResponse(
                head.substring(9, 12),
                new String(body, StandardCharsets.UTF_8),
                head.indexOf("Connection: close") > 0);
    }

    private static int readByte(InputStream in, boolean hasBegun) throws IOException {
        int c = in.read();
        if (c < 0 && hasBegun) {
            throw new CutException();
        }
        if (c < 0) {
            throw new IOException("the connection has ended");
        }
        return c;
    }
}
