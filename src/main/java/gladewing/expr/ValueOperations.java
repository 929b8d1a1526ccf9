package gladewing.expr;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Operations on values that the interpreter and the compiled form share. */
final class ValueOperations {
    private static final Hasher64 HASHER = Hashing.xxh3_64();
    private static final Pattern DURATION_PART =
            Pattern.compile("(\\d{1,12})(\\.\\d{1,9})?(h|ms|m|s|us)");

    private ValueOperations() {}

    /** Whether a + b fits into 64 bits. */
    static boolean sumFits(long a, long b) {
        return ((a ^ a + b) & (b ^ a + b)) >= 0;
    }

    static boolean differenceFits(long a, long b) {
        return ((a ^ b) & (a ^ a - b)) >= 0;
    }

    static boolean productFits(long a, long b) {
        long high = Math.multiplyHigh(a, b);
        return high == 0 && a * b >= 0 || high == -1 && a * b < 0;
    }

    static boolean quotientFits(long a, long b) {
        return b != 0 && !(a == Long.MIN_VALUE && b == -1);
    }

    static boolean fitsInt(double number) {
        return number > -0x1p63 && number < 0x1p63;
    }

    /** Parses a decimal int; null if the text is not one or does not fit into 64 bits. */
    static Long parseInt(String text) {
        int from = text.startsWith("-") ? 1 : 0;
        if (text.length() == from || text.length() > from + 19) {
            return null;
        }
        long value = 0;
        for (int i = from; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9 || value < (Long.MIN_VALUE + digit) / 10) {
                return null;
            }
            value = value * 10 - digit;
        }
        return from == 1
                ? Long.valueOf(value)
                : value == Long.MIN_VALUE ? null : Long.valueOf(-value);
    }

    /**
     * Parses a double: digits with an optional point and exponent. Null if the text is not one or
     * is longer than MAX_NUMBER_LENGTH.
     */
    static Double parseDouble(String text) {
        if (text.isEmpty() || text.length() > Function.MAX_NUMBER_LENGTH) {
            return null;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ("0123456789+-.eE".indexOf(c) < 0) {
                return null;
            }
        }
        try {
            return Double.valueOf(text);
        } catch (NumberFormatException invalid) {
            return null;
        }
    }

    /**
     * Parses a duration: numbers with the units h, m, s, ms or us, with an optional minus before
     * the first. Null if the text is not one or exceeds 2^53 microseconds.
     */
    static Duration parseDuration(String text) {
        String rest = text.startsWith("-") ? text.substring(1) : text;
        double micros = 0;
        Matcher part = DURATION_PART.matcher(rest);
        int at = 0;
        while (at < rest.length()
                && rest.length() <= Function.MAX_NUMBER_LENGTH
                && part.find()
                && part.start() == at) {
            String fraction = part.group(2) == null ? "" : part.group(2);
            double unit =
                    switch (part.group(3)) {
                        case "h" -> 3.6e9;
                        case "m" -> 6e7;
                        case "s" -> 1e6;
                        case "ms" -> 1e3;
                        default -> 1;
                    };
            micros += Double.parseDouble(part.group(1) + fraction) * unit;
            at = part.end();
        }
        if (at != rest.length() || at == 0 || micros > 0x1p53) {
            return null;
        }
        return durationOfMicros(Math.round(text.startsWith("-") ? -micros : micros));
    }

    static Duration durationOfMicros(long micros) {
        return Duration.ofSeconds(
                Math.floorDiv(micros, 1_000_000L), Math.floorMod(micros, 1_000_000L) * 1000);
    }

    static long toMicros(Duration duration) {
        return duration.getSeconds() * 1_000_000 + duration.getNano() / 1000;
    }

    /** Formats a duration in seconds, as CEL does. */
    static String formatDuration(long micros) {
        return BigDecimal.valueOf(micros, 6).stripTrailingZeros().toPlainString() + "s";
    }

    static String lowerAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= 'A' && text.charAt(i) <= 'Z') {
                char[] characters = text.toCharArray();
                for (int j = i; j < characters.length; j++) {
                    characters[j] += characters[j] >= 'A' && characters[j] <= 'Z' ? 32 : 0;
                }
                return new String(characters);
            }
        }
        return text;
    }

    static long codePoints(String text) {
        return text.codePointCount(0, text.length());
    }

    /**
     * The hash of one argument. Each type has a number of its own that enters the hash, so that '1'
     * and 1 are different keys: string 1, int 2, double 3, bool 4, duration 5.
     */
    static long hash(String text) {
        return HASHER.hashLongLongToLong(1, HASHER.hashCharsToLong(text));
    }

    static long hash(int typeNumber, long bits) {
        return HASHER.hashLongLongToLong(typeNumber, bits);
    }

    /** Combines the hash of the arguments so far with that of the next. */
    static long hash(long previousHash, long nextHash) {
        return HASHER.hashLongLongToLong(previousHash, nextHash);
    }

    static long hash(Object value) {
        if (value instanceof String text) {
            return hash(text);
        }
        if (value instanceof Long integer) {
            return hash(2, integer);
        }
        if (value instanceof Double number) {
            return hash(3, Double.doubleToLongBits(number));
        }
        return value instanceof Boolean flag
                ? hash(4, flag ? 1 : 0)
                : hash(5, toMicros((Duration) value));
    }

    @SuppressWarnings("unchecked")
    static int compare(Object a, Object b) {
        return ((Comparable<Object>) a).compareTo(b);
    }

    /** Equality as CEL defines it: doubles are compared by value, so NaN is equal to nothing. */
    static boolean equal(Object a, Object b) {
        if (a instanceof Double x && b instanceof Double y) {
            return x.doubleValue() == y.doubleValue();
        }
        if (a instanceof java.util.List<?> x && b instanceof java.util.List<?> y) {
            boolean same = x.size() == y.size();
            for (int i = 0; same && i < x.size(); i++) {
                same = equal(x.get(i), y.get(i));
            }
            return same;
        }
        return a.equals(b);
    }
}
