package gladewing.routes;

import gladewing.expr.RecordView;
import gladewing.expr.Schema;
import gladewing.expr.SizeBound;
import gladewing.expr.StringMap;
import gladewing.expr.Type;
import java.util.List;

/**
 * A request as seen by the expressions of routes. Its fields must not change until it has been
 * routed.
 */
public final class RoutingRequest implements RecordView {
    static final Type REQUEST = Type.record("request");
    static final Type PART = Type.record("part");
    private static final int PRODUCT = 0;
    private static final int PATH = 1;
    private static final int METHOD = 2;
    private static final int HEADERS = 3;
    private static final int TENANT = 4;
    private static final int TIME_LEFT = 5;
    private static final int REPEATED = 6;
    private static final int PART_COUNT = 7;
    private static final int PARTS = 8;
    private static final int TEXT_SIZE = 9;
    private static final int SHARD = 0;
    private static final int WEIGHT = 1;
    private static final int COST = 2;
    private static final int KEY = 3;

    public String product = "";
    public String path = "";
    public String method = "";
    public StringMap headers;

    /** Null if the request names no tenant, or an unknown one. */
    public String tenant;

    public long timeLeftMicros;

    public boolean isRepeated;
    public List<Part> parts = List.of();

    public long textSizeBytes;

    /**
     * One part of the request.
     *
     * @param costMicros expected processing time in microseconds, or negative if unknown
     * @param key routing key of the part, or null
     */
    public record Part(long shard, double weight, long costMicros, String key)
            implements RecordView {
        @Override
        public boolean has(int field) {
            return field != COST || costMicros >= 0;
        }

        @Override
        public boolean getBool(int field) {
            return false;
        }

        @Override
        public long getInt(int field) {
            return field == SHARD ? shard : costMicros;
        }

        @Override
        public double getDouble(int field) {
            return weight;
        }

        @Override
        public Object getObject(int field) {
            return key;
        }
    }

    /** The fields of requests that expressions can read, with the bounds on their sizes. */
    public static Schema schema(RoutingBounds bounds) {
        SizeBound text = SizeBound.ofText(bounds.maxTextLength());
        return new Schema(REQUEST)
                .addField(REQUEST, "product", PRODUCT, Type.STRING, text)
                .addField(REQUEST, "path", PATH, Type.STRING, text)
                .addField(REQUEST, "method", METHOD, Type.STRING, text)
                .addField(
                        REQUEST,
                        "headers",
                        HEADERS,
                        Type.MAP,
                        SizeBound.ofList(bounds.maxHeaders(), text))
                .addField(REQUEST, "tenant", TENANT, Type.STRING, text)
                .addField(REQUEST, "time_left", TIME_LEFT, Type.DURATION, SizeBound.SCALAR)
                .addField(REQUEST, "repeated", REPEATED, Type.BOOL, SizeBound.SCALAR)
                .addField(REQUEST, "part_count", PART_COUNT, Type.INT, SizeBound.SCALAR)
                .addField(
                        REQUEST,
                        "parts",
                        PARTS,
                        Type.list(PART),
                        SizeBound.ofList(bounds.maxParts(), SizeBound.SCALAR))
                .addField(REQUEST, "text_size", TEXT_SIZE, Type.INT, SizeBound.SCALAR)
                .addField(PART, "shard", SHARD, Type.INT, SizeBound.SCALAR)
                .addField(PART, "weight", WEIGHT, Type.DOUBLE, SizeBound.SCALAR)
                .addField(PART, "cost", COST, Type.DURATION, SizeBound.SCALAR)
                .addField(
                        PART,
                        "key",
                        KEY,
                        Type.STRING,
                        SizeBound.ofText(RoutingBounds.LONGEST_PART_KEY));
    }

    @Override
    public boolean has(int field) {
        return true;
    }

    @Override
    public boolean getBool(int field) {
        return isRepeated;
    }

    @Override
    public long getInt(int field) {
        return field == TIME_LEFT
                ? timeLeftMicros
                : field == PART_COUNT ? parts.size() : textSizeBytes;
    }

    @Override
    public double getDouble(int field) {
        return 0;
    }

    @Override
    public Object getObject(int field) {
        return switch (field) {
            case PRODUCT -> product;
            case PATH -> path;
            case METHOD -> method;
            case HEADERS -> headers;
            case TENANT -> tenant;
            default -> parts;
        };
    }
}
