package gladewing.cli;

import gladewing.control.ControlSettings;
import gladewing.control.ControlStateStore;
import gladewing.control.VersionCompiler;
import gladewing.durable.DiskDirectory;
import gladewing.durable.StateStore;
import gladewing.settings.InvalidSettingsException;
import gladewing.versions.ConfigKind;
import gladewing.versions.Manifest;
import gladewing.versions.PersistedState;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows, verifies and recovers the state directory in which a router stores its versions. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description =
                "Shows, verifies and recovers the directory in which a router stores its versions.")
final class StateCommand implements Runnable {
    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "Missing a subcommand: show, verify or recover");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Opens the directory read-only, because a running router may be using it. */
    private static StateStore openReadOnly(String directory) {
        try {
            return StateStore.open(DiskDirectory.openReadOnly(Path.of(directory)));
        } catch (IOException | RuntimeException exception) {
            throw new Commands.CommandFailedException(
                    "cannot read the state directory: " + exception.getMessage());
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the version in force, the last good version and the rejected versions.")
    int show(
            @Parameters(paramLabel = "DIR") String directory,
            @Option(
                            names = "--text",
                            paramLabel = "KIND",
                            description = "Prints the text of this kind that is in force.")
                    String textKind,
            @Option(names = "--json", description = "Prints the state as it is stored.")
                    boolean asJson) {
        try (StateStore store = openReadOnly(directory)) {
            if (store.state() == null) {
                throw new Commands.CommandFailedException("no state is stored in " + directory);
            }
            if (asJson) {
                out().println(new String(store.state(), java.nio.charset.StandardCharsets.UTF_8));
                return Commands.EXIT_OK;
            }
            ControlStateStore controlStore = ControlStateStore.using(store);
            ControlStateStore.StoredState storedState = controlStore.load();
            if (controlStore.problem() != null) {
                throw new Commands.CommandFailedException(controlStore.problem());
            }
            return textKind == null ? printState(storedState) : printText(storedState, textKind);
        }
    }

    private int printText(ControlStateStore.StoredState storedState, String kindName) {
        Manifest manifest = storedState.rolloutState().inForce();
        ConfigKind kind = ConfigKind.ofWireName(kindName);
        String text =
                manifest == null || kind == null || manifest.textDigest(kind) == null
                        ? null
                        : storedState.textsByDigest().get(manifest.textDigest(kind));
        if (text == null) {
            throw new Commands.CommandFailedException("no text of kind " + kindName + " in force");
        }
        out().print(text);
        out().flush();
        return Commands.EXIT_OK;
    }

    private int printState(ControlStateStore.StoredState storedState) {
        PersistedState rolloutState = storedState.rolloutState();
        printVersion("in force", rolloutState.inForce());
        out().println(
                        "on trial: "
                                + (rolloutState.trialStarts() > 0
                                        ? "yes, start " + rolloutState.trialStarts()
                                        : "no"));
        printVersion("good", rolloutState.lastGood());
        out().println(
                        "newest seen: "
                                + (rolloutState.newestSeenEpoch() < 0
                                        ? "none"
                                        : rolloutState.newestSeenEpoch()
                                                + "."
                                                + rolloutState.newestSeenNumber()));
        for (PersistedState.RejectedVersion rejected : rolloutState.rejected()) {
            out().println(
                            "turned down: "
                                    + rejected.epoch()
                                    + "."
                                    + rejected.number()
                                    + " "
                                    + rejected.stage().wireName()
                                    + ": "
                                    + rejected.reason());
        }
        out().println(
                        "data nodes: "
                                + (storedState.nodeList() == null
                                        ? "none"
                                        : storedState.nodeList().split("\"uid\"", -1).length - 1));
        return Commands.EXIT_OK;
    }

    private void printVersion(String label, Manifest manifest) {
        StringBuilder line =
                new StringBuilder(label)
                        .append(": ")
                        .append(
                                manifest == null
                                        ? "the files of the start"
                                        : "version "
                                                + manifest.id()
                                                + ", key "
                                                + manifest.keyName());
        if (manifest != null) {
            manifest.entries()
                    .forEach(
                            (kind, entry) ->
                                    line.append(", ")
                                            .append(kind.wireName)
                                            .append(' ')
                                            .append(entry.number()));
        }
        out().println(line);
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks every record, every text and, with --control, every signature.")
    int verify(
            @Parameters(paramLabel = "DIR") String directory,
            @Option(
                            names = "--control",
                            paramLabel = "CONTROL.ini",
                            description = "The file that names the site and its keys.")
                    String controlPath,
            @Option(names = "--json", description = "Prints the result as one JSON object.")
                    boolean asJson) {
        List<String> findings = new ArrayList<>();
        boolean isDamaged;
        try (StateStore store = openReadOnly(directory)) {
            findings.addAll(store.findings());
            isDamaged = store.isDamaged();
            if (store.state() == null) {
                findings.add("there is no state");
            } else {
                ControlStateStore controlStore = ControlStateStore.using(store);
                ControlStateStore.StoredState storedState = controlStore.load();
                if (controlStore.problem() != null) {
                    findings.add(controlStore.problem());
                }
                verifyVersions(storedState, controlPath, findings);
            }
        }
        if (asJson) {
            StringBuilder text =
                    new StringBuilder("{\"good\":")
                            .append(findings.isEmpty())
                            .append(",\"damaged\":")
                            .append(isDamaged)
                            .append(",\"findings\":[");
            for (int i = 0; i < findings.size(); i++) {
                text.append(i == 0 ? "" : ",");
                gladewing.json.Json.quote(text, findings.get(i));
            }
            out().println(text.append("]}"));
        } else {
            findings.forEach(out()::println);
            if (findings.isEmpty()) {
                out().println("good");
            }
        }
        return findings.isEmpty() ? Commands.EXIT_OK : Commands.EXIT_FAILED;
    }

    /**
     * Adds a finding for the version in force and the last good one if a text is missing or wrong,
     * or, with a control file, if the signature is.
     */
    private static void verifyVersions(
            ControlStateStore.StoredState storedState, String controlPath, List<String> findings) {
        ControlSettings settings = null;
        try {
            settings = controlPath == null ? null : ControlSettings.read(controlPath);
        } catch (InvalidSettingsException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
        for (Manifest manifest :
                new Manifest[] {
                    storedState.rolloutState().inForce(), storedState.rolloutState().lastGood()
                }) {
            if (manifest == null) {
                continue;
            }
            Map<ConfigKind, String> texts = storedState.textsOf(manifest);
            String fault =
                    texts == null
                            ? "a text is missing"
                            : VersionCompiler.resolveTexts(
                                            manifest,
                                            Map.of(),
                                            VersionCompiler.indexByDigest(texts),
                                            Long.MAX_VALUE)
                                    .fault();
            if (fault == null && settings != null) {
                fault = settings.keys().manifestError(manifest, settings.site());
            }
            if (fault != null) {
                findings.add("version " + manifest.id() + ": " + fault);
            }
        }
    }

    @Command(
            name = "recover",
            mixinStandardHelpOptions = true,
            description =
                    "Renames damaged files and starts again from the last complete state. The"
                            + " router that uses the directory must not be running.")
    int recover(@Parameters(paramLabel = "DIR") String directory) {
        try (StateStore store = StateStore.open(DiskDirectory.openForWriting(Path.of(directory)))) {
            if (!store.isDamaged()) {
                out().println("not damaged: nothing was done");
                return Commands.EXIT_OK;
            }
            store.recoverDamaged().forEach(out()::println);
            return Commands.EXIT_OK;
        } catch (IOException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
    }
}
