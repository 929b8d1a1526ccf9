package gladewing.versions;

import java.util.Locale;

/**
 * The stages that a version passes, in order. A rejected version names the stage at which it
 * failed. The names are part of messages and of the stored state.
 */
public enum Stage {
    /** The message is within the size limit, valid UTF-8 and valid JSON. */
    READABLE,
    /** The message conforms to the JSON schema. */
    SCHEMA,
    /** The version is for this site and signed by a key that this router holds. */
    AUTHENTIC,
    /**
     * The version is newer than any version seen before, has not expired, and does not reuse a
     * number for other content.
     */
    ORDER,
    /** The texts of the version are available and match their signed digests. */
    TEXTS,
    /** Each text passes the checks of its kind, and references between the texts are valid. */
    KINDS,
    /** The preconditions on listed nodes, open multigets and sessions are met. */
    BESIDE,
    /** The version is in force and on trial. */
    TRIAL,
    /** The version passed its trial; a later rollback returns to it. */
    GOOD;

    /** Returns the lower-case name used in messages and in stored state. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
