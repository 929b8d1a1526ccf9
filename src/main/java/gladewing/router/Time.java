package gladewing.router;

/** A point in time, in microseconds on a monotonic clock with an arbitrary origin. */
public record Time(long micros) {

    public static Time ofMillis(double millis) {
        return new Time(Math.round(millis * 1000));
    }

    public Time plus(Span span) {
        return new Time(micros + span.micros());
    }

    public Time minus(Span span) {
        return new Time(micros - span.micros());
    }

    public Span since(Time earlier) {
        return new Span(micros - earlier.micros);
    }

    public boolean before(Time other) {
        return micros < other.micros;
    }
}
