package gladewing.versions;

import gladewing.router.Time;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides which version is in force and when another one replaces it. An offered version is
 * compared with the versions seen before. Once it has passed its checks it waits for its activation
 * time and for its preconditions, is activated, and is on trial, which ends with the version kept
 * or rolled back. At any time one version is in force and at most one is next.
 *
 * <p>This class does no I/O and reads no clock, and its random numbers are determined by the seed.
 * The caller asks for what to do with {@link #nextAction}, carries it out and reports back. It is
 * not thread-safe.
 */
public final class RolloutStateMachine {
    /** Rejected versions that are remembered, and statuses that are held until they are taken. */
    private static final int MAX_REJECTED = 64;

    private static final int MAX_HOLD_DOUBLINGS = 3;

    /** What the caller must do now. */
    public enum Action {
        NONE,
        /** Save the state, then call {@link #nextSaveFinished}, even if the save failed. */
        SAVE_NEXT,
        /**
         * Put the next version in force, then call {@link #activated}, or {@link #activationFailed}
         * if that failed.
         */
        ACTIVATE_NEXT,
        /** Put the last good version in force again; {@link #inForce} returns it already. */
        ROLL_BACK,
        /** Save the state; if that fails, call {@link #saveFailed}. */
        SAVE
    }

    private final RolloutSettings settings;
    private final SplittableRandom random;
    private final Trial trial;
    private final Deque<PersistedState.RejectedVersion> rejected = new ArrayDeque<>();

    /** Null while the files given at the start of the program are in force. */
    private Manifest inForce;

    /** Null if no version has passed its trial. */
    private Manifest lastGood;

    /** As in {@link PersistedState#trialStarts}. */
    private int trialStarts;

    private long newestSeenEpoch = -1;
    private long newestSeenNumber = -1;

    /** The version that has passed its checks and is to be activated; null if there is none. */
    private Manifest next;

    private Preconditions nextPreconditions = Preconditions.NONE;
    private Time activateAt;

    /** When the next version is rejected if it is still blocked; null before it is blocked. */
    private Time blockedDeadline;

    /** The precondition that the next version did not meet when last checked; null if it did. */
    private String blockedBy;

    /** Whether a save of the next version is under way; the next version stays until it ends. */
    private boolean isSavingNext;

    /** Whether the save of the next version has ended, successfully or not. */
    private boolean isNextSaveFinished;

    /** Whether the next version was withdrawn while it was being saved. */
    private boolean dropNextAfterSave;

    /**
     * The version that passed its checks while the next one was being saved, and replaces it once
     * that save has ended; null if there is none.
     */
    private Manifest queued;

    private Preconditions queuedPreconditions;
    private boolean hasUnsavedChanges;

    /** Why the version on trial must be rolled back, if it was withdrawn; else null. */
    private String withdrawalReason;

    /** Nothing is activated before this time; null before the first rollback. */
    private Time holdUntil;

    private int consecutiveRollbacks;

    /** Statuses that the caller has not taken yet, by digest of the version. */
    private final Map<String, VersionStatus> statuses = new LinkedHashMap<>();

    /** Starts without any version; {@link #resume} takes over a saved state. */
    public RolloutStateMachine(RolloutSettings settings, long seed) {
        this.settings = settings;
        // Routers of one fleet may have consecutive seeds. SplittableRandom mixes its seed, so that
        // their first numbers are unrelated all the same.
        this.random = new SplittableRandom(seed);
        this.trial = new Trial(settings);
    }

    /**
     * Takes over the state that was saved before a restart. A version that was on trial is on trial
     * again, unless it was so at too many starts of the program: as the version may be what makes
     * the program crash, it is then rolled back.
     *
     * @return the version to put in force; null for the files given at the start of the program
     */
    public Manifest resume(PersistedState saved, Time now) {
        rejected.addAll(saved.rejected());
        newestSeenEpoch = saved.newestSeenEpoch();
        newestSeenNumber = saved.newestSeenNumber();
        lastGood = saved.lastGood();
        inForce = saved.inForce();
        if (saved.trialStarts() > 0) {
            trialStarts = saved.trialStarts() + 1;
            hasUnsavedChanges = true;
            if (saved.trialStarts() >= settings.maxTrialStarts()) {
                rollBack(
                        "on trial at "
                                + saved.trialStarts()
                                + " program starts, none of which completed the trial",
                        now);
            } else {
                trial.start(now);
            }
        }
        return inForce;
    }

    /**
     * Rejects a saved version that can't be used any more, for example because its key was removed.
     * It is no longer a target of rollbacks either.
     */
    public void discardUnusable(Manifest unusable, String why) {
        reject(unusable, Stage.AUTHENTIC, why, "");
        lastGood = unusable.hasSameContent(lastGood) ? null : lastGood;
        if (unusable.hasSameContent(inForce)) {
            inForce = lastGood;
            trialStarts = 0;
            trial.end();
        }
    }

    /**
     * Takes a version that was received and is authentic. Returns whether the caller must check it
     * further, and report the result with {@link #checksPassed} or {@link #checkFailed}. If not,
     * the version has a status already, or is the next one.
     */
    public boolean offer(Manifest version, long unixMillis) {
        for (PersistedState.RejectedVersion earlier : rejected) {
            if (earlier.canonicalText().equals(version.canonicalText())) {
                recordStatus(
                        VersionStatus.rejected(
                                version,
                                earlier.stage(),
                                "rejected before: " + earlier.reason(),
                                ""));
                return false;
            }
        }
        if (version.hasSameContent(inForce)) {
            recordStatus(
                    VersionStatus.accepted(
                            version,
                            trial.isRunning() ? Stage.TRIAL : Stage.GOOD,
                            "it is already in force"));
            return false;
        }
        if (version.hasSameContent(next)) {
            return false;
        }
        String why =
                version.expiresAtUnixMillis() > 0 && unixMillis >= version.expiresAtUnixMillis()
                        ? "it has expired"
                        : orderError(version);
        if (why != null) {
            recordStatus(VersionStatus.rejected(version, Stage.ORDER, why, ""));
        }
        return why == null;
    }

    /** Returns null if the version may follow all versions seen before, else why not. */
    private String orderError(Manifest version) {
        if (version.epoch() < newestSeenEpoch) {
            return "epoch "
                    + version.epoch()
                    + " has ended, epoch "
                    + newestSeenEpoch
                    + " was already received";
        }
        if (!version.isNewerThan(newestSeenEpoch, newestSeenNumber)) {
            return version.number() == newestSeenNumber
                    ? "a different version with this number was already received"
                    : "it is older than " + newestSeenEpoch + "." + newestSeenNumber;
        }
        for (Manifest other : new Manifest[] {inForce, lastGood, next, queued}) {
            String why =
                    other == null || other.epoch() != version.epoch()
                            ? null
                            : orderError(version, other);
            if (why != null) {
                return why;
            }
        }
        return null;
    }

    private static String orderError(Manifest version, Manifest other) {
        for (Map.Entry<ConfigKind, Manifest.Entry> entry : version.entries().entrySet()) {
            Manifest.Entry before = other.entries().get(entry.getKey());
            if (before == null) {
                continue;
            }
            if (entry.getValue().number() < before.number()) {
                return entry.getKey().wireName
                        + ": number "
                        + entry.getValue().number()
                        + " is lower than number "
                        + before.number()
                        + " in "
                        + other.id();
            }
            if (entry.getValue().number() == before.number()
                    && !entry.getValue().digest().equals(before.digest())) {
                return entry.getKey().wireName
                        + ": the text differs from that in "
                        + other.id()
                        + " under the same number "
                        + before.number();
            }
        }
        return null;
    }

    /**
     * Reports that a check of the version failed. Only a failed check of the content rejects the
     * version for good. A version that is unreadable, not authentic or without its texts may be
     * offered again, as the fault need not be in the version itself.
     */
    public void checkFailed(Manifest version, Stage stage, String reason, String location) {
        if (stage.compareTo(Stage.TEXTS) > 0) {
            markSeen(version);
            reject(version, stage, reason, location);
        } else {
            recordStatus(VersionStatus.rejected(version, stage, reason, location));
        }
    }

    /**
     * Reports that the version passed all checks of its content. It becomes the next version and
     * replaces one that is still waiting.
     */
    public void checksPassed(Manifest version, Preconditions preconditions, Time now) {
        if (orderError(version) != null) {
            // A newer version passed its checks while this one was being checked.
            recordStatus(VersionStatus.rejected(version, Stage.ORDER, orderError(version), ""));
            return;
        }
        markSeen(version);
        if (isSavingNext) {
            if (queued != null) {
                drop(queued, "superseded by " + version.id());
            }
            queued = version;
            queuedPreconditions = preconditions;
            return;
        }
        setNext(version, preconditions, now);
    }

    private void setNext(Manifest version, Preconditions preconditions, Time now) {
        if (next != null) {
            drop(next, "superseded by " + version.id());
        }
        next = version;
        nextPreconditions = preconditions;
        activateAt = now.plus(settings.startSpread().times(random.nextDouble()));
        blockedDeadline = null;
        blockedBy = null;
        isNextSaveFinished = false;
        dropNextAfterSave = false;
    }

    /**
     * Withdraws a version on behalf of the control service: it is not activated, or is rolled back
     * if it is on trial. A version that has passed its trial is not affected.
     */
    public void withdraw(long epoch, long number) {
        if (queued != null && queued.epoch() == epoch && queued.number() == number) {
            drop(queued, "withdrawn");
            queued = null;
        } else if (next != null && next.epoch() == epoch && next.number() == number) {
            if (isSavingNext) {
                dropNextAfterSave = true;
            } else {
                drop(next, "withdrawn");
                next = null;
            }
        } else if (inForce != null
                && inForce.epoch() == epoch
                && inForce.number() == number
                && trial.isRunning()) {
            withdrawalReason = "withdrawn by the control service";
        }
    }

    /**
     * Drops the next version if it has expired. One that is being saved is dropped by a later call,
     * once its save has ended.
     */
    public void dropExpired(long unixMillis) {
        if (next != null
                && !isSavingNext
                && next.expiresAtUnixMillis() > 0
                && unixMillis >= next.expiresAtUnixMillis()) {
            drop(next, "it has expired");
            next = null;
        }
    }

    /**
     * Returns what the caller must do now, after ending a trial that is complete or that shows a
     * regression. After ACTIVATE_NEXT and ROLL_BACK the caller calls this again.
     *
     * @param totals all outcomes since the start of the program
     * @param unmetPrecondition null if {@link #nextPreconditions} are met at this instant, else
     *     which one is not
     */
    public Action nextAction(Time now, OutcomeCounts totals, String unmetPrecondition) {
        trial.update(now, totals);
        if (trial.isRunning()) {
            String rollbackReason =
                    withdrawalReason != null ? withdrawalReason : trial.regression();
            if (rollbackReason != null) {
                rollBack(rollbackReason, now);
                return Action.ROLL_BACK;
            }
            if (trial.isComplete(now)) {
                trial.end();
                lastGood = inForce;
                trialStarts = 0;
                consecutiveRollbacks = 0;
                hasUnsavedChanges = true;
                recordStatus(VersionStatus.accepted(inForce, Stage.GOOD, trial.summary()));
            }
        }
        if (next == null || isSavingNext || trial.isRunning()) {
            return saveOrNone();
        }
        if (dropNextAfterSave) {
            dropNextAfterSave = false;
            drop(next, "withdrawn");
            next = null;
            return saveOrNone();
        }
        if (now.before(activateAt) || holdUntil != null && now.before(holdUntil)) {
            return saveOrNone();
        }
        blockedBy = unmetPrecondition;
        if (unmetPrecondition != null) {
            blockedDeadline =
                    blockedDeadline == null ? now.plus(settings.maxBlockedTime()) : blockedDeadline;
            if (!now.before(blockedDeadline)) {
                reject(
                        next,
                        Stage.BESIDE,
                        "preconditions not met for "
                                + Math.round(settings.maxBlockedTime().millis())
                                + " ms: "
                                + unmetPrecondition,
                        "");
                next = null;
                isNextSaveFinished = false;
            }
            return saveOrNone();
        }
        if (!isNextSaveFinished) {
            isSavingNext = true;
            return Action.SAVE_NEXT;
        }
        return Action.ACTIVATE_NEXT;
    }

    private Action saveOrNone() {
        return hasUnsavedChanges && !isSavingNext ? Action.SAVE : Action.NONE;
    }

    /**
     * Reports that the save requested by SAVE_NEXT has ended. The state on disk now shows the next
     * version as in force. The version is activated even if the save failed, as the router works
     * without a disk.
     */
    public void nextSaveFinished(Time now) {
        isSavingNext = false;
        isNextSaveFinished = true;
        if (queued != null) {
            Manifest version = queued;
            queued = null;
            setNext(version, queuedPreconditions, now);
        }
    }

    /**
     * Reports that ACTIVATE_NEXT failed because of an internal error. The version that was in force
     * stays in force.
     */
    public void activationFailed(String why) {
        drop(next, why);
        next = null;
    }

    /** Reports that ACTIVATE_NEXT succeeded. The version is now in force and on trial. */
    public void activated(Time now) {
        inForce = next;
        next = null;
        isNextSaveFinished = false;
        blockedBy = null;
        trialStarts = 1;
        withdrawalReason = null;
        trial.start(now);
        recordStatus(VersionStatus.accepted(inForce, Stage.TRIAL, ""));
    }

    private void rollBack(String why, Time now) {
        Manifest bad = inForce;
        trial.end();
        withdrawalReason = null;
        inForce = lastGood;
        trialStarts = 0;
        reject(bad, Stage.TRIAL, why, "");
        // Consecutive rollbacks may come from trouble that the versions did not cause, so the wait
        // grows to give the trouble time to pass.
        int factor = 1 << Math.min(consecutiveRollbacks++, MAX_HOLD_DOUBLINGS);
        holdUntil = now.plus(settings.holdDown().times(factor * (1 + 0.5 * random.nextDouble())));
    }

    private void drop(Manifest version, String why) {
        hasUnsavedChanges |= isNextSaveFinished;
        isNextSaveFinished = false;
        reject(version, Stage.ORDER, why, "");
    }

    private void reject(Manifest version, Stage stage, String why, String location) {
        rejected.add(
                new PersistedState.RejectedVersion(
                        version.canonicalText(), version.epoch(), version.number(), stage, why));
        if (rejected.size() > MAX_REJECTED) {
            rejected.remove();
        }
        hasUnsavedChanges = true;
        recordStatus(VersionStatus.rejected(version, stage, why, location));
    }

    private void markSeen(Manifest version) {
        if (version.isNewerThan(newestSeenEpoch, newestSeenNumber)) {
            newestSeenEpoch = version.epoch();
            newestSeenNumber = version.number();
            hasUnsavedChanges = true;
        }
    }

    private void recordStatus(VersionStatus status) {
        // Removed first, so that the statuses stay in the order of their last change.
        statuses.remove(status.digest());
        statuses.put(status.digest(), status);
        while (statuses.size() > MAX_REJECTED) {
            statuses.remove(statuses.keySet().iterator().next());
        }
    }

    /**
     * Returns the statuses since the last call, in the order of their last change. There is one per
     * version, the latest.
     */
    public List<VersionStatus> takeStatuses() {
        List<VersionStatus> all = new ArrayList<>(statuses.values());
        statuses.clear();
        return all;
    }

    /**
     * Returns the state to save. It must be saved before the current statuses are sent, so that a
     * reported status survives a restart. While SAVE_NEXT is carried out, the state shows the next
     * version as in force and on trial.
     */
    public PersistedState stateToSave() {
        hasUnsavedChanges = false;
        boolean showsNext = isSavingNext;
        // A restart after this save and before the activation starts with the next version on
        // trial.
        return new PersistedState(
                showsNext ? next : inForce,
                lastGood,
                showsNext ? 1 : trialStarts,
                newestSeenEpoch,
                newestSeenNumber,
                List.copyOf(rejected));
    }

    /** Reports that a save failed, so that the state is saved again. */
    public void saveFailed() {
        hasUnsavedChanges = true;
    }

    /** Returns the version in force; null for the files given at the start of the program. */
    public Manifest inForce() {
        return inForce;
    }

    /**
     * Returns the version that a rollback returns to; null for the files given at the start of the
     * program.
     */
    public Manifest lastGood() {
        return lastGood;
    }

    /** Returns the version that is to be activated next; null if there is none. */
    public Manifest next() {
        return next;
    }

    /**
     * Returns the version that replaces the next one once its save has ended; null if none does.
     */
    public Manifest queued() {
        return queued;
    }

    /** Returns the preconditions of the next version. */
    public Preconditions nextPreconditions() {
        return nextPreconditions;
    }

    /** Whether the version in force is on trial. */
    public boolean isOnTrial() {
        return trial.isRunning();
    }

    /**
     * Returns the precondition that keeps the next version from activation; null if there is no
     * next version or it waits for its activation time only.
     */
    public String blockedBy() {
        return next == null ? null : blockedBy;
    }
}
