package gladewing.clients;

import gladewing.decisions.AcceptedMultiget;
import gladewing.http.MessageReader;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.router.RetryPolicy;
import gladewing.router.Span;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Parses and validates HTTP requests of clients: a multiget, a readiness check, or a request that
 * is refused with an error status. The getters describe the request that was read last.
 */
final class RequestReader {
    static final int READY = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int MAX_ID_LENGTH = 128;
    private static final int MAX_TEXT_BYTES = 64 * 1024;

    /**
     * How far the sum of the weights may be from 1. Valid requests round their weights to six
     * digits, which was seen to add up to an error of 0.000002 at 8 parts. The router module allows
     * the same tolerance.
     */
    private static final double WEIGHT_SUM_TOLERANCE = 0.00005;

    /**
     * Upper bound on a client's time limit and on the cost of a part. Anything longer is a mistake,
     * and would distort the estimates that are made from it.
     */
    private static final Span MAX_TIME = Span.ofMillis(600_000);

    private final ServedCatalog catalog;
    private MessageReader message;
    private String method;
    private String path;
    private String id;
    private int product;
    private int tenant;
    private Span timeLeft;
    private boolean isRepeated;
    private List<AcceptedMultiget.Part> parts;

    /** The key of each part, or null; only routes use it. */
    private String[] keys;

    /** Whether the request states a cost for each part; only routes use it. */
    private boolean[] hasCosts;

    private byte[] text;

    RequestReader(ServedCatalog catalog) {
        this.catalog = catalog;
    }

    /** Returns 0 for a multiget, READY for a readiness check, else the error status. */
    int read(MessageReader message) {
        String[] line = message.startLine().split(" ", -1);
        if (line.length != 3
                || !line[2].equals("HTTP/1.1") && !line[2].equals("HTTP/1.0")
                || !line[1].startsWith("/")) {
            return BAD_REQUEST;
        }
        int query = line[1].indexOf('?');
        path = query < 0 ? line[1] : line[1].substring(0, query);
        method = line[0];
        this.message = message;
        if (path.equals("/health/ready")) {
            return line[0].equals("GET") ? READY : METHOD_NOT_ALLOWED;
        }
        int end = path.indexOf('/', 1);
        product = catalog.products().indexOf(end < 0 ? path.substring(1) : path.substring(1, end));
        if (product < 0) {
            return NOT_FOUND;
        }
        if (!line[0].equals("POST")) {
            return METHOD_NOT_ALLOWED;
        }
        try {
            readMultiget(message);
            return 0;
        } catch (InvalidInputException invalid) {
            return BAD_REQUEST;
        }
    }

    private void readMultiget(MessageReader message) {
        id = message.header("x-request-id");
        if (id == null
                || id.isEmpty()
                || id.length() > MAX_ID_LENGTH
                || !id.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new InvalidInputException("x-request-id is missing or invalid");
        }
        String productHeader = message.header("x-priority-class");
        if (productHeader != null && catalog.products().indexOf(productHeader) != product) {
            throw new InvalidInputException("x-priority-class names another product than the path");
        }
        String tenantHeader = message.header("x-tenant-id");
        int tenantIndex = tenantHeader == null ? -1 : catalog.tenants().indexOf(tenantHeader);
        tenant = tenantIndex < 0 ? catalog.tenants().size() : tenantIndex;
        timeLeft = timeLimit(message);
        if (timeLeft == null) {
            throw new InvalidInputException(
                    "x-timeout-ms is missing, not a positive number or too long");
        }
        isRepeated = "1".equals(message.header("x-retried"));
        Fields body = Json.fields("body", message.body());
        text = body.text("q").getBytes(StandardCharsets.UTF_8);
        parts = new ArrayList<>();
        Set<Integer> shards = new HashSet<>();
        double sum = 0;
        List<Fields> shardFields = body.objects("shards");
        keys = new String[shardFields.size()];
        hasCosts = new boolean[shardFields.size()];
        for (Fields part : shardFields) {
            int shard = part.index("shard", catalog.shardCount());
            double weight = part.number("weight");
            double cost = part.number("cost", 0);
            if (!shards.add(shard)
                    || !isFiniteNonNegative(weight)
                    || !isFiniteNonNegative(cost)
                    || cost > MAX_TIME.micros()) {
                throw new InvalidInputException(
                        "a part has a repeated shard or an invalid weight or cost");
            }
            sum += weight;
            keys[parts.size()] = part.has("key") ? part.text("key") : null;
            hasCosts[parts.size()] = part.has("cost");
            parts.add(new AcceptedMultiget.Part(shard, weight, Span.ofMillis(cost / 1000)));
        }
        if (Math.abs(sum - 1) > WEIGHT_SUM_TOLERANCE) {
            throw new InvalidInputException("the weights of the parts do not add up to 1");
        }
        if (text.length > MAX_TEXT_BYTES) {
            throw new InvalidInputException("q is longer than " + MAX_TEXT_BYTES + " bytes");
        }
    }

    private static boolean isFiniteNonNegative(double number) {
        return number >= 0 && number < Double.POSITIVE_INFINITY;
    }

    /** The time that a client waits, as it says itself; null if it says nothing that is valid. */
    static Span timeLimit(MessageReader message) {
        String millis = message.header("x-timeout-ms");
        if (millis == null
                || millis.isEmpty()
                || millis.length() > 9
                || !millis.chars().allMatch(c -> c >= '0' && c <= '9')
                || Integer.parseInt(millis) == 0) {
            return null;
        }
        Span limit = Span.ofMillis(Integer.parseInt(millis));
        return limit.longerThan(MAX_TIME) ? null : limit;
    }

    String id() {
        return id;
    }

    /** The time that the client waits for its answer, as it says itself. */
    Span timeLeft() {
        return timeLeft;
    }

    /**
     * Creates the multiget that was read last, with the product and the tenant that it was routed
     * to. Its time left is never less than 1 microsecond.
     *
     * @param timeLeft what is left of the client's time by now
     * @param retryPolicy settings for sending its parts again, or null
     */
    ClientMultiget newMultiget(
            ClientConnection connection,
            Span timeLeft,
            int routedProduct,
            int routedTenant,
            RetryPolicy retryPolicy) {
        Span now = new Span(Math.max(1, timeLeft.micros()));
        return new ClientMultiget(
                connection,
                id,
                routedProduct,
                routedTenant,
                now,
                isRepeated,
                parts,
                text,
                retryPolicy);
    }

    int product() {
        return product;
    }

    /** The tenant's index, or the number of known tenants if none of them is named. */
    int tenant() {
        return tenant;
    }

    ServedCatalog catalog() {
        return catalog;
    }

    MessageReader message() {
        return message;
    }

    String method() {
        return method;
    }

    /** The path without its query. */
    String path() {
        return path;
    }

    /** Whether the client says that it has sent this multiget before. */
    boolean isRepeated() {
        return isRepeated;
    }

    List<AcceptedMultiget.Part> parts() {
        return parts;
    }

    /** The key of a part, or null if it has none. */
    String key(int part) {
        return keys[part];
    }

    boolean hasCost(int part) {
        return hasCosts[part];
    }

    /** In bytes. */
    int textSize() {
        return text.length;
    }
}
