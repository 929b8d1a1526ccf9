package gladewing.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One JSON object off the wire, read by field; what is missing or wrong is named in the complaint. */
final class Message {
    private final String path;
    private final Map<String, Object> fields;

    private Message(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /** The parser stands on the object's opening brace. */
    static Message read(JsonParser parser) throws IOException {
        Map<String, Object> fields = object(parser);
        Object name = fields.get("m");
        if (!(name instanceof String)) {
            throw new BadMessage("message without a name: field m is missing or not a text");
        }
        return new Message((String) name, fields);
    }

    String name() {
        return path;
    }

    boolean has(String field) {
        return fields.get(field) != null;
    }

    long whole(String field) {
        Object value = value(field);
        if (value instanceof Long || value instanceof Integer) {
            return ((Number) value).longValue();
        }
        throw wrong(field, "a whole number");
    }

    long whole(String field, long otherwise) {
        return has(field) ? whole(field) : otherwise;
    }

    int index(String field, int below) {
        long value = whole(field);
        if (value < 0 || value >= below) {
            throw wrong(field, "a number from 0 to " + (below - 1));
        }
        return (int) value;
    }

    double number(String field) {
        Object value = value(field);
        if (value instanceof Number) {
            return ((Number) value).doubleValue();
        }
        throw wrong(field, "a number");
    }

    double number(String field, double otherwise) {
        return has(field) ? number(field) : otherwise;
    }

    boolean flag(String field) {
        Object value = fields.get(field);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw wrong(field, "true or false");
    }

    String text(String field) {
        Object value = value(field);
        if (value instanceof String) {
            return (String) value;
        }
        throw wrong(field, "a text");
    }

    @SuppressWarnings("unchecked")
    Message object(String field) {
        Object value = value(field);
        if (value instanceof Map) {
            return new Message(path + "." + field, (Map<String, Object>) value);
        }
        throw wrong(field, "an object");
    }

    @SuppressWarnings("unchecked")
    List<Message> objects(String field) {
        List<Message> all = new ArrayList<>();
        for (Object value : list(field)) {
            if (!(value instanceof Map)) {
                throw wrong(field, "a list of objects");
            }
            all.add(new Message(path + "." + field, (Map<String, Object>) value));
        }
        return all;
    }

    double number(String field, int at, double otherwise) {
        if (!has(field)) {
            return otherwise;
        }
        List<?> values = list(field);
        if (at < values.size() && values.get(at) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrong(field, "a list with a number for each class");
    }

    BadMessage wrong(String field, String wanted) {
        return new BadMessage(path + ": field " + field + " is not " + wanted);
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
            throw new BadMessage(path + ": field " + field + " is missing");
        }
        return value;
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            parser.nextToken();
            fields.put(field, anyValue(parser));
        }
        return fields;
    }

    private static Object anyValue(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                List<Object> all = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    all.add(anyValue(parser));
                }
                return all;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getNumberValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }
}
