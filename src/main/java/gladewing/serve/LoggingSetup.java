package gladewing.serve;

import gladewing.events.RouterEvents;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Sets up java.util.logging to write one line per record to standard error. */
final class LoggingSetup {
    private static final String FORMAT = "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    private LoggingSetup() {}

    /**
     * Must run before anything is logged. The log manager is set here and by its name, because
     * loading KeptLogs would initialize LogManager, which reads the property then.
     */
    static void install() {
        // Otherwise Netty looks for other logging libraries first, and loads what it finds.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.setProperty("java.util.logging.manager", "gladewing.serve.KeptLogs");
        if (System.getProperty("java.util.logging.SimpleFormatter.format") == null) {
            System.setProperty("java.util.logging.SimpleFormatter.format", FORMAT);
        }
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new AsyncLogHandler(System.err));
        RouterEvents.configureLog();
    }

    static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
