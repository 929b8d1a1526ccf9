package gladewing.versions;

import java.util.Locale;

/**
 * The kinds of configuration that a control service can push. The text of each kind has the format
 * of the settings file of that kind.
 */
public enum ConfigKind {
    SETTINGS,
    ROUTES,
    ATTEMPTS,
    LIVE;

    /** The lower-case name used in messages, in stored state and on the command line. */
    public final String wireName = name().toLowerCase(Locale.ROOT);

    /** Returns the kind with that wire name, or null if there is none. */
    public static ConfigKind ofWireName(String wireName) {
        for (ConfigKind kind : values()) {
            if (kind.wireName.equals(wireName)) {
                return kind;
            }
        }
        return null;
    }
}
