package gladewing.expr;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The record types that expressions can read, one of which is that of the request. */
public final class Schema {
    /** A field of a record; a value larger than the bound counts as "no value". */
    public record Field(String record, String name, int number, Type type, SizeBound bound) {}

    private final Map<String, Map<String, Field>> records = new LinkedHashMap<>();
    private final Type request;

    public Schema(Type request) {
        this.request = request;
        records.put(request.record(), new LinkedHashMap<>());
    }

    /** A copy, to which records and fields can be added without changing this schema. */
    public Schema copy() {
        Schema copy = new Schema(request);
        records.forEach((name, fields) -> copy.records.put(name, new LinkedHashMap<>(fields)));
        return copy;
    }

    /**
     * Declares a field; the number identifies it within its record.
     *
     * @throws IllegalArgumentException if the record has a field of this name
     */
    public Schema addField(Type record, String name, int number, Type type, SizeBound bound) {
        Map<String, Field> fields =
                records.computeIfAbsent(record.record(), recordName -> new LinkedHashMap<>());
        if (fields.putIfAbsent(name, new Field(record.record(), name, number, type, bound))
                != null) {
            throw new IllegalArgumentException(record + "." + name + " is already declared");
        }
        return this;
    }

    public Type request() {
        return request;
    }

    public Field field(Type record, String name) {
        return records.get(record.record()).get(name);
    }

    public Field field(String name) {
        return field(request, name);
    }

    Set<String> fieldNames(Type record) {
        return records.get(record.record()).keySet();
    }
}
