package gladewing.attempts;

import gladewing.router.Delay;
import gladewing.router.Span;
import gladewing.settings.Section;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The keys of an attempts file: for each its name, its default and how its value is parsed. */
enum AttemptsKey {
    TRANSMISSIONS("transmissions", null, s -> (int) s.whole("transmissions", 1, 1, 100)),
    TIME_OUT(
            "time-out",
            "overdue",
            s ->
                    delay(
                            s,
                            "time-out",
                            Delay.Kind.ADAPTIVE,
                            Delay.Kind.NEVER,
                            Delay.Kind.FIXED,
                            Delay.Kind.MEDIAN_MULTIPLE)),
    SPLIT("split", "1", s -> s.number("split", 1, 0.01, 1)),
    WAIT("wait", "0ms", s -> new Span(s.micros("wait", 0, 0, AttemptsKey.LONGEST))),
    GROWTH("wait-growth", "1", s -> s.number("wait-growth", 1, 1, 10)),
    WAIT_MOST(
            "wait-most",
            "10m",
            s -> new Span(s.micros("wait-most", AttemptsKey.LONGEST, 0, AttemptsKey.LONGEST))),
    JITTER("jitter", "0", s -> s.number("jitter", 0, 0, 0.9)),
    COPY_AFTER(
            "copy-after",
            "overdue",
            s ->
                    delay(
                            s,
                            "copy-after",
                            Delay.Kind.ADAPTIVE,
                            Delay.Kind.NEVER,
                            Delay.Kind.FIXED,
                            Delay.Kind.MEDIAN_MULTIPLE,
                            Delay.Kind.PERCENTILE)),
    LAST_START(
            "last-start",
            "0ms",
            s -> delay(s, "last-start", Delay.Kind.FIXED, Delay.Kind.MEDIAN_MULTIPLE)),
    LEAST_SHARE("least-share", "0", s -> s.number("least-share", 0, 0, 1)),
    CLIENT_TIME(
            "client-time",
            null,
            s -> new Span(s.micros("client-time", 1000, 1000, AttemptsKey.LONGEST))),
    BUDGET(
            "budget",
            "none",
            s -> s.text("budget").equals("none") ? null : s.number("budget", 0, 0, 100)),
    FLOOR("budget-floor", "1", s -> s.number("budget-floor", 1, 0, 100_000)),
    BUDGET_SPAN(
            "budget-span",
            "5s",
            s -> new Span(s.micros("budget-span", 5_000_000, 100_000, AttemptsKey.LONGEST)));

    /** In microseconds. */
    static final long LONGEST = 600_000_000;

    private static final Pattern MEDIAN_MULTIPLE =
            Pattern.compile(
                    "([0-9]{1,4}(?:\\.[0-9]{1,3})?) usual(?:, at most ([0-9.]{1,12}[a-z]{1,2}))?");
    private static final Pattern PERCENTILE = Pattern.compile("p([0-9]{1,2}(?:\\.[0-9]{1,2})?)");

    final String settingName;

    /** Null if the default is a value of the site's configuration. */
    final String defaultText;

    private final java.util.function.Function<Section, Object> parser;

    AttemptsKey(
            String settingName,
            String defaultText,
            java.util.function.Function<Section, Object> parser) {
        this.settingName = settingName;
        this.defaultText = defaultText;
        this.parser = parser;
    }

    /**
     * Parses the value in the section. Reports a fault if it is invalid, and then returns a valid
     * placeholder.
     */
    Object parse(Section section) {
        return parser.apply(section);
    }

    private static Delay delay(Section section, String key, Delay.Kind... kinds) {
        List<Delay.Kind> allowed = List.of(kinds);
        String text = section.text(key);
        Delay delay = delay(text);
        if (delay != null && allowed.contains(delay.kind())) {
            return delay;
        }
        List<String> wanted = new ArrayList<>();
        for (Delay.Kind kind : allowed) {
            wanted.add(
                    switch (kind) {
                        case ADAPTIVE -> "overdue";
                        case NEVER -> "never";
                        case FIXED -> "a time such as 250ms";
                        case MEDIAN_MULTIPLE -> "3 usual, or 3 usual, at most 800ms";
                        case PERCENTILE -> "p95";
                    });
        }
        section.fault(key, "'" + text + "', wanted: " + String.join("; ", wanted));
        return allowed.contains(Delay.Kind.ADAPTIVE) ? Delay.ADAPTIVE : Delay.NONE;
    }

    /** Null if the text is not a delay. */
    static Delay delay(String text) {
        if (text.equals("overdue") || text.equals("never")) {
            return text.equals("never") ? Delay.NEVER : Delay.ADAPTIVE;
        }
        Matcher medianMultiple = MEDIAN_MULTIPLE.matcher(text);
        if (medianMultiple.matches()) {
            long cap =
                    medianMultiple.group(2) == null ? 0 : Section.micros(medianMultiple.group(2));
            boolean isValid =
                    cap >= 0 && cap <= LONGEST && Double.parseDouble(medianMultiple.group(1)) > 0;
            return !isValid
                    ? null
                    : new Delay(
                            Delay.Kind.MEDIAN_MULTIPLE,
                            Double.parseDouble(medianMultiple.group(1)),
                            medianMultiple.group(2) == null ? null : new Span(cap));
        }
        Matcher percentile = PERCENTILE.matcher(text);
        if (percentile.matches()) {
            return new Delay(
                    Delay.Kind.PERCENTILE, Double.parseDouble(percentile.group(1)) / 100, null);
        }
        long micros = Section.micros(text);
        return micros < 0 || micros > LONGEST ? null : Delay.fixed(new Span(micros));
    }
}
