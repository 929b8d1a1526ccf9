package gladewing.control;

import gladewing.router.Time;
import gladewing.versions.ConfigKind;
import gladewing.versions.Manifest;
import gladewing.versions.RolloutStateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The versions with which the router starts. A version that was saved is used if its signing key is
 * still configured and its texts still pass all checks; else the last good version, else the files
 * that the router was started with.
 *
 * @param rollout the state machine of the rollout, resumed from the saved state
 * @param lastGood the version to return to; the same as inForce if that is not on trial
 * @param startupFiles the files that the router was started with, compiled
 * @param warnings one message for each saved version that is not used
 */
public record RecoveredVersions(
        RolloutStateMachine rollout,
        CompiledVersion inForce,
        CompiledVersion lastGood,
        CompiledVersion startupFiles,
        List<String> warnings) {

    /** The caller has checked that the files the router was started with have no faults. */
    public static RecoveredVersions recover(
            ControlStateStore.StoredState saved,
            ControlSettings settings,
            VersionCompiler compiler,
            long seed,
            Time now) {
        List<String> warnings = new ArrayList<>();
        RolloutStateMachine rollout = new RolloutStateMachine(settings.rolloutSettings(), seed);
        CompiledVersion startupFiles = compiler.compile(null, Map.of()).version();
        rollout.resume(saved.rolloutState(), now);
        CompiledVersion inForce = startupFiles;
        CompiledVersion lastGood = startupFiles;
        Manifest goodManifest = rollout.lastGood();
        if (goodManifest != null) {
            CompiledVersion compiled =
                    compileSaved(goodManifest, saved, settings, compiler, rollout, warnings);
            lastGood = compiled == null ? startupFiles : compiled;
        }
        Manifest inForceManifest = rollout.inForce();
        if (inForceManifest == null || inForceManifest.hasSameContent(rollout.lastGood())) {
            inForce = inForceManifest == null ? startupFiles : lastGood;
        } else {
            CompiledVersion compiled =
                    compileSaved(inForceManifest, saved, settings, compiler, rollout, warnings);
            inForce = compiled == null ? lastGood : compiled;
        }
        return new RecoveredVersions(rollout, inForce, lastGood, startupFiles, warnings);
    }

    /** Returns null if the saved version can't be used; it then counts as rejected. */
    private static CompiledVersion compileSaved(
            Manifest manifest,
            ControlStateStore.StoredState saved,
            ControlSettings settings,
            VersionCompiler compiler,
            RolloutStateMachine rollout,
            List<String> warnings) {
        String why = settings.keys().manifestError(manifest, settings.site());
        Map<ConfigKind, String> texts = saved.textsOf(manifest);
        if (why == null && texts == null) {
            why = "one of its texts was not saved";
        }
        if (why == null) {
            VersionCompiler.ResolvedTexts checked =
                    VersionCompiler.resolveTexts(
                            manifest,
                            Map.of(),
                            VersionCompiler.indexByDigest(texts),
                            Long.MAX_VALUE);
            why = checked.fault();
        }
        VersionCompiler.Compilation compilation =
                why == null ? compiler.compile(manifest, texts) : null;
        if (compilation != null && compilation.version() == null) {
            why =
                    "its texts no longer pass the checks: "
                            + compilation.faults().get(0).toString().lines().findFirst().orElse("");
        }
        if (why == null) {
            return compilation.version();
        }
        rollout.discardUnusable(manifest, "saved on disk, not used: " + why);
        warnings.add("saved version " + manifest.id() + " is not used: " + why);
        return null;
    }
}
