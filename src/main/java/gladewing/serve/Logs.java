package gladewing.serve;

import java.util.logging.LogManager;

/**
 * Java's log manager resets itself in a shutdown hook of its own, beside ours: what is logged while the
 * program ends would be lost. This one leaves its handlers alone until the end says so.
 */
public final class Logs extends LogManager {
    private static final String FORMAT = "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    /** Public for LogManager, which makes the one instance. */
    public Logs() { }

    /** Before anything is logged. */
    static void install() {
        System.setProperty("java.util.logging.manager", Logs.class.getName());
        if (System.getProperty("java.util.logging.SimpleFormatter.format") == null) {
            System.setProperty("java.util.logging.SimpleFormatter.format", FORMAT);
        }
        java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
        for (java.util.logging.Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LogWriter(System.err));
    }

    @Override
    public void reset() {
        // Not while the program may still log.
    }
}
