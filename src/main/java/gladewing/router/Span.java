package gladewing.router;

/** A length of time, in microseconds; differences of times may be negative. */
public record Span(long micros) {

    public static final Span ZERO = new Span(0);

    public static Span ofMillis(double millis) {
        return new Span(Math.round(millis * 1000));
    }

    public double millis() {
        return micros / 1000.0;
    }

    public Span plus(Span other) {
        return new Span(micros + other.micros);
    }

    public Span minus(Span other) {
        return new Span(micros - other.micros);
    }

    public Span times(double factor) {
        return new Span(Math.round(micros * factor));
    }

    public boolean longerThan(Span other) {
        return micros > other.micros;
    }

    public boolean isNegative() {
        return micros < 0;
    }

    public static Span longest(Span a, Span b) {
        return a.longerThan(b) ? a : b;
    }

    public static Span shortest(Span a, Span b) {
        return a.longerThan(b) ? b : a;
    }
}
