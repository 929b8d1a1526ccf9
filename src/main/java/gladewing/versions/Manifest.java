package gladewing.versions;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * The signed description of one version: the number and the digest of the text of each
 * configuration kind that the version includes. For any other kind, the router uses the file that
 * it was started with. A manifest lists all its texts and does not build on an earlier version, so
 * its one signature covers every pushed text that is in force under it, whether the text came whole
 * or as edits.
 *
 * @param site the site whose routers the version is for
 * @param epoch counts how often the numbering of versions started over; a higher epoch supersedes
 *     all versions of lower ones
 * @param number the number of the version within its epoch
 * @param expiresAtUnixMillis the time from which the version is no longer activated; 0 for never
 * @param entries the texts of the version, by kind
 * @param keyName the name of the key that signed the version
 * @param mac HMAC-SHA-256 of the canonical text under that key, in lower-case hexadecimal
 */
public record Manifest(
        String site,
        long epoch,
        long number,
        long expiresAtUnixMillis,
        Map<ConfigKind, Entry> entries,
        String keyName,
        String mac) {

    /**
     * One text of a version.
     *
     * @param number grows with each change of the text of a kind within an epoch
     * @param digest the SHA-256 digest of the text, in lower-case hexadecimal
     */
    public record Entry(long number, String digest) {}

    /** Copies the entries and orders them by kind. */
    public Manifest {
        EnumMap<ConfigKind, Entry> sorted = new EnumMap<>(ConfigKind.class);
        sorted.putAll(entries);
        entries = Collections.unmodifiableMap(sorted);
    }

    /**
     * Returns the text that is signed. It has one field or entry per line. No field can contain a
     * line end, so two different manifests never have the same text.
     */
    public String canonicalText() {
        StringBuilder text =
                new StringBuilder("gladewing set 1\n")
                        .append(site)
                        .append('\n')
                        .append(epoch)
                        .append('\n')
                        .append(number)
                        .append('\n')
                        .append(expiresAtUnixMillis)
                        .append('\n');
        entries.forEach(
                (kind, entry) ->
                        text.append(kind.wireName)
                                .append(' ')
                                .append(entry.number)
                                .append(' ')
                                .append(entry.digest)
                                .append('\n'));
        return text.toString();
    }

    /** Returns the digest of the signed text, by which version statuses identify the version. */
    public String digest() {
        return SigningKeys.digest(canonicalText());
    }

    /** Returns the text that is signed in a message that withdraws a version. */
    public static String withdrawalText(String site, long epoch, long number) {
        return "gladewing withdraw 1\n" + site + '\n' + epoch + '\n' + number + '\n';
    }

    /** Returns epoch and number, separated by a dot, as shown in messages. */
    public String id() {
        return epoch + "." + number;
    }

    /** Whether the version has a higher epoch, or the same epoch and a higher number. */
    public boolean isNewerThan(long otherEpoch, long otherNumber) {
        return epoch > otherEpoch || epoch == otherEpoch && number > otherNumber;
    }

    /** Whether both have the same signed text, even if they were signed by different keys. */
    public boolean hasSameContent(Manifest other) {
        return other != null && canonicalText().equals(other.canonicalText());
    }

    /** Returns the digest of the text of a kind; null if the version does not include that kind. */
    public String textDigest(ConfigKind kind) {
        Entry entry = entries.get(kind);
        return entry == null ? null : entry.digest;
    }

    /** Whether both have the same text of a kind, or neither includes that kind. */
    public boolean hasSameText(ConfigKind kind, Manifest other) {
        return Objects.equals(textDigest(kind), other == null ? null : other.textDigest(kind));
    }
}
