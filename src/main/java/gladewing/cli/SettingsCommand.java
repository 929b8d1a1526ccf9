package gladewing.cli;

import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.config.Config;
import gladewing.json.InvalidInputException;
import gladewing.routes.RouteFile;
import gladewing.routes.RouteTable;
import gladewing.routes.RouteValidationContext;
import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Checks that the retry settings are safe, and shows which section each value comes from. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Checks and shows a file of retry settings.")
final class SettingsCommand implements Runnable {
    @Spec private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "CONFIG.json",
            scope = ScopeType.INHERIT,
            required = true,
            description =
                    "The router's configuration, whose products and rules the file is checked"
                            + " against.")
    private String configPath;

    @Option(
            names = "--routes",
            paramLabel = "ROUTES.ini",
            scope = ScopeType.INHERIT,
            description = "The route table whose routes the file may name.")
    private String routesPath;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Missing a subcommand: check or show");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints the faults of the files; the result is null if there are any. */
    private AttemptsFile readAttempts(String path) {
        Config config;
        try {
            config = Config.read(configPath);
        } catch (InvalidInputException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
        Map<String, Set<Integer>> servedProducts = null;
        if (routesPath != null) {
            RouteValidationContext validationContext = Commands.validationContext(config);
            RouteFile.ValidationResult outcome =
                    RouteFile.check(IniFile.read(routesPath), validationContext);
            RouteTable table = outcome.table();
            if (table == null) {
                printFaults(outcome.faults());
                return null;
            }
            servedProducts = table.servedProducts(validationContext);
        }
        AttemptsFile.ValidationResult outcome =
                AttemptsFile.check(
                        IniFile.read(path),
                        new AttemptsValidationContext(
                                config.products(),
                                config.settings(),
                                config.connections().connectTimeOut(),
                                servedProducts));
        printFaults(outcome.faults());
        return outcome.attempts();
    }

    private void printFaults(List<Fault> faults) {
        PrintWriter err = spec.commandLine().getErr();
        faults.forEach(err::println);
        if (!faults.isEmpty()) {
            err.println(faults.size() + (faults.size() == 1 ? " fault" : " faults"));
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the worst case of each row if all are safe, or every fault with a"
                            + " sequence of events that shows it.")
    int check(@Parameters(paramLabel = "FILE") String file) {
        AttemptsFile attempts = readAttempts(file);
        if (attempts == null) {
            return Commands.EXIT_FAILED;
        }
        attempts.worstCaseLines().forEach(out()::println);
        out().println("safe: " + attempts.rowCount() + " rows");
        return Commands.EXIT_OK;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the values in effect for each product and route, and the section that"
                            + " each comes from.")
    int show(
            @Parameters(paramLabel = "FILE") String file,
            @Option(names = "--product", paramLabel = "NAME") String product,
            @Option(names = "--route", paramLabel = "NAME") String route) {
        AttemptsFile attempts = readAttempts(file);
        if (attempts == null) {
            return Commands.EXIT_FAILED;
        }
        List<String> lines = attempts.effectiveSettings(product, route);
        if (lines.isEmpty()) {
            spec.commandLine().getErr().println("no row matches the given product and route");
            return Commands.EXIT_FAILED;
        }
        lines.forEach(out()::println);
        return Commands.EXIT_OK;
    }
}
