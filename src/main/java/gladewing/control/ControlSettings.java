package gladewing.control;

import gladewing.config.Endpoint;
import gladewing.json.InvalidInputException;
import gladewing.router.Span;
import gladewing.settings.IniFile;
import gladewing.settings.InvalidSettingsException;
import gladewing.settings.Section;
import gladewing.versions.RolloutSettings;
import gladewing.versions.SigningKeys;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.commons.codec.DecoderException;
import org.apache.commons.codec.binary.Hex;

/**
 * The settings of the client of the control service, read from the file that `serve --control`
 * names: where versions come from, how they are authenticated and how they are rolled out.
 *
 * @param site only versions and withdrawals for this site are accepted
 * @param folder where versions are persisted; null if they are not
 * @param maxMessageBytes limit in bytes for one message, and in characters for all texts of a
 *     version together
 * @param silenceTimeout how long a watch may receive nothing before it is closed and opened anew
 * @param messageTimeout how long a message may stay incomplete before the watch is closed
 * @param answerTimeout how long the control service may take to accept answers
 * @param initialBackoff the wait before the first attempt to connect again
 * @param maxBackoff the limit to which that wait grows
 */
public record ControlSettings(
        InetSocketAddress address,
        String site,
        Path folder,
        int maxMessageBytes,
        Span silenceTimeout,
        Span messageTimeout,
        Span answerTimeout,
        Span initialBackoff,
        Span maxBackoff,
        RolloutSettings rolloutSettings,
        SigningKeys keys) {

    public static final String SECTION = "control";
    private static final String KEY_PREFIX = "key ";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final long SECOND_MICROS = 1_000_000;
    private static final long HOUR_MICROS = 3600 * SECOND_MICROS;
    private static final int MAX_MESSAGE_BYTES_LIMIT = 16 << 20;

    /**
     * Returns null if the section [control] is missing or says `on = no`; faults in the file are
     * reported in that case too.
     *
     * @throws InvalidSettingsException with every fault that was found
     */
    public static ControlSettings read(String path) {
        IniFile file = IniFile.read(path);
        ControlSettings settings = of(file);
        file.check();
        return settings;
    }

    /** Faults are recorded in the file; the result is of use only if it has none. */
    static ControlSettings of(IniFile file) {
        Section section = file.section(SECTION);
        section.only(
                "on",
                "address",
                "site",
                "folder",
                "longest",
                "silence",
                "whole-within",
                "answer-within",
                "first-wait",
                "longest-wait",
                "spread",
                "patience",
                "before",
                "trial",
                "least",
                "longest-trial",
                "margin",
                "deviations",
                "hold-down",
                "starts");
        boolean on = section.word("on", List.of("no", "yes")).equals("yes");
        InetSocketAddress address = address(section, on);
        String site = section.text("site", "");
        if (on && !NAME.matcher(site).matches()) {
            section.fault(
                    "site",
                    "'"
                            + site
                            + "', wanted: the name of the site, at most 64 letters, digits, _ . or"
                            + " -");
        }
        Span trial = span(section, "trial", 30 * SECOND_MICROS, SECOND_MICROS, HOUR_MICROS);
        RolloutSettings rolloutSettings =
                new RolloutSettings(
                        span(section, "spread", 60 * SECOND_MICROS, 0, 24 * HOUR_MICROS),
                        span(section, "patience", 60 * SECOND_MICROS, 0, HOUR_MICROS),
                        span(section, "before", 60 * SECOND_MICROS, SECOND_MICROS, HOUR_MICROS),
                        trial,
                        (int) section.whole("least", 100, 10, 1_000_000),
                        span(
                                section,
                                "longest-trial",
                                10 * trial.micros(),
                                SECOND_MICROS,
                                24 * HOUR_MICROS),
                        section.number("margin", 0.02, 0, 1),
                        section.number("deviations", 4, 1, 100),
                        span(section, "hold-down", 60 * SECOND_MICROS, 0, 24 * HOUR_MICROS),
                        (int) section.whole("starts", 2, 1, 100));
        if (trial.longerThan(rolloutSettings.maxTrialDuration())) {
            section.fault("longest-trial", "it is shorter than trial, " + trial.millis() + " ms");
        }
        Span initialBackoff = span(section, "first-wait", SECOND_MICROS / 2, 1000, HOUR_MICROS);
        Span maxBackoff = span(section, "longest-wait", 60 * SECOND_MICROS, 1000, 24 * HOUR_MICROS);
        if (initialBackoff.longerThan(maxBackoff)) {
            section.fault(
                    "longest-wait",
                    "it is shorter than first-wait, " + initialBackoff.millis() + " ms");
        }
        SigningKeys keys = keys(file, on);
        String folder = section.text("folder");
        ControlSettings settings =
                new ControlSettings(
                        address,
                        site,
                        folder == null ? null : Path.of(folder),
                        (int) section.whole("longest", 4 << 20, 1024, MAX_MESSAGE_BYTES_LIMIT),
                        span(section, "silence", 30 * SECOND_MICROS, 10_000, HOUR_MICROS),
                        span(section, "whole-within", 30 * SECOND_MICROS, 10_000, HOUR_MICROS),
                        span(section, "answer-within", 5 * SECOND_MICROS, 10_000, HOUR_MICROS),
                        initialBackoff,
                        maxBackoff,
                        rolloutSettings,
                        keys);
        return on ? settings : null;
    }

    private static InetSocketAddress address(Section section, boolean on) {
        String text = section.text("address");
        try {
            if (text != null) {
                return Endpoint.read(text);
            }
            if (on) {
                section.fault("address", "missing, wanted: ADDRESS:PORT of the control service");
            }
        } catch (InvalidInputException unusable) {
            section.fault(
                    "address", "'" + text + "', wanted: ADDRESS:PORT; names are not looked up");
        }
        return null;
    }

    private static Span span(
            Section section, String key, long defaultMicros, long minMicros, long maxMicros) {
        return new Span(section.micros(key, defaultMicros, minMicros, maxMicros));
    }

    private static SigningKeys keys(IniFile file, boolean on) {
        Map<String, byte[]> keys = new LinkedHashMap<>();
        for (Section section : file.sections()) {
            if (!section.name.startsWith(KEY_PREFIX)) {
                if (!section.name.equals(SECTION)) {
                    section.fault("", "no such section, wanted: [control] or [key NAME]");
                }
                continue;
            }
            String name = section.name.substring(KEY_PREFIX.length());
            section.only("secret", "secret-file");
            if (!NAME.matcher(name).matches()) {
                section.fault("", "wanted: a name of at most 64 letters, digits, _ . or -");
            }
            if (section.has("secret") == section.has("secret-file")) {
                section.fault("secret", "wanted: either secret or secret-file");
                continue;
            }
            byte[] secret = secret(section);
            if (secret != null) {
                keys.put(name, secret);
            }
        }
        if (on && keys.isEmpty() && file.faults().isEmpty() || keys.size() > SigningKeys.MAX_KEYS) {
            file.fault(
                    "",
                    "",
                    keys.size()
                            + " keys, wanted: 1 or "
                            + SigningKeys.MAX_KEYS
                            + " sections [key NAME]");
        }
        return new SigningKeys(keys);
    }

    /** Faults never quote the secret, as they are logged and printed. Null if it is not usable. */
    private static byte[] secret(Section section) {
        String key = section.has("secret") ? "secret" : "secret-file";
        String text = section.text(key);
        try {
            if (key.equals("secret-file")) {
                text = Files.readString(Path.of(text), StandardCharsets.US_ASCII);
            }
            byte[] secret = Hex.decodeHex(text.strip());
            if (secret.length >= SigningKeys.MIN_SECRET_BYTES) {
                return secret;
            }
            section.fault(
                    key,
                    secret.length + " bytes, wanted: at least " + SigningKeys.MIN_SECRET_BYTES);
        } catch (DecoderException malformed) {
            section.fault(
                    key,
                    "wanted: hexadecimal digits, "
                            + 2 * SigningKeys.MIN_SECRET_BYTES
                            + " at least");
        } catch (IOException | IllegalArgumentException unreadable) {
            section.fault(key, "can't be read: " + unreadable);
        }
        return null;
    }

    /**
     * Like {@link #read}, for the start of the program.
     *
     * @throws InvalidInputException with all faults in one message
     */
    public static ControlSettings readForStartup(String path) {
        try {
            return read(path);
        } catch (InvalidSettingsException faulty) {
            throw new InvalidInputException(faulty.getMessage());
        }
    }
}
