package gladewing.versions;

import java.util.List;

/**
 * The part of the rollout state that must survive a restart of the program.
 *
 * @param inForce the version in force; null if the files given at the start are in force
 * @param lastGood the last version that passed its trial; null if there is none
 * @param trialStarts how many starts of the program the version in force has been on trial for,
 *     counting its activation as the first; 0 if it is not on trial
 * @param newestSeenEpoch the epoch of the newest version that passed its checks, or failed a check
 *     of its content; -1 if there is none
 * @param newestSeenNumber the number of that version; -1 if there is none
 * @param rejected versions that must not be activated again, oldest first
 */
public record PersistedState(
        Manifest inForce,
        Manifest lastGood,
        int trialStarts,
        long newestSeenEpoch,
        long newestSeenNumber,
        List<RejectedVersion> rejected) {
    public static final PersistedState EMPTY = new PersistedState(null, null, 0, -1, -1, List.of());

    /**
     * A version that was rejected.
     *
     * @param canonicalText the signed text, which distinguishes the version from another one with
     *     the same number
     * @param epoch the epoch of the version
     * @param number the number of the version within its epoch
     * @param stage the stage at which it was rejected
     * @param reason why it was rejected
     */
    public record RejectedVersion(
            String canonicalText, long epoch, long number, Stage stage, String reason) {}
}
