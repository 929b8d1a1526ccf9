package gladewing;

import gladewing.benchlink.BenchLink;
import gladewing.cli.Commands;
import gladewing.serve.RouterProcess;
import java.io.IOException;
import java.util.List;

/** The command line. The first argument is the subcommand to run. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        String routes = option(args, "--routes");
        String attempts = option(args, "--attempts");
        String live = option(args, "--live");
        String control = option(args, "--control");
        int expectedLength = 1;
        for (String file : new String[] {routes, attempts, live, control}) {
            expectedLength += file == null ? 0 : 2;
        }
        if (command.equals("benchlink")
                && args.length == (attempts == null ? 1 : 3)
                && args.length == expectedLength) {
            System.exit(new BenchLink(System.in, System.out, System.err, attempts).run());
        }
        if (command.equals("serve") && args.length == expectedLength) {
            System.exit(
                    RouterProcess.run(
                            System.getenv("RELAY_CONFIG"),
                            new RouterProcess.Files(routes, attempts, live, control),
                            System.err));
        }
        if (List.of("routes", "expr", "settings", "control", "state").contains(command)) {
            System.exit(Commands.run(args, System.out, System.err));
        }
        System.err.println(
                "usage: java -jar gladewing.jar benchlink [--attempts FILE] | serve [--routes FILE]"
                        + " [--attempts FILE] [--live FILE] [--control FILE] | routes | settings |"
                        + " control | state | expr");
        System.err.println(
                "  benchlink   answer the bench over standard input and output\n"
                    + "  serve       run a router; RELAY_CONFIG is the path of its configuration\n"
                    + "  routes      check, explain and replay a table of routes; routes --help\n"
                    + "  settings    check and show how parts are sent again; settings --help\n"
                    + "  control     make, check and compare versions; control --help\n"
                    + "  state       show, verify and recover a folder of versions; state --help\n"
                    + "  expr        evaluate an expression; expr --help");
        System.exit(2);
    }

    /**
     * Returns the value of an option, or null. Options are parsed by hand here, because loading the
     * command line library of the other subcommands would make `serve` start more slowly.
     */
    private static String option(String[] args, String name) {
        for (int i = 1; i + 1 < args.length; i += 2) {
            if (args[i].equals(name)) {
                return args[i + 1];
            }
        }
        return null;
    }
}
