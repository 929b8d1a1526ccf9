package gladewing.websocket;

/** Close codes of RFC 6455, section 7.4, that this router sends or checks. */
public final class CloseCode {
    /** The purpose of the connection is fulfilled. */
    public static final int NORMAL = 1000;

    /** The endpoint is being shut down or left. */
    public static final int GOING_AWAY = 1001;

    /** The peer violated the protocol. */
    public static final int PROTOCOL_ERROR = 1002;

    /** The peer sent a type of message that is not accepted. */
    public static final int UNSUPPORTED_DATA = 1003;

    /** Reported for a close frame without a code; it is never sent. */
    public static final int NO_STATUS = 1005;

    /** Reported for a connection that ended without a close frame; it is never sent. */
    public static final int ABNORMAL = 1006;

    /** A text message or close reason is not valid UTF-8. */
    public static final int INVALID_PAYLOAD = 1007;

    /** The peer sent a message that violates the rules of the application. */
    public static final int POLICY_VIOLATION = 1008;

    /** A message exceeds the size limit. */
    public static final int MESSAGE_TOO_BIG = 1009;

    /** The server failed unexpectedly. */
    public static final int INTERNAL_ERROR = 1011;

    /** The server restarts; the client may reconnect. */
    public static final int SERVICE_RESTART = 1012;

    /** The server is overloaded; the client may reconnect later. */
    public static final int TRY_AGAIN_LATER = 1013;

    private CloseCode() {}

    /**
     * Returns whether a close frame may contain the code: the registered codes, and those reserved
     * for libraries and applications.
     */
    static boolean maySend(int code) {
        return code >= 1000 && code <= 1003
                || code >= 1007 && code <= 1014
                || code >= 3000 && code <= 4999;
    }
}
