package gladewing.router;

/**
 * A configured delay, counted from when a transmission was sent. Relative delays follow the recent
 * transmission times of the router.
 *
 * @param kind how the value is to be read
 * @param value in the unit that the kind says
 * @param cap upper bound of a relative delay, for when the whole fleet becomes slow; null for none
 */
public record Delay(Kind kind, double value, Span cap) {
    /** How the length of a delay is determined. */
    public enum Kind {
        /** The router decides, by whether the transmission is overdue. */
        ADAPTIVE,
        /** The delay never ends. */
        NEVER,
        /** The value is in milliseconds. */
        FIXED,
        /** The value is a multiple of the median of recent transmission times. */
        MEDIAN_MULTIPLE,
        /** The value is a percentile of recent transmission times, from 0 to 1. */
        PERCENTILE
    }

    public static final Delay ADAPTIVE = new Delay(Kind.ADAPTIVE, 0, null);
    public static final Delay NEVER = new Delay(Kind.NEVER, 0, null);
    public static final Delay NONE = fixed(Span.ZERO);

    public static Delay fixed(Span span) {
        return new Delay(Kind.FIXED, span.millis(), null);
    }

    /** The longest that the delay can become, or null if nothing bounds it. */
    public Span upperBound() {
        return kind == Kind.FIXED ? Span.ofMillis(value) : cap;
    }

    /** The given span, cut to the cap if there is one. */
    Span capped(Span span) {
        return cap == null ? span : Span.shortest(cap, span);
    }
}
