package gladewing.cli;

import gladewing.config.Config;
import gladewing.control.CompiledVersion;
import gladewing.control.ControlMessageCodec;
import gladewing.control.ControlSettings;
import gladewing.control.VersionCompiler;
import gladewing.json.InvalidInputException;
import gladewing.settings.Fault;
import gladewing.settings.InvalidSettingsException;
import gladewing.versions.ConfigKind;
import gladewing.versions.LineEdit;
import gladewing.versions.Manifest;
import gladewing.versions.SigningKeys;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Packs, withdraws, validates and compares versions as files, before a control service pushes them.
 */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description =
                "Packs, withdraws, validates and compares versions that a control service pushes.")
final class ControlCommand implements Runnable {
    /** Limit in characters on one string of a message and on all texts of a version together. */
    private static final int MAX_TEXT_LENGTH = 16 << 20;

    @Spec private CommandSpec spec;
    private final ControlMessageCodec codec = new ControlMessageCodec(MAX_TEXT_LENGTH);

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "Missing a subcommand: pack, withdraw, validate or diff");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private static ControlSettings readSettings(String path) {
        try {
            ControlSettings settings = ControlSettings.read(path);
            if (settings == null) {
                throw new Commands.CommandFailedException(path + " [control] on: no, wanted: yes");
            }
            return settings;
        } catch (InvalidSettingsException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
    }

    /** Reads a message of type set, which must conform to the message schema. */
    private ControlMessageCodec.VersionPush readPush(String path) {
        ControlMessageCodec.Message message = codec.decode(TextFile.readBytes(path));
        if (message.invalid() != null) {
            throw new Commands.CommandFailedException(
                    path
                            + ": "
                            + message.invalid().stage().wireName()
                            + ": "
                            + message.invalid().reason());
        }
        if (message.push() == null) {
            throw new Commands.CommandFailedException(
                    path + ": the message holds no version, wanted: a message of type set");
        }
        return message.push();
    }

    /**
     * Returns the full text of each kind in the version.
     *
     * @param knownTexts texts that edits in the version may refer to, by digest
     */
    private static Map<ConfigKind, String> resolveTexts(
            String path, ControlMessageCodec.VersionPush push, Map<String, String> knownTexts) {
        VersionCompiler.ResolvedTexts resolved =
                VersionCompiler.resolveTexts(
                        push.manifest(), push.bodies(), knownTexts, MAX_TEXT_LENGTH);
        if (resolved.fault() != null) {
            throw new Commands.CommandFailedException(path + ": " + resolved.fault());
        }
        return resolved.byKind();
    }

    @Command(
            name = "pack",
            mixinStandardHelpOptions = true,
            description =
                    "Packs settings files into a signed version and prints the message that a"
                            + " control service pushes.")
    int pack(
            @Option(
                            names = "--control",
                            paramLabel = "CONTROL.ini",
                            required = true,
                            description = "The file that names the site and its keys.")
                    String controlPath,
            @Option(
                            names = "--key",
                            paramLabel = "NAME",
                            description =
                                    "The key to sign with; by default the last one in the file.")
                    String keyName,
            @Option(names = "--epoch", required = true) long epoch,
            @Option(names = "--number", required = true) long number,
            @Option(names = "--expires", paramLabel = "UNIX_MS", defaultValue = "0") long expires,
            @Option(
                            names = "--kind",
                            paramLabel = "KIND=FILE",
                            description =
                                    "The file for a kind: settings, routes, attempts or live; at"
                                        + " most one for each. An entry gets the version's number,"
                                        + " or keeps its number from --against if its text is"
                                        + " unchanged.")
                    Map<String, String> filesByKind,
            @Option(
                            names = "--against",
                            paramLabel = "BUNDLE",
                            description =
                                    "An earlier version with full texts; texts that differ from it"
                                            + " are sent as edits.")
                    String basePath) {
        ControlSettings settings = readSettings(controlPath);
        SigningKeys keys = settings.keys();
        String signingKey = keyName == null ? keys.newestName() : keyName;
        if (!keys.contains(signingKey)) {
            throw new Commands.CommandFailedException(controlPath + ": no key named " + signingKey);
        }
        ControlMessageCodec.VersionPush basePush = basePath == null ? null : readPush(basePath);
        Map<ConfigKind, String> baseTexts =
                basePush == null ? Map.of() : resolveTexts(basePath, basePush, Map.of());
        Map<ConfigKind, Manifest.Entry> entries = new EnumMap<>(ConfigKind.class);
        Map<ConfigKind, ControlMessageCodec.TextBody> bodies = new EnumMap<>(ConfigKind.class);
        for (Map.Entry<String, String> file :
                filesByKind == null
                        ? Map.<String, String>of().entrySet()
                        : filesByKind.entrySet()) {
            ConfigKind kind = ConfigKind.ofWireName(file.getKey());
            if (kind == null) {
                throw new ParameterException(spec.commandLine(), "Unknown kind: " + file.getKey());
            }
            String text = TextFile.read(file.getValue());
            String baseText = baseTexts.get(kind);
            boolean isUnchanged = text.equals(baseText);
            entries.put(
                    kind,
                    new Manifest.Entry(
                            isUnchanged ? basePush.manifest().entries().get(kind).number() : number,
                            SigningKeys.digest(text)));
            if (baseText == null) {
                bodies.put(kind, new ControlMessageCodec.TextBody(text, null, List.of()));
            } else if (!isUnchanged) {
                bodies.put(
                        kind,
                        new ControlMessageCodec.TextBody(
                                null,
                                SigningKeys.digest(baseText),
                                LineEdit.between(baseText, text)));
            }
        }
        Manifest unsigned =
                new Manifest(settings.site(), epoch, number, expires, entries, signingKey, "");
        out().println(
                        codec.encodeVersion(
                                new Manifest(
                                        unsigned.site(),
                                        epoch,
                                        number,
                                        expires,
                                        entries,
                                        signingKey,
                                        keys.sign(signingKey, unsigned.canonicalText())),
                                bodies));
        return Commands.EXIT_OK;
    }

    @Command(
            name = "withdraw",
            mixinStandardHelpOptions = true,
            description = "Prints a signed message that withdraws a version.")
    int withdraw(
            @Option(names = "--control", paramLabel = "CONTROL.ini", required = true)
                    String controlPath,
            @Option(names = "--epoch", required = true) long epoch,
            @Option(names = "--number", required = true) long number) {
        ControlSettings settings = readSettings(controlPath);
        String signingKey = settings.keys().newestName();
        out().println(
                        codec.encodeWithdrawal(
                                settings.site(),
                                epoch,
                                number,
                                signingKey,
                                settings.keys()
                                        .sign(
                                                signingKey,
                                                Manifest.withdrawalText(
                                                        settings.site(), epoch, number))));
        return Commands.EXIT_OK;
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description =
                    "Checks a version as a router would, except for the conditions on its listed"
                            + " data nodes and on open multigets.")
    int validate(
            @Parameters(paramLabel = "BUNDLE") String bundlePath,
            @Option(names = "--config", paramLabel = "CONFIG.json", required = true)
                    String configPath,
            @Option(
                            names = "--control",
                            paramLabel = "CONTROL.ini",
                            description =
                                    "The file that names the site and its keys; without it the"
                                            + " signature is not checked.")
                    String controlPath,
            @Option(
                            names = "--against",
                            paramLabel = "BUNDLE",
                            description =
                                    "The version with full texts that edits in this one refer to.")
                    String basePath,
            @Option(
                            names = "--sessions",
                            paramLabel = "DESCRIPTORS",
                            defaultValue = "-1",
                            description =
                                    "File descriptors that the router reserves for sessions;"
                                            + " without it the router has no sessions.")
                    int sessionDescriptors,
            @Option(names = "--json", description = "Prints the result as one JSON object.")
                    boolean asJson) {
        ControlMessageCodec.VersionPush push = readPush(bundlePath);
        Map<String, String> baseTextsByDigest =
                basePath == null
                        ? Map.of()
                        : VersionCompiler.indexByDigest(
                                resolveTexts(basePath, readPush(basePath), Map.of()));
        Map<ConfigKind, String> texts = resolveTexts(bundlePath, push, baseTextsByDigest);
        String signatureError = null;
        if (controlPath != null) {
            ControlSettings settings = readSettings(controlPath);
            signatureError = settings.keys().manifestError(push.manifest(), settings.site());
        }
        Config config;
        try {
            config = Config.read(configPath);
        } catch (InvalidInputException exception) {
            throw new Commands.CommandFailedException(exception.getMessage());
        }
        VersionCompiler.Compilation compilation =
                new VersionCompiler(config, Map.of(), sessionDescriptors)
                        .compile(push.manifest(), texts);
        boolean isValid = signatureError == null && compilation.version() != null;
        if (asJson) {
            out().println(
                            codec.encodeVerdict(
                                    push.manifest(), signatureError, compilation.faults()));
            return isValid ? Commands.EXIT_OK : Commands.EXIT_FAILED;
        }
        PrintWriter err = spec.commandLine().getErr();
        if (signatureError != null) {
            err.println("not authentic: " + signatureError);
        }
        for (Fault fault : compilation.faults()) {
            err.println(fault);
        }
        if (isValid) {
            printSummary(push.manifest(), compilation.version());
        }
        return isValid ? Commands.EXIT_OK : Commands.EXIT_FAILED;
    }

    private void printSummary(Manifest manifest, CompiledVersion version) {
        out().println(
                        "version "
                                + manifest.id()
                                + " for "
                                + manifest.site()
                                + ", key "
                                + manifest.keyName());
        manifest.entries()
                .forEach(
                        (kind, entry) ->
                                out().println(
                                                kind.wireName
                                                        + " "
                                                        + entry.number()
                                                        + " "
                                                        + entry.digest().substring(0, 12)
                                                        + ", "
                                                        + version.texts().get(kind).length()
                                                        + " letters"));
        if (version.routingTable() != null) {
            out().println(
                            version.routingTable().routes().size()
                                    + " routes, at most "
                                    + version.routingTable().maxSteps()
                                    + " steps a request");
        }
        if (!version.preconditions().routedShards().isEmpty()) {
            out().println(
                            "begins only where these shards are held: "
                                    + version.preconditions().routedShards().stream()
                                            .sorted()
                                            .toList());
        }
        out().println("good by itself; what is listed and open is looked at by each router");
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description =
                    "Prints what the second version changes, by kind. The exit status is 1 if"
                            + " anything differs.")
    int diff(
            @Parameters(paramLabel = "A") String firstPath,
            @Parameters(paramLabel = "B") String secondPath) {
        ControlMessageCodec.VersionPush firstPush = readPush(firstPath);
        Map<ConfigKind, String> firstTexts = resolveTexts(firstPath, firstPush, Map.of());
        ControlMessageCodec.VersionPush secondPush = readPush(secondPath);
        Map<ConfigKind, String> secondTexts =
                resolveTexts(secondPath, secondPush, VersionCompiler.indexByDigest(firstTexts));
        boolean isSame = true;
        for (ConfigKind kind : ConfigKind.values()) {
            String firstText = firstTexts.get(kind);
            String secondText = secondTexts.get(kind);
            if (Objects.equals(firstText, secondText)) {
                continue;
            }
            isSame = false;
            out().println(
                            kind.wireName
                                    + ": "
                                    + (firstText == null
                                            ? "is stated now"
                                            : secondText == null
                                                    ? "is not stated any more: the file of the"
                                                            + " start holds"
                                                    : firstPush
                                                                    .manifest()
                                                                    .entries()
                                                                    .get(kind)
                                                                    .number()
                                                            + " to "
                                                            + secondPush
                                                                    .manifest()
                                                                    .entries()
                                                                    .get(kind)
                                                                    .number()));
            List<LineEdit> edits =
                    firstText == null || secondText == null
                            ? List.of()
                            : LineEdit.between(firstText, secondText);
            String[] firstLines = firstText == null ? new String[0] : firstText.split("\n", -1);
            for (LineEdit edit : edits) {
                for (int i = 0; i < edit.removedLines(); i++) {
                    out().println(
                                    "  - "
                                            + (edit.startLine() + i)
                                            + "  "
                                            + firstLines[edit.startLine() - 1 + i]);
                }
                for (int i = 0; i < edit.insertedLines().size(); i++) {
                    out().println(
                                    "  + "
                                            + (edit.startLine() + i)
                                            + "  "
                                            + edit.insertedLines().get(i));
                }
            }
        }
        if (isSame) {
            out().println("the same texts");
        }
        return isSame ? Commands.EXIT_OK : Commands.EXIT_FAILED;
    }
}
