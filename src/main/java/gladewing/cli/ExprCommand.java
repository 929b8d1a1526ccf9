package gladewing.cli;

import gladewing.expr.Diagnostic;
import gladewing.expr.Environment;
import gladewing.expr.Expression;
import gladewing.routes.RouteFile;
import gladewing.routes.RoutingRequest;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Evaluates single expressions against a recorded request. */
@Command(name = "expr", mixinStandardHelpOptions = true, description = "Evaluates an expression.")
final class ExprCommand implements Runnable {
    private static final int MAX_EXPLAIN_LINES = 200;

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Missing a subcommand: eval");
    }

    @Command(
            name = "eval",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the value and type of an expression, the steps it took and the most it"
                            + " can take, and the value of each operation in it.")
    int eval(
            @Parameters(paramLabel = "EXPRESSION") String text,
            @Option(names = "--request", required = true, paramLabel = "REQUEST.json")
                    String requestPath) {
        List<Diagnostic> diagnostics = new ArrayList<>();
        Expression expression = new Environment(RouteFile.schema()).check(text, null, diagnostics);
        if (expression == null) {
            diagnostics.forEach(spec.commandLine().getErr()::println);
            return Commands.EXIT_FAILED;
        }
        RoutingRequest request = Requests.readRequest(requestPath);
        spec.commandLine()
                .getOut()
                .println(
                        expression.formattedValue(request)
                                + " ("
                                + expression.type()
                                + ", "
                                + expression.countSteps(request)
                                + " of at most "
                                + expression.cost()
                                + " steps)");
        expression
                .explain(request, MAX_EXPLAIN_LINES)
                .forEach(line -> spec.commandLine().getOut().println("    " + line));
        return Commands.EXIT_OK;
    }
}
