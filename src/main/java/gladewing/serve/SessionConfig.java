package gladewing.serve;

import gladewing.config.Config;
import gladewing.json.InvalidInputException;
import gladewing.sessionpolicy.SessionSettings;
import gladewing.settings.IniFile;
import gladewing.settings.InvalidSettingsException;

/**
 * The settings of long-lived sessions (--live), checked against the configuration. This is a class
 * of its own so that no class of the sessions is loaded without such a file.
 */
final class SessionConfig {
    final SessionSettings settings;

    private SessionConfig(SessionSettings settings) {
        this.settings = settings;
    }

    /**
     * Reads a file; returns null if it switches sessions off.
     *
     * @throws InvalidInputException with all faults of the file
     */
    static SessionConfig read(String path, Config config) {
        IniFile file = IniFile.read(path);
        SessionSettings settings = SessionSettings.read(file, SessionSettings.SiteRules.of(config));
        int maxDescriptors = RouterRuntime.connectionDescriptors(config) / 2;
        if (settings != null && settings.descriptors() > maxDescriptors) {
            file.fault(
                    SessionSettings.SECTION,
                    "sessions",
                    "with legs, "
                            + settings.descriptors()
                            + " descriptors are needed, wanted: at most "
                            + maxDescriptors
                            + ", half of those for connections");
        }
        try {
            file.check();
        } catch (InvalidSettingsException invalid) {
            throw new InvalidInputException(invalid.getMessage());
        }
        return settings == null ? null : new SessionConfig(settings);
    }
}
