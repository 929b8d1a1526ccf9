package gladewing.serve;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the JVM shuts down. Java's own resets itself in a
 * shutdown hook that runs beside ours, so that what is logged during the shutdown would be lost.
 */
public final class KeptLogs extends LogManager {
    /** Public because LogManager creates the one instance by reflection. */
    public KeptLogs() {}

    /** Does nothing: the program may log until the process exits. */
    @Override
    public void reset() {}
}
