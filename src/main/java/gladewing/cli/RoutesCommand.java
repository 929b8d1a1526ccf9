package gladewing.cli;

import gladewing.config.Config;
import gladewing.expr.Expression;
import gladewing.json.InvalidInputException;
import gladewing.routes.Route;
import gladewing.routes.RouteFile;
import gladewing.routes.RouteTable;
import gladewing.routes.RouteValidationContext;
import gladewing.routes.RoutingDecision;
import gladewing.routes.RoutingRequest;
import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks route tables, explains their decisions and replays recorded requests against them. */
@Command(
        name = "routes",
        mixinStandardHelpOptions = true,
        description = "Checks route tables and shows how they route requests.")
final class RoutesCommand implements Runnable {
    private static final int MAX_EXPLAIN_LINES = 200;

    @Spec private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "CONFIG.json",
            scope = picocli.CommandLine.ScopeType.INHERIT,
            description =
                    "The router's configuration, whose products, tenants and shards the table is"
                            + " checked against.")
    private String configPath;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "Missing a subcommand: check, explain or replay");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Returns null without --config: then the names of products and tenants are not checked. */
    private RouteValidationContext validationContext() {
        if (configPath == null) {
            return null;
        }
        try {
            return Commands.validationContext(Config.read(configPath));
        } catch (InvalidInputException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
    }

    /** Prints the faults and warnings of the file; the result is null if it has faults. */
    private RouteTable readTable(String path) {
        RouteFile.ValidationResult outcome =
                RouteFile.check(IniFile.read(path), validationContext());
        PrintWriter err = spec.commandLine().getErr();
        outcome.faults().forEach(err::println);
        for (Fault warning : outcome.warnings()) {
            err.println("warning: " + warning);
        }
        if (!outcome.faults().isEmpty()) {
            err.println(
                    outcome.faults().size()
                            + (outcome.faults().size() == 1 ? " fault" : " faults"));
        }
        return outcome.table();
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Prints each route with its type and the most steps it can take, or every fault"
                            + " of the file.")
    int check(@Parameters(paramLabel = "FILE") String file) {
        RouteTable table = readTable(file);
        if (table == null) {
            return Commands.EXIT_FAILED;
        }
        if (configPath == null) {
            out().println("no --config: the names of products and tenants are taken as they stand");
        }
        for (Route route : table.routes()) {
            out().println(
                            route.name
                                    + ": "
                                    + route.when.type()
                                    + ", at most "
                                    + route.maxSteps()
                                    + " steps"
                                    + (route.key == null ? "" : ", key " + route.key.type())
                                    + "; "
                                    + describeEffects(route));
        }
        out().println(
                        table.routes().size()
                                + " routes, one request costs at most "
                                + table.maxSteps()
                                + " steps");
        return Commands.EXIT_OK;
    }

    private static String describeEffects(Route route) {
        StringBuilder effects = new StringBuilder(route.observes ? "observes" : "acts");
        effects.append(route.product == null ? "" : ", product " + route.product)
                .append(route.tenant == null ? "" : ", tenant " + route.tenant)
                .append(route.limitName == null ? "" : ", limit " + route.limitName)
                .append(
                        route.turnAwayMicros < 0
                                ? ""
                                : ", turns away for " + route.turnAwayMicros / 1000 + " ms");
        return effects.toString();
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = "Prints how each route evaluates one request, and which route wins.")
    int explain(
            @Parameters(paramLabel = "FILE") String file,
            @Option(names = "--request", required = true, paramLabel = "REQUEST.json")
                    String requestPath) {
        RouteTable table = readTable(file);
        if (table == null) {
            return Commands.EXIT_FAILED;
        }
        RoutingRequest request = Requests.readRequest(requestPath);
        for (Route route : table.routes()) {
            explain("when", route.name, route.when, request);
            if (route.key != null) {
                explain("key", route.name, route.key, request);
            }
        }
        RoutingDecision decision = table.match(request);
        if (decision.observed() != null) {
            out().println(
                            "observed: "
                                    + decision.observed().name
                                    + " would win, but only observes");
        }
        out().println(
                        decision.route() == null
                                ? "won: none, the request stays as it is"
                                : "won: "
                                        + decision.route().name
                                        + " ("
                                        + describeEffects(decision.route())
                                        + ")");
        return Commands.EXIT_OK;
    }

    private void explain(
            String setting, String routeName, Expression expression, RoutingRequest request) {
        out().println(
                        "[route "
                                + routeName
                                + "] "
                                + setting
                                + " = "
                                + expression.formattedValue(request));
        expression
                .explain(request, MAX_EXPLAIN_LINES)
                .forEach(line -> out().println("    " + line));
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description =
                    "Counts the recorded requests that two tables route differently, by route.")
    int replay(
            @Parameters(paramLabel = "FILE") String file,
            @Option(
                            names = "--log",
                            required = true,
                            paramLabel = "LOG",
                            description = "Recorded requests, one JSON object on each line.")
                    String logPath,
            @Option(names = "--against", required = true, paramLabel = "OTHER") String otherFile) {
        RouteTable before = readTable(file);
        RouteTable after = readTable(otherFile);
        if (before == null || after == null) {
            return Commands.EXIT_FAILED;
        }
        List<Requests.Recorded> requests = Requests.readLog(logPath);
        Map<String, Integer> differences = new LinkedHashMap<>();
        int sameCount = 0;
        // Rate limits are applied only if every request has a time. Without times, all requests
        // would count as simultaneous, and only the burst of each limit would be tested.
        boolean hasTimes = requests.stream().allMatch(recorded -> recorded.receivedAtMicros() >= 0);
        for (Requests.Recorded recorded : requests) {
            String decisionBefore = describeDecision(before, recorded, hasTimes);
            String decisionAfter = describeDecision(after, recorded, hasTimes);
            if (decisionBefore.equals(decisionAfter)) {
                sameCount++;
            } else {
                differences.merge(decisionBefore + " -> " + decisionAfter, 1, Integer::sum);
            }
        }
        differences.forEach((difference, count) -> out().println(count + " " + difference));
        out().println(
                        requests.size()
                                + " requests, "
                                + sameCount
                                + " alike, "
                                + (requests.size() - sameCount)
                                + " different"
                                + (hasTimes
                                        ? ""
                                        : "; limits were left out, as not every request has"
                                                + " at_ms"));
        return Commands.EXIT_OK;
    }

    private static String describeDecision(
            RouteTable table, Requests.Recorded recorded, boolean hasTimes) {
        RoutingDecision decision =
                hasTimes
                        ? table.route(recorded.request(), recorded.receivedAtMicros())
                        : table.match(recorded.request());
        Route route = decision.route();
        return route == null
                ? "none"
                : route.name
                        + (hasTimes && decision.isDismissed()
                                ? " (turned away)"
                                : " (" + describeEffects(route) + ")");
    }
}
