package gladewing.control;

import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.config.Config;
import gladewing.routes.RouteFile;
import gladewing.routes.RouteTable;
import gladewing.routes.RouteValidationContext;
import gladewing.sessionpolicy.SessionSettings;
import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import gladewing.versions.ConfigKind;
import gladewing.versions.LineEdit;
import gladewing.versions.Manifest;
import gladewing.versions.Preconditions;
import gladewing.versions.SigningKeys;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks and compiles the texts of a version: each kind by its own checker, then what depends on
 * several kinds. This takes too long for the loop's thread, so the control client does it on
 * another.
 */
public final class VersionCompiler {
    private final Config config;
    private final RouteValidationContext site;

    /** The texts of the files that the router was started with, by kind. */
    private final Map<ConfigKind, String> startupTexts;

    private final Map<String, String> startupTextsByDigest;

    /** File descriptors reserved for sessions; negative if the router was started without. */
    private final int sessionDescriptors;

    /**
     * @param startupTexts the texts of the files that the router was started with, by kind
     * @param sessionDescriptors file descriptors reserved for long-lived sessions; negative if the
     *     router was started without sessions
     */
    public VersionCompiler(
            Config config, Map<ConfigKind, String> startupTexts, int sessionDescriptors) {
        this.config = config;
        this.startupTexts = new EnumMap<>(ConfigKind.class);
        this.startupTexts.putAll(startupTexts);
        startupTextsByDigest = indexByDigest(startupTexts);
        this.sessionDescriptors = sessionDescriptors;
        site =
                new RouteValidationContext(
                        config.products(),
                        config.settings().products(),
                        config.tenants(),
                        config.shards(),
                        config.settings().routers());
    }

    /** Either the texts by kind, or why they can't be resolved; the other is null. */
    public record ResolvedTexts(Map<ConfigKind, String> byKind, String fault) {
        private static ResolvedTexts unresolved(String fault) {
            return new ResolvedTexts(null, fault);
        }
    }

    /** Either a compiled version, or null and every fault of its texts. */
    public record Compilation(CompiledVersion version, List<Fault> faults) {}

    /**
     * Finds the texts that the digests of a manifest name. Each comes in full in a body, or results
     * from the edits in a body, or is known already.
     *
     * @param knownTexts texts that edits may refer to, by digest
     * @param maxTotalLength limit for all texts together, in characters
     */
    public static ResolvedTexts resolveTexts(
            Manifest manifest,
            Map<ConfigKind, ControlMessageCodec.TextBody> bodies,
            Map<String, String> knownTexts,
            long maxTotalLength) {
        Map<ConfigKind, String> texts = new EnumMap<>(ConfigKind.class);
        long totalLength = 0;
        for (ConfigKind kind : manifest.entries().keySet()) {
            ControlMessageCodec.TextBody body = bodies.get(kind);
            String digest = manifest.textDigest(kind);
            String text;
            if (body == null) {
                text = knownTexts.get(digest);
                if (text == null) {
                    return ResolvedTexts.unresolved(
                            kind.wireName
                                    + ": sent without a body, and no text with digest "
                                    + digest
                                    + " is known here");
                }
            } else if (body.fullText() != null) {
                text = body.fullText();
            } else {
                String before = knownTexts.get(body.baseDigest());
                if (before == null) {
                    return ResolvedTexts.unresolved(
                            kind.wireName
                                    + ": edits against a text that is not known here, wanted: the"
                                    + " full text");
                }
                text = LineEdit.apply(before, body.edits());
                if (text == null) {
                    return ResolvedTexts.unresolved(
                            kind.wireName + ": the edits do not fit the text that they refer to");
                }
            }
            totalLength += text.length();
            if (totalLength > maxTotalLength) {
                return ResolvedTexts.unresolved(
                        "the texts together are longer than " + maxTotalLength + " characters");
            }
            if (!SigningKeys.digest(text).equals(digest)) {
                return ResolvedTexts.unresolved(
                        kind.wireName + ": the text does not match the signed digest");
            }
            texts.put(kind, text);
        }
        return new ResolvedTexts(texts, null);
    }

