package gladewing.serve;

import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.attempts.RetryPolicies;
import gladewing.config.Config;
import gladewing.json.InvalidInputException;
import gladewing.router.Time;
import gladewing.settings.InvalidSettingsException;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Reloads the file of rows that say how parts are sent again (--attempts) while the router runs.
 * The file is read off the loop's thread, and its rows are put in force between two passes. This is
 * a class of its own so that no class of the attempts package is loaded without such a file.
 */
final class AttemptsReloader {
    private static final Logger LOG = Logger.getLogger(AttemptsReloader.class.getName());

    private final String path;

    /** The configuration that the process was started with; only a restart changes it. */
    private final Config config;

    private final RouterRuntime runtime;

    /** Used on the loop's thread only. */
    private RetryPolicies retryPolicies;

    private AttemptsReloader(String path, Config config, RouterRuntime runtime) {
        this.path = path;
        this.config = config;
        this.runtime = runtime;
    }

    /**
     * Reads a file and checks it against the configuration.
     *
     * @param routeProducts indices of the products that each route may serve, by the route's name;
     *     null without a table of routes
     * @throws InvalidInputException with all faults of the file
     */
    static AttemptsFile read(String path, Config config, Map<String, Set<Integer>> routeProducts) {
        try {
            return readChecked(path, config, routeProducts);
        } catch (InvalidSettingsException invalid) {
            throw new InvalidInputException(invalid.getMessage());
        }
    }

    /** Puts the rows in force at the start; called on the loop's thread. */
    static AttemptsReloader start(
            String path, Config config, RouterRuntime runtime, AttemptsFile attempts) {
        AttemptsReloader reloader = new AttemptsReloader(path, config, runtime);
        reloader.retryPolicies = attempts.retryPolicies();
        runtime.setRetryPolicies(reloader.retryPolicies::policyFor);
        return reloader;
    }

    private static AttemptsFile readChecked(
            String path, Config config, Map<String, Set<Integer>> routeProducts) {
        return AttemptsFile.read(
                path,
                new AttemptsValidationContext(
                        config.products(),
                        config.settings(),
                        config.connections().connectTimeOut(),
                        routeProducts));
    }

    /**
     * Reads the file again, on the signal's thread. Returns null if it is invalid, which is logged
     * in one line.
     */
    AttemptsFile reread(Map<String, Set<Integer>> routeProducts) {
        try {
            return readChecked(path, config, routeProducts);
        } catch (InvalidSettingsException invalid) {
            LOG.warning(
                    "attempts: the rows in use stay, "
                            + path
                            + " has "
                            + invalid.faults().size()
                            + " faults, the first: "
                            + invalid.faults().get(0).toString().lines().findFirst().orElse(""));
        } catch (RuntimeException fault) {
            LOG.warning("attempts: the rows in use stay, " + path + " can't be used: " + fault);
        }
        return null;
    }

    /**
     * Puts new rows in force, on the loop's thread. Multigets that are open keep the row that they
     * began with.
     */
    void replace(AttemptsFile attempts, Time now) {
        logUse(now);
        RetryPolicies next = attempts.retryPolicies();
        next.carryOverBudgets(retryPolicies, now);
        retryPolicies = next;
        runtime.setRetryPolicies(next::policyFor);
        LOG.info("attempts read anew: " + attempts.rowCount() + " rows from " + path);
    }

    /** Logs how many further transmissions each budget has recently counted. */
    void logUse(Time now) {
        retryPolicies
                .retriesByBudget(now)
                .forEach(line -> LOG.info("further transmissions of late, " + line));
    }
}
