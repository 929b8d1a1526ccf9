package gladewing.soak;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * One request of a client and what came of it. Times are of the monotonic clock in nanoseconds,
 * which is the same in all processes.
 */
final class SoakRequest {
    /** How a request ended, as its client saw it. */
    enum End {
        ANSWERED,
        /** The client has left before the answer. */
        LEFT,
        /** No whole answer long after the client's time. */
        SILENCE,
        /** The connection ended before the first byte of an answer. */
        CLOSED,
        /** The connection ended within an answer. */
        CUT,
        /** The connection could not be opened or written to. */
        NOT_ACCEPTED
    }

    final String id;
    final int router;
    final String product;
    final int shards;
    final int timeoutMillis;

    /** How often it was sent under its id. */
    int uses = 1;

    long sentAt;
    long endedAt;
    End end;
    String status = "";
    String body = "";

    SoakRequest(String id, int router, String product, int shards, int timeoutMillis) {
        this.id = id;
        this.router = router;
        this.product = product;
        this.shards = shards;
        this.timeoutMillis = timeoutMillis;
    }

    /** The request as it is sent. */
    byte[] bytes() {
        StringBuilder parts = new StringBuilder();
        for (int shard = 0; shard < shards; shard++) {
            parts.append(shard == 0 ? "" : ",")
                    .append("{\"shard\":")
                    .append(shard)
                    .append(",\"weight\":")
                    .append(1.0 / shards)
                    .append('}');
        }
        String content = "{\"shards\":[" + parts + "],\"q\":\"c4\"}";
        String text =
                "POST /"
                        + product
                        + " HTTP/1.1\r\nX-Request-ID: "
                        + id
                        + "\r\nX-Timeout-Ms: "
                        + timeoutMillis
                        + "\r\nContent-Length: "
                        + content.length()
                        + "\r\n\r\n"
                        + content;
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    void ended(End how) {
        endedAt = System.nanoTime();
        end = how;
    }

    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(endedAt - sentAt);
    }

    @Override
    public String toString() {
        return id
                + " to router "
                + router
                + ", "
                + product
                + ", "
                + timeoutMillis
                + " ms: "
                + end
                + " "
                + status
                + " after "
                + elapsedMillis()
                + " ms";
    }
}
