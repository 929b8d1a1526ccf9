package gladewing;

import gladewing.benchlink.BenchLink;
import gladewing.cli.Commands;
import gladewing.serve.Program;
import java.io.IOException;

/** The command line: one subcommand a way of running. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        boolean alone = args.length == 1;
        if (command.equals("benchlink") && alone) {
            System.exit(new BenchLink(System.in, System.out, System.err).run());
        }
        if (command.equals("serve") && (alone || args.length == 3 && args[1].equals("--routes"))) {
            System.exit(Program.run(System.getenv("RELAY_CONFIG"), alone ? null : args[2], System.err));
        }
        if (command.equals("routes") || command.equals("expr")) {
            System.exit(Commands.run(args, System.out, System.err));
        }
        System.err.println("usage: java -jar gladewing.jar "
                + "benchlink | serve [--routes FILE] | routes | expr");
        System.err.println("  benchlink   decide for the bench, whose wire is on standard input/output\n"
                + "  serve       be a router on sockets; RELAY_CONFIG names its configuration\n"
                + "  routes      check, explain and replay a table of routes; routes --help\n"
                + "  expr        try an expression; expr --help");
        System.exit(2);
    }
}
