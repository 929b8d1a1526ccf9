package gladewing.soak;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A JVM of its own, with its standard input and output. */
final class SoakProcess implements AutoCloseable {
    private static final int START_SECONDS = 30;

    private final Process process;
    private final PrintWriter commands;
    private final List<String> lines = new ArrayList<>();

    /**
     * @param log where the standard error goes
     * @param command the class to run and its arguments
     */
    SoakProcess(
            File log, Map<String, String> environment, List<String> jvmOptions, String... command)
            throws IOException {
        List<String> line = new ArrayList<>();
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(List.of("-Xmx48m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        line.addAll(jvmOptions);
        line.addAll(List.of("-cp", System.getProperty("java.class.path")));
        line.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().putAll(environment);
        process = builder.redirectError(ProcessBuilder.Redirect.appendTo(log)).start();
        commands = new PrintWriter(process.outputWriter(), true);
        Thread reader = new Thread(this::readLines);
        reader.setDaemon(true);
        reader.start();
    }

    private void readLines() {
        try (BufferedReader out = process.inputReader()) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                synchronized (this) {
                    lines.add(line);
                    notifyAll();
                }
            }
        } catch (IOException | UncheckedIOException ended) {
            // The process was killed.
        }
    }

    /** Waits for a line of the standard output. */
    synchronized String awaitLine(int index) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (lines.size() <= index) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("no output: " + process.info());
            }
            wait(100);
        }
        return lines.get(index);
    }

    synchronized List<String> lines() {
        return new ArrayList<>(lines);
    }

    void command(String line) {
        commands.println(line);
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String name) {
        runShell("kill -" + name + " " + process.pid());
    }

    /** Stops the process for a time, which does not depend on how busy this process is. */
    void stopFor(long millis) {
        String pid = Long.toString(process.pid());
        runShell("kill -STOP " + pid + "; sleep " + millis / 1000.0 + "; kill -CONT " + pid);
    }

    private static void runShell(String command) {
        try {
            new ProcessBuilder("sh", "-c", command).start().waitFor();
        } catch (IOException | InterruptedException failed) {
            throw new IllegalStateException(failed);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the end; returns false if the time is over before. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    int exitStatus() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
