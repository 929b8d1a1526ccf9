package gladewing;

import gladewing.benchlink.BenchLink;
import java.io.IOException;

/** The command line: one subcommand a way of running. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar gladewing.jar benchlink");
            System.err.println("  benchlink   decide for the bench, whose wire is on standard input/output");
            System.exit(2);
        }
        System.exit(new BenchLink(System.in, System.out, System.err).run());
    }
}
