package gladewing;

import gladewing.benchlink.BenchLink;
import gladewing.serve.Program;
import java.io.IOException;

/** The command line: one subcommand a way of running. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(new BenchLink(System.in, System.out, System.err).run());
            case "serve" -> System.exit(Program.run(System.getenv("RELAY_CONFIG"), System.err));
            default -> {
                System.err.println("usage: java -jar gladewing.jar benchlink | serve");
                System.err.println("  benchlink   decide for the bench, whose wire is on standard input/output\n"
                        + "  serve       be a router on sockets; RELAY_CONFIG names its configuration");
                System.exit(2);
            }
        }
    }
}
