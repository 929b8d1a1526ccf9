package gladewing.attempts;

import gladewing.router.Delay;
import gladewing.router.Settings;
import gladewing.router.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The longest possible sequence of transmissions of one part under the settings of a row: each
 * transmission but the last is unanswered until it times out, each backoff has the greatest jitter,
 * and each timer is handled one deadline margin late. All times are in microseconds since the first
 * transmission.
 */
final class WorstCaseTimeline {
    private record Event(long at, String description) {}

    private final List<Event> events = new ArrayList<>();

    /** When the last transmission starts. */
    long lastStart;

    /** When the answer to the last transmission must be there. */
    long end;

    /**
     * False for a row whose time-out is an uncapped multiple of the median, as that has no upper
     * bound.
     */
    static boolean isBounded(AttemptsRow row) {
        return row.timeOut().kind() != Delay.Kind.MEDIAN_MULTIPLE
                || row.timeOut().cap() != null
                || row.number(AttemptsKey.SPLIT) < 1;
    }

    /**
     * Computes the timeline of the given number of transmissions for a client with the given time.
     */
    WorstCaseTimeline(
            AttemptsRow row,
            Settings settings,
            Span connectTimeout,
            Span clientTime,
            int transmissions) {
        long margin = settings.deadlineMargin().micros();
        long limit = clientTime.micros();
        long quoted = row.productSettings.quotedTime().micros();
        long at = 0;
        addEvent(0, "transmission 1 is sent");
        for (int k = 1; k < transmissions; k++) {
            at += Math.max(0, longestTimeOut(row, at, limit, quoted));
            addEvent(at, "transmission " + k + " times out");
            at += margin;
            long wait = longestBackoff(row, k);
            if (wait > 0) {
                addEvent(
                        at,
                        "that is noticed, and transmission "
                                + (k + 1)
                                + " waits "
                                + formatMillis(wait));
                at += wait + margin;
            }
            addEvent(at, "transmission " + (k + 1) + " is sent");
        }
        lastStart = at;
        long reserve = Math.max(connectTimeout.micros(), reserve(row));
        end = at + reserve + margin;
        addEvent(
                end,
                "it has connected, had " + formatMillis(reserve) + " in all, and must be answered");
    }

    /**
     * The time that is kept for the last transmission. A multiple of the median counts as its cap,
     * or as 0 if it has none.
     */
    static long reserve(AttemptsRow row) {
        Span bound = row.minTimeLeft().upperBound();
        return bound == null ? 0 : bound.micros();
    }

    private static long longestBackoff(AttemptsRow row, int sent) {
        double backoff =
                Math.min(
                        row.span(AttemptsKey.WAIT).micros()
                                * Math.pow(row.number(AttemptsKey.GROWTH), sent - 1.0),
                        row.span(AttemptsKey.WAIT_MOST).micros());
        return Math.round(backoff * (1 + row.number(AttemptsKey.JITTER)));
    }

    private static long longestTimeOut(AttemptsRow row, long at, long limit, long quoted) {
        Delay timeOut = row.timeOut();
        long bound =
                timeOut.kind() == Delay.Kind.ADAPTIVE
                                || timeOut.kind() == Delay.Kind.NEVER
                                || timeOut.upperBound() == null
                        ? Long.MAX_VALUE
                        : timeOut.upperBound().micros();
        long target = at < quoted && quoted < limit ? quoted : limit;
        double split = row.number(AttemptsKey.SPLIT);
        return split < 1 ? Math.min(bound, Math.round((target - at) * split)) : bound;
    }

    void addEvent(long at, String description) {
        events.add(new Event(at, description));
    }

    /** The events as text, sorted by time. */
    List<String> events() {
        return events.stream()
                .sorted(Comparator.comparingLong(Event::at))
                .map(e -> "t = " + formatMillis(e.at) + ": " + e.description)
                .toList();
    }

    static String formatMillis(long micros) {
        return micros % 1000 == 0 ? micros / 1000 + " ms" : micros / 1000.0 + " ms";
    }
}