    /** The texts of the files that the router was started with, by digest. */
    public Map<String, String> startupTexts() {
        return startupTextsByDigest;
    }

    /** The texts by digest, as edits refer to them. */
    public static Map<String, String> indexByDigest(Map<ConfigKind, String> texts) {
        Map<String, String> byDigest = new HashMap<>();
        texts.values().forEach(text -> byDigest.put(SigningKeys.digest(text), text));
        return byDigest;
    }

    /**
     * Compiles the texts; a kind that is missing takes its text from the files that the router was
     * started with.
     *
     * @param manifest null for the files that the router was started with
     */
    public Compilation compile(Manifest manifest, Map<ConfigKind, String> texts) {
        Map<ConfigKind, IniFile> files = new EnumMap<>(ConfigKind.class);
        for (ConfigKind kind : ConfigKind.values()) {
            String text = texts.getOrDefault(kind, startupTexts.get(kind));
            if (text != null) {
                files.put(kind, IniFile.of(kind.wireName, text));
            }
        }
        RouterSettings settings =
                files.containsKey(ConfigKind.SETTINGS)
                        ? RouterSettings.read(files.get(ConfigKind.SETTINGS), config.products())
                        : RouterSettings.NONE;
        List<Fault> faults = new ArrayList<>();
        RouteTable table = null;
        if (files.containsKey(ConfigKind.ROUTES)) {
            RouteFile.ValidationResult routes = RouteFile.check(files.get(ConfigKind.ROUTES), site);
            table = routes.table();
            faults.addAll(routes.faults());
        }
        AttemptsFile attempts = null;
        // Attempts rows name routes, so they can't be checked if the routes have faults.
        if (files.containsKey(ConfigKind.ATTEMPTS)
                && (table != null || !files.containsKey(ConfigKind.ROUTES))) {
            AttemptsFile.ValidationResult rows =
                    AttemptsFile.check(
                            files.get(ConfigKind.ATTEMPTS),
                            new AttemptsValidationContext(
                                    config.products(),
                                    config.settings(),
                                    config.connections().connectTimeOut(),
                                    table == null ? null : table.servedProducts(site)));
            attempts = rows.attempts();
            faults.addAll(rows.faults());
        }
        SessionSettings live =
                readLiveSettings(files.get(ConfigKind.LIVE), texts.containsKey(ConfigKind.LIVE));
        for (ConfigKind kind : List.of(ConfigKind.SETTINGS, ConfigKind.LIVE)) {
            if (files.containsKey(kind)) {
                faults.addAll(files.get(kind).faults());
            }
        }
        if (!faults.isEmpty()) {
            return new Compilation(null, faults);
        }
        Preconditions preconditions =
                new Preconditions(
                        table == null ? Set.of() : table.shards(),
                        settings.minimumNodes(),
                        settings.closedProducts(),
                        live == null ? -1 : live.maxSessions());
        return new Compilation(
                new CompiledVersion(
                        manifest,
                        texts,
                        table,
                        attempts == null ? null : attempts.retryPolicies(),
                        live,
                        settings,
                        preconditions),
                List.of());
    }

    /**
     * Returns null if there are no sessions. A version that was pushed can neither switch sessions
     * on or off nor need more file descriptors for them than the router reserved at its start.
     */
    private SessionSettings readLiveSettings(IniFile file, boolean pushed) {
        if (file == null) {
            return null;
        }
        SessionSettings read = SessionSettings.read(file, SessionSettings.SiteRules.of(config));
        if (pushed && sessionDescriptors < 0) {
            file.fault(
                    SessionSettings.SECTION,
                    "",
                    "this router was started without sessions, wanted: no text of kind live");
        } else if (pushed && read == null) {
            file.fault(
                    SessionSettings.SECTION,
                    "on",
                    "it can't be switched off while the router runs");
        } else if (pushed && read.descriptors() > sessionDescriptors) {
            file.fault(
                    SessionSettings.SECTION,
                    "sessions",
                    "the sessions and their legs take "
                            + read.descriptors()
                            + " descriptors, wanted: at most "
                            + sessionDescriptors
                            + ", as at the start");
        }
        return sessionDescriptors < 0 ? null : read;
    }
}
