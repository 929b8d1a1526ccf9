package gladewing.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One section of a settings file. A value that can't be read is a fault of the file, and its
 * stand-in is returned so that the rest of the file is checked too.
 */
public final class Section {
    /** Without nested repetition, so that the time to match is linear in the length of the text. */
    private static final Pattern DURATION =
            Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s|m|h)");

    public final String name;
    final Map<String, String> values = new LinkedHashMap<>();
    private final IniFile file;

    Section(IniFile file, String name) {
        this.file = file;
        this.name = name;
    }

    /** The keys, in the order of the file. */
    public Set<String> keys() {
        return values.keySet();
    }

    /** Whether the section has the key. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** Adds a fault of this key to those of the file. */
    public void fault(String key, String what) {
        file.fault(name, key, what);
    }

    /** The value of the key, or null if it is absent. */
    public String text(String key) {
        return values.get(key);
    }

    /** The value of the key, or the default if it is absent. */
    public String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    /** A value that must be one of the words; the first word is the default. */
    public String word(String key, List<String> words) {
        String value = text(key, words.get(0));
        if (!words.contains(value)) {
            fault(key, "'" + value + "', wanted: " + String.join(" or ", words));
            return words.get(0);
        }
        return value;
    }

    /** An integer within bounds, or the default if the value is absent or invalid. */
    public long whole(String key, long defaultValue, long min, long max) {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number out of bounds.
        }
        fault(key, "'" + value + "', wanted: a whole number from " + min + " to " + max);
        return defaultValue;
    }

    /** A number within bounds, or the default if the value is absent or invalid. */
    public double number(String key, double defaultValue, double min, double max) {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number out of bounds.
        }
        fault(key, "'" + value + "', wanted: a number from " + min + " to " + max);
        return defaultValue;
    }

    /**
     * A duration such as 250ms, 1.5s, 2m or 1h, in microseconds, as are the default and the bounds.
     */
    public long micros(String key, long defaultValue, long min, long max) {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        long micros = micros(value);
        if (micros < min || micros > max) {
            fault(
                    key,
                    "'"
                            + value
                            + "', wanted: a time from "
                            + min / 1000.0
                            + "ms to "
                            + max / 1e6
                            + "s, such as 250ms, 1.5s or 2m");
            return defaultValue;
        }
        return micros;
    }

    /** The microseconds of a duration such as 250ms; -1 if the text is not a duration. */
    public static long micros(String text) {
        Matcher duration = DURATION.matcher(text);
        if (!duration.matches()) {
            return -1;
        }
        long unit =
                switch (duration.group(2)) {
                    case "ms" -> 1_000L;
                    case "s" -> 1_000_000L;
                    case "m" -> 60_000_000L;
                    default -> 3_600_000_000L;
                };
        return Math.round(Double.parseDouble(duration.group(1)) * unit);
    }

    /** Reports each key that is not known as a fault, which suggests the nearest known key. */
    public void only(String... known) {
        Set<String> knownKeys = new TreeSet<>(List.of(known));
        for (String key : values.keySet()) {
            if (!knownKeys.contains(key)) {
                String suggestion = NearestName.of(key, knownKeys);
                fault(
                        key,
                        "no such key, wanted: "
                                + (suggestion != null ? suggestion : String.join(", ", knownKeys)));
            }
        }
    }
}
