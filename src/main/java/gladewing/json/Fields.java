package gladewing.json;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of a JSON object. The methods throw an {@link InvalidInputException}
 * that names the object and the field if the field is missing or has another type. Methods with a
 * default value return it if the field is missing or null.
 */
public final class Fields {
    private final String path;
    private final Map<String, Object> fields;

    private Fields(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /**
     * Wraps a parsed JSON object.
     *
     * @param path name of the object in error messages
     */
    public static Fields of(String path, Map<String, Object> fields) {
        return new Fields(path, fields);
    }

    /** The name of the object in error messages. */
    public String name() {
        return path;
    }

    /** Whether the field is present and not null. */
    public boolean has(String field) {
        return fields.get(field) != null;
    }

    /** The value of an integer field. */
    public long whole(String field) {
        Object value = value(field);
        if (value instanceof Long || value instanceof Integer) {
            return ((Number) value).longValue();
        }
        throw wrong(field, "a whole number");
    }

    /** The value of an integer field, or the default. */
    public long whole(String field, long defaultValue) {
        return has(field) ? whole(field) : defaultValue;
    }

    /** The value of an integer field that is at least 0 and less than the limit. */
    public int index(String field, int limit) {
        long value = whole(field);
        if (value < 0 || value >= limit) {
            throw wrong(field, "a number from 0 to " + (limit - 1));
        }
        return (int) value;
    }

    /** The value of a numeric field. */
    public double number(String field) {
        Object value = value(field);
        if (value instanceof Number) {
            return ((Number) value).doubleValue();
        }
        throw wrong(field, "a number");
    }

    /** The value of a numeric field, or the default. */
    public double number(String field, double defaultValue) {
        return has(field) ? number(field) : defaultValue;
    }

    /** The value of a boolean field; false if it is missing or null. */
    public boolean flag(String field) {
        Object value = fields.get(field);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw wrong(field, "true or false");
    }

    /** The value of a string field. */
    public String text(String field) {
        Object value = value(field);
        if (value instanceof String) {
            return (String) value;
        }
        throw wrong(field, "a text");
    }

    /** The object in a field. */
    @SuppressWarnings("unchecked")
    public Fields object(String field) {
        Object value = value(field);
        if (value instanceof Map) {
            return new Fields(path + "." + field, (Map<String, Object>) value);
        }
        throw wrong(field, "an object");
    }

    /** The objects in a field that holds a list of them. */
    @SuppressWarnings("unchecked")
    public List<Fields> objects(String field) {
        List<Fields> objects = new ArrayList<>();
        for (Object value : list(field)) {
            if (!(value instanceof Map)) {
                throw wrong(field, "a list of objects");
            }
            objects.add(new Fields(path + "." + field, (Map<String, Object>) value));
        }
        return objects;
    }

    /** One element of a field that holds a list of numbers, or the default without the field. */
    public double number(String field, int index, double defaultValue) {
        if (!has(field)) {
            return defaultValue;
        }
        List<?> values = list(field);
        if (index < values.size() && values.get(index) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrong(field, "a list with a number for each class");
    }

    /** Creates the exception for a field whose value is not what is expected. */
    public InvalidInputException wrong(String field, String expected) {
        return new InvalidInputException(path + ": field " + field + " is not " + expected);
    }

    private List<?> list(String field) {
        Object value = value(field);
        if (value instanceof List) {
            return (List<?>) value;
        }
        throw wrong(field, "a list");
    }

    private Object value(String field) {
        Object value = fields.get(field);
        if (value == null) {
            throw new InvalidInputException(path + ": field " + field + " is missing");
        }
        return value;
    }
}
