package gladewing.versions;

/**
 * The status of a version as reported to the control service: accepted (ack) or rejected (nack),
 * the last stage it reached, and why. A later status of the same version replaces an earlier one.
 *
 * @param epoch the epoch of the version
 * @param number the number of the version within its epoch
 * @param digest the digest of the signed text of the version, which distinguishes two versions with
 *     the same number; empty if the message was unreadable before that point
 * @param accepted true for an ack, false for a nack
 * @param stage the last stage that the version reached
 * @param reason why the version has this status; may be empty
 * @param location file, section and key of the fault; empty if it has no location
 * @param persisted whether the reported status is saved on disk
 */
public record VersionStatus(
        long epoch,
        long number,
        String digest,
        boolean accepted,
        Stage stage,
        String reason,
        String location,
        boolean persisted) {

    /** Returns an ack that is not marked as persisted. */
    static VersionStatus accepted(Manifest manifest, Stage stage, String reason) {
        return new VersionStatus(
                manifest.epoch(),
                manifest.number(),
                manifest.digest(),
                true,
                stage,
                reason,
                "",
                false);
    }

    /** Returns a nack that is not marked as persisted. */
    public static VersionStatus rejected(
            Manifest manifest, Stage stage, String reason, String location) {
        return new VersionStatus(
                manifest.epoch(),
                manifest.number(),
                manifest.digest(),
                false,
                stage,
                reason,
                location,
                false);
    }

    /** Returns a copy of this status with the given persisted flag. */
    public VersionStatus withPersisted(boolean isPersisted) {
        return new VersionStatus(
                epoch, number, digest, accepted, stage, reason, location, isPersisted);
    }

    @Override
    public String toString() {
        return (accepted ? "ack " : "nack ")
                + epoch
                + "."
                + number
                + " "
                + stage.wireName()
                + (reason.isEmpty() ? "" : ": " + reason)
                + (location.isEmpty() ? "" : " at " + location);
    }
}
