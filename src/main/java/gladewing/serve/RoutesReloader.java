package gladewing.serve;

import gladewing.config.Config;
import gladewing.json.InvalidInputException;
import gladewing.routes.RouteFile;
import gladewing.routes.RouteTable;
import gladewing.routes.RouteValidationContext;
import gladewing.settings.InvalidSettingsException;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Reloads the table of routes (--routes) while the router runs. The file is read off the loop's
 * thread, and its table is put in force between two passes.
 */
final class RoutesReloader {
    private static final Logger LOG = Logger.getLogger(RoutesReloader.class.getName());
    private static final int MAX_COUNT_LINES = 50;

    private final String path;

    /** From the configuration that the process was started with; only a restart changes it. */
    private final RouteValidationContext site;

    private final RouterRuntime runtime;
    private final EventLoop thread;

    /** Used on the loop's thread only. */
    private RouteTable table;

    RoutesReloader(
            String path, Config config, RouterRuntime runtime, EventLoop thread, RouteTable table) {
        this.path = path;
        this.site = site(config);
        this.runtime = runtime;
        this.thread = thread;
        thread.execute(() -> use(table));
    }

    /**
     * Reads the file at the start of the process.
     *
     * @throws InvalidInputException with all faults of the file
     */
    static RouteTable read(String path, Config config) {
        try {
            return RouteFile.read(path, site(config));
        } catch (InvalidSettingsException invalid) {
            throw new InvalidInputException(invalid.getMessage());
        }
    }

    private static RouteValidationContext site(Config config) {
        return new RouteValidationContext(
                config.products(),
                config.settings().products(),
                config.tenants(),
                config.shards(),
                config.settings().routers());
    }

    /**
     * The names of the routes, each with the indices of the products that it may serve; used to
     * check settings that name routes.
     */
    static Map<String, Set<Integer>> routeProducts(RouteTable table, Config config) {
        return table.servedProducts(site(config));
    }

    /**
     * Reads the file again, on the signal's thread. Returns null if it is invalid, which is logged
     * in one line; the command `routes check` shows all its faults.
     */
    RouteTable reread() {
        try {
            return RouteFile.read(path, site);
        } catch (InvalidSettingsException invalid) {
            LOG.warning(
                    "routes: the table in use stays, "
                            + path
                            + " has "
                            + invalid.faults().size()
                            + " faults, the first: "
                            + invalid.faults().get(0).toString().lines().findFirst().orElse(""));
        } catch (RuntimeException fault) {
            LOG.warning("routes: the table in use stays, " + path + " can't be used: " + fault);
        }
        return null;
    }

    /** Puts a new table in force, on the loop's thread. */
    void replace(RouteTable newTable) {
        logCounts();
        use(newTable);
        LOG.info("routes read anew: " + newTable.routes().size() + " from " + path);
    }

    private void use(RouteTable newTable) {
        table = newTable;
        runtime.setRoutes(newTable);
    }

    /** Logs the counts of the table in force, on the loop's thread. */
    void logCounts() {
        List<String> counts = table.counterLines();
        counts.stream().limit(MAX_COUNT_LINES).forEach(LOG::info);
        if (counts.size() > MAX_COUNT_LINES) {
            LOG.info("and " + (counts.size() - MAX_COUNT_LINES) + " more routes with counts");
        }
    }
}
