package gladewing.websocket;

import gladewing.http.MessageReader;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import org.apache.commons.codec.digest.DigestUtils;

/** The opening handshake of RFC 6455, section 4, of both the client and the server. */
public final class Handshake {
    /** Status of an accepted upgrade. */
    public static final int SWITCHING_PROTOCOLS = 101;

    static final int BAD_REQUEST = 400;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int UPGRADE_REQUIRED = 426;

    /** The supported value of Sec-WebSocket-Version. */
    public static final String VERSION = "13";

    /** Constant of RFC 6455 that is appended to the key before it is hashed. */
    private static final String ACCEPT_GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

    private static final int KEY_BYTES = 16;

    private Handshake() {}

    /**
     * Returns whether a request asks for an upgrade to a WebSocket, even if it is not a valid one.
     */
    public static boolean isUpgradeRequest(MessageReader request) {
        String upgrade = request.header("upgrade");
        return upgrade != null && hasToken(upgrade, "websocket");
    }

    /**
     * Returns {@link #SWITCHING_PROTOCOLS} if the request can be upgraded, otherwise the status of
     * the error response.
     */
    public static int validate(MessageReader request) {
        if (!request.startLine().startsWith("GET ")) {
            return METHOD_NOT_ALLOWED;
        }
        String connection = request.header("connection");
        if (!request.startLine().endsWith(" HTTP/1.1")
                || request.header("host") == null
                || connection == null
                || !hasToken(connection, "upgrade")
                || request.body().length > 0) {
            return BAD_REQUEST;
        }
        if (!VERSION.equals(request.header("sec-websocket-version"))) {
            return UPGRADE_REQUIRED;
        }
        return isValidKey(request.header("sec-websocket-key")) ? SWITCHING_PROTOCOLS : BAD_REQUEST;
    }

    private static boolean isValidKey(String key) {
        try {
            return key != null && Base64.getDecoder().decode(key).length == KEY_BYTES;
        } catch (IllegalArgumentException notBase64) {
            return false;
        }
    }

    /**
     * Returns whether a comma-separated header has a token. The token must be in lower case; the
     * header may be in any case.
     */
    public static boolean hasToken(String header, String token) {
        for (String element : header.split(",")) {
            if (element.strip().toLowerCase(Locale.ROOT).equals(token)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the value of Sec-WebSocket-Accept for a Sec-WebSocket-Key. */
    public static String acceptValue(String key) {
        return Base64.getEncoder()
                .encodeToString(
                        DigestUtils.sha1((key + ACCEPT_GUID).getBytes(StandardCharsets.US_ASCII)));
    }

    /**
     * Returns the response that accepts a request. Extensions are declined.
     *
     * @param subprotocol the subprotocol that is selected; null for none
     */
    public static String response(MessageReader request, String subprotocol) {
        return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                + "Sec-WebSocket-Accept: "
                + acceptValue(request.header("sec-websocket-key"))
                + "\r\n"
                + (subprotocol == null ? "" : "Sec-WebSocket-Protocol: " + subprotocol + "\r\n")
                + "\r\n";
    }

    /**
     * Returns the upgrade request of a client.
     *
     * @param nonce sixteen random bytes
     * @param subprotocol the subprotocol that is offered; null for none
     * @param headers additional header lines, each with its line end
     */
    public static String request(
            String path, String host, byte[] nonce, String subprotocol, String headers) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: "
                + host
                + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                + "Sec-WebSocket-Key: "
                + Base64.getEncoder().encodeToString(nonce)
                + "\r\nSec-WebSocket-Version: "
                + VERSION
                + "\r\n"
                + (subprotocol == null ? "" : "Sec-WebSocket-Protocol: " + subprotocol + "\r\n")
                + headers
                + "\r\n";
    }

    /**
     * Returns whether a response accepts the request that was sent with the nonce and the
     * subprotocol.
     */
    public static boolean isAccepted(MessageReader response, byte[] nonce, String subprotocol) {
        String upgrade = response.header("upgrade");
        String connection = response.header("connection");
        String agreedSubprotocol = response.header("sec-websocket-protocol");
        return response.startLine().startsWith("HTTP/1.1 101 ")
                && upgrade != null
                && hasToken(upgrade, "websocket")
                && connection != null
                && hasToken(connection, "upgrade")
                && acceptValue(Base64.getEncoder().encodeToString(nonce))
                        .equals(response.header("sec-websocket-accept"))
                && response.header("sec-websocket-extensions") == null
                && (agreedSubprotocol == null
                        ? subprotocol == null
                        : agreedSubprotocol.equals(subprotocol));
    }
}
