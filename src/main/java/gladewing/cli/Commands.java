package gladewing.cli;

import gladewing.config.Config;
import gladewing.routes.RouteValidationContext;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command-line tools for operators: every sub-command that does not run the router. */
@Command(
        name = "gladewing",
        subcommands = {
            RoutesCommand.class,
            SettingsCommand.class,
            ControlCommand.class,
            StateCommand.class,
            ExprCommand.class,
            HelpCommand.class
        },
        description = "Tools for the router's settings files and stored versions.",
        mixinStandardHelpOptions = true)
public final class Commands implements Runnable {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILED = 1;
    static final int EXIT_USAGE = 2;

    @Spec private CommandSpec spec;

    /**
     * Runs one sub-command.
     *
     * @param out receives results and help
     * @param err receives faults and error messages
     * @return the exit status: 0 on success; 1 if the input has faults, can't be read, or differs
     *     from what it is compared with; 2 for wrong usage
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        CommandLine commandLine =
                new CommandLine(new Commands())
                        .setOut(new PrintWriter(out, true, StandardCharsets.UTF_8))
                        .setErr(new PrintWriter(err, true, StandardCharsets.UTF_8));
        commandLine.setExecutionExceptionHandler(
                (exception, command, parseResult) -> {
                    command.getErr()
                            .println(
                                    exception instanceof CommandFailedException
                                            ? exception.getMessage()
                                            : "unexpected error: " + exception);
                    return EXIT_FAILED;
                });
        return commandLine.execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Missing a subcommand");
    }

    /** Returns the parts of the router's configuration that a route table is checked against. */
    static RouteValidationContext validationContext(Config config) {
        return new RouteValidationContext(
                config.products(),
                config.settings().products(),
                config.tenants(),
                config.shards(),
                config.settings().routers());
    }

    /** A command can't go on; the message is printed as it is and the exit status is 1. */
    static final class CommandFailedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        CommandFailedException(String message) {
            super(message);
        }
    }
}
