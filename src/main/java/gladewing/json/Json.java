package gladewing.json;

import gladewing.buffer.Utf8;
import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a JSON text. Objects become maps in the order of their fields, arrays become lists, and
 * numbers become Long, or Double if they have a fraction, an exponent or more than 18 characters. A
 * text that can't be passed on as it is is an error: malformed UTF-8 and halves of surrogate pairs.
 */
public final class Json {
    /** Deeper than any valid message; it bounds the stack that a hostile text can use. */
    private static final int MAX_DEPTH = 32;

    private final String text;
    private final int maxValues;

    /** How many values have begun. */
    private int values;

    /** Position of the next character. */
    private int position;

    private Json(String text, int maxValues) {
        this.text = text;
        this.maxValues = maxValues;
    }

    /**
     * Parses a whole text.
     *
     * @throws InvalidInputException if it is not one JSON value
     */
    public static Object read(byte[] utf8) {
        return read(utf8, Integer.MAX_VALUE);
    }

    /**
     * Parses a whole text with a bound on the memory of the result: a value takes far more than the
     * one or two bytes that it may be written with.
     *
     * @param maxValues how many objects, arrays, strings, numbers and words there may be
     * @throws InvalidInputException if it is not one JSON value, or has more values
     */
    private static Object read(byte[] utf8, int maxValues) {
        Json json = new Json(decode(utf8), maxValues);
        Object value = json.value(0);
        json.skipSpace();
        if (json.position < json.text.length()) {
            throw json.error("unexpected text after the value");
        }
        return value;
    }

    /**
     * Parses a text that is a JSON object.
     *
     * @param name name of the object in error messages
     * @throws InvalidInputException if the text is not one JSON object
     */
    public static Fields fields(String name, byte[] utf8) {
        return fields(name, utf8, Integer.MAX_VALUE);
    }

    /**
     * Parses a text that is a JSON object with a bound on the memory of the result.
     *
     * @param name name of the object in error messages
     * @param maxValues how many objects, arrays, strings, numbers and words there may be
     * @throws InvalidInputException if the text is not one JSON object, or has more values
     */
    @SuppressWarnings("unchecked")
    public static Fields fields(String name, byte[] utf8, int maxValues) {
        if (read(utf8, maxValues) instanceof Map<?, ?> object) {
            return Fields.of(name, (Map<String, Object>) object);
        }
        throw new InvalidInputException(name + ": not a JSON object");
    }

    /** Appends a text as a JSON string, with quotation marks and escapes. */
    public static void quote(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private static String decode(byte[] utf8) {
        try {
            return Utf8.decode(utf8);
        } catch (CharacterCodingException malformed) {
            throw new InvalidInputException("not JSON: not UTF-8");
        }
    }

    private InvalidInputException error(String reason) {
        return new InvalidInputException("not JSON at character " + position + ": " + reason);
    }

    private void skipSpace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private char next() {
        if (position >= text.length()) {
            throw error("unexpected end of the text");
        }
        return text.charAt(position++);
    }

    /** Skips white space and, if it comes next, the expected character; tells whether it did. */
    private boolean consumeIf(char expected) {
        skipSpace();
        if (position < text.length() && text.charAt(position) == expected) {
            position++;
            return true;
        }
        return false;
    }

    private void consume(char expected) {
        if (!consumeIf(expected)) {
            throw error("expected " + expected);
        }
    }

    private Object value(int depth) {
        if (depth > MAX_DEPTH) {
            throw error("nested deeper than " + MAX_DEPTH + " levels");
        }
        if (++values > maxValues) {
            throw error("more than " + maxValues + " values");
        }
        skipSpace();
        char c = next();
        switch (c) {
            case '{':
                return object(depth);
            case '[':
                return array(depth);
            case '"':
                return string();
            case 't':
                return word("true", Boolean.TRUE);
            case 'f':
                return word("false", Boolean.FALSE);
            case 'n':
                return word("null", null);
            default:
                position--;
                return number();
        }
    }

    private Object object(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        if (consumeIf('}')) {
            return object;
        }
        do {
            consume('"');
            String name = string();
            consume(':');
            object.put(name, value(depth + 1));
        } while (consumeIf(','));
        consume('}');
        return object;
    }

    private Object array(int depth) {
        List<Object> array = new ArrayList<>();
        if (consumeIf(']')) {
            return array;
        }
        do {
            array.add(value(depth + 1));
        } while (consumeIf(','));
        consume(']');
        return array;
    }

    /** Parses the rest of true, false or null. */
    private Object word(String word, Object value) {
        if (!text.startsWith(word, position - 1)) {
            throw error("expected a value");
        }
        position += word.length() - 1;
        return value;
    }

    private String string() {
        int start = position;
        for (char c = next(); c != '"'; c = next()) {
            if (c == '\\') {
                position--;
                return escaped(new StringBuilder(text.substring(start, position)));
            }
            if (c < ' ') {
                throw error("control character in a string");
            }
        }
        return text.substring(start, position - 1);
    }

    /** Parses the rest of a string from its first escape on. */
    private String escaped(StringBuilder unescaped) {
        for (char c = next(); c != '"'; c = next()) {
            if (c < ' ') {
                throw error("control character in a string");
            }
            unescaped.append(c == '\\' ? escape() : c);
        }
        String string = unescaped.toString();
        if (!Utf8.isEncodable(string)) {
            throw error("an escape for half of a surrogate pair");
        }
        return string;
    }

    private char escape() {
        char c = next();
        int simpleEscape = "\"\\/bfnrt".indexOf(c);
        if (simpleEscape >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(simpleEscape);
        }
        if (c != 'u') {
            throw error("unknown escape sequence");
        }
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(next(), 16);
            if (digit < 0) {
                throw error("expected four hexadecimal digits after \\u");
            }
            code = code * 16 + digit;
        }
        return (char) code;
    }

    /** Skips one or more digits and returns their number. */
    private int digits() {
        int start = position;
        while (position < text.length()
                && text.charAt(position) >= '0'
                && text.charAt(position) <= '9') {
            position++;
        }
        if (position == start) {
            throw error("expected a digit");
        }
        return position - start;
    }

    private Object number() {
        int start = position;
        position += text.charAt(position) == '-' ? 1 : 0;
        boolean startsWithZero = position < text.length() && text.charAt(position) == '0';
        if (digits() > 1 && startsWithZero) {
            throw error("number with a leading 0");
        }
        boolean isInteger = true;
        if (position < text.length() && text.charAt(position) == '.') {
            position++;
            digits();
            isInteger = false;
        }
        if (position < text.length() && (text.charAt(position) | ' ') == 'e') {
            position++;
            position +=
                    position < text.length()
                                    && (text.charAt(position) == '+'
                                            || text.charAt(position) == '-')
                            ? 1
                            : 0;
            digits();
            isInteger = false;
        }
        String number = text.substring(start, position);
        if (isInteger && number.length() <= 18) {
            return Long.parseLong(number);
        }
        return Double.parseDouble(number);
    }
}
