package gladewing.clients;

import gladewing.router.Span;

/** The heads of HTTP responses. */
final class Responses {
    static final int TIMED_OUT = 408;
    static final int CONFLICT = 409;
    static final int TOO_MANY = 429;
    static final int UNAVAILABLE = 503;
    static final int GIVEN_UP = 504;
    static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private Responses() {}

    /**
     * @param headers further header lines, each ended by CRLF
     * @param length bytes of the body, which is JSON
     */
    static String head(int status, String headers, int length, boolean keepAlive) {
        return "HTTP/1.1 "
                + status
                + ' '
                + reason(status)
                + "\r\n"
                + (length > 0 ? "Content-Type: application/json\r\n" : "")
                + "Content-Length: "
                + length
                + "\r\n"
                + headers
                + (keepAlive ? "" : "Connection: close\r\n")
                + "\r\n";
    }

    /**
     * The Retry-After header in seconds, rounded up to whole milliseconds; empty if the wait is
     * zero.
     */
    static String retryAfter(Span wait) {
        return wait.micros() > 0
                ? "Retry-After: " + (wait.micros() + 999) / 1000 / 1000.0 + "\r\n"
                : "";
    }

    private static String reason(int status) {
        switch (status) {
            case 200:
                return "OK";
            case 400:
                return "Bad Request";
            case 404:
                return "Not Found";
            case 405:
                return "Method Not Allowed";
            case TIMED_OUT:
                return "Request Timeout";
            case CONFLICT:
                return "Conflict";
            case 413:
                return "Content Too Large";
            case TOO_MANY:
                return "Too Many Requests";
            case 431:
                return "Request Header Fields Too Large";
            case UNAVAILABLE:
                return "Service Unavailable";
            default:
                return "Gateway Timeout";
        }
    }
}
