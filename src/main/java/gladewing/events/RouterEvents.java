package gladewing.events;

import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Counts the events of one router, and logs each of them at {@link Level#FINE}, with the id of the
 * request or the address of the connection that it concerns. Used on the event loop's thread only.
 */
public final class RouterEvents {
    private static final Logger LOG = Logger.getLogger(RouterEvents.class.getName());

    /** The system property that switches the log of single events on. */
    private static final String LOG_PROPERTY = "gladewing.events";

    private final long[] counts = new long[Event.values().length];

    /** Switches the log of single events on if the process was started with its property. */
    public static void configureLog() {
        if (Boolean.getBoolean(LOG_PROPERTY)) {
            LOG.setLevel(Level.FINE);
        }
    }

    /**
     * Records an event.
     *
     * @param subject the id of a request, or the address of a connection
     * @param detail the reason or the outcome, an enum or a short text
     */
    public void record(Event event, Object subject, Object detail) {
        counts[event.ordinal()]++;
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine(event + " " + subject + " " + detail);
        }
    }

    /** Whether single events are logged, so that their details are needed. */
    public boolean isLogged() {
        return LOG.isLoggable(Level.FINE);
    }

    /** How often an event was recorded. */
    public long count(Event event) {
        return counts[event.ordinal()];
    }

    /** All events that were recorded, with their counts, on one line. */
    public String summary() {
        return Arrays.stream(Event.values())
                .filter(event -> count(event) > 0)
                .map(event -> event + " " + count(event))
                .collect(Collectors.joining(", "));
    }
}
