package gladewing.versions;

import gladewing.router.SlidingWindow;
import gladewing.router.Time;
import java.util.Locale;

/**
 * Compares the outcomes of this router's multigets during the trial of a version with a baseline
 * from before it. Given-up and dismissed multigets are each judged by a test for the difference of
 * two proportions: with x bad outcomes of n before, and y of m during the trial, the version is
 * worse if y/m - x/n exceeds both the minimum increase and the minimum number of standard
 * deviations, where the standard deviation is sqrt(p (1 - p) (1/n + 1/m)) with p = (x + y) / (n +
 * m). The test is repeated many times during a trial, so the minimum number of deviations must be
 * higher than for a single test.
 */
final class Trial {
    private static final int BASELINE_BUCKETS = 30;
    private static final int FINISHED = 0;
    private static final int DISMISSED = 1;
    private static final int GIVEN_UP = 2;
    private static final int INTERNAL_ERRORS = 3;
    private static final int SERIES_COUNT = 4;

    /**
     * Without enough outcomes before the trial for a comparison, only a share of bad outcomes above
     * this counts as worse, as no version is meant to cause that many.
     */
    private static final double MAX_SHARE_WITHOUT_BASELINE = 0.5;

    /** Fewer internal errors than this during a trial are not taken as caused by the version. */
    private static final int MIN_INTERNAL_ERRORS = 3;

    private final RolloutSettings settings;
    private final SlidingWindow recentOutcomes;
    private OutcomeCounts latestTotals = OutcomeCounts.NONE;

    /** When the running trial started; null while none is running. */
    private Time startedAt;

    private OutcomeCounts totalsAtStart;

    /** The outcomes within the baseline window before the trial, by series. */
    private final double[] baseline = new double[SERIES_COUNT];

    Trial(RolloutSettings settings) {
        this.settings = settings;
        recentOutcomes =
                new SlidingWindow(settings.baselineWindow(), BASELINE_BUCKETS, SERIES_COUNT);
    }

    /**
     * Takes the latest totals since the start of the program. Outcomes during a trial do not enter
     * the baseline of the next one.
     */
    void update(Time now, OutcomeCounts totals) {
        if (startedAt == null) {
            OutcomeCounts added = totals.minus(latestTotals);
            recentOutcomes.add(now, FINISHED, added.finished());
            recentOutcomes.add(now, DISMISSED, added.dismissed());
            recentOutcomes.add(now, GIVEN_UP, added.givenUp());
            recentOutcomes.add(now, INTERNAL_ERRORS, added.internalErrors());
        }
        latestTotals = totals;
    }

    void start(Time now) {
        for (int series = 0; series < SERIES_COUNT; series++) {
            baseline[series] = recentOutcomes.sum(now, series);
        }
        startedAt = now;
        totalsAtStart = latestTotals;
    }

    void end() {
        startedAt = null;
    }

    boolean isRunning() {
        return startedAt != null;
    }

    /** Returns null unless the version is worse, else what has become worse, with the counts. */
    String regression() {
        OutcomeCounts since = latestTotals.minus(totalsAtStart);
        if (since.internalErrors() >= MIN_INTERNAL_ERRORS
                && since.internalErrors() > baseline[INTERNAL_ERRORS]) {
            return since.internalErrors()
                    + " internal errors during the trial, "
                    + Math.round(baseline[INTERNAL_ERRORS])
                    + " before";
        }
        String givenUpRegression =
                shareRegression("given up", since.givenUp(), baseline[GIVEN_UP], since.total());
        return givenUpRegression != null
                ? givenUpRegression
                : shareRegression(
                        "dismissed", since.dismissed(), baseline[DISMISSED], since.total());
    }

    private String shareRegression(String outcome, long bad, double badBefore, long all) {
        double allBefore = baseline[FINISHED] + baseline[DISMISSED] + baseline[GIVEN_UP];
        if (all < settings.minOutcomes()) {
            return null;
        }
        double share = (double) bad / all;
        if (allBefore < settings.minOutcomes()) {
            boolean isWorse =
                    share > MAX_SHARE_WITHOUT_BASELINE
                            && badBefore <= MAX_SHARE_WITHOUT_BASELINE * allBefore;
            return isWorse ? describeIncrease(outcome, bad, all, badBefore, allBefore) : null;
        }
        double pooled = (bad + badBefore) / (all + allBefore);
        double deviation = Math.sqrt(pooled * (1 - pooled) * (1.0 / all + 1.0 / allBefore));
        double increase = share - badBefore / allBefore;
        return increase > settings.minShareIncrease()
                        && increase > settings.minDeviations() * deviation
                ? describeIncrease(outcome, bad, all, badBefore, allBefore)
                : null;
    }

    private static String describeIncrease(
            String outcome, long bad, long all, double badBefore, double allBefore) {
        return String.format(
                Locale.ROOT,
                "%d of %d %s during the trial, %.0f of %.0f before",
                bad,
                all,
                outcome,
                badBefore,
                allBefore);
    }

    /**
     * Whether the trial has run long enough. With too few outcomes for a comparison it runs up to
     * the maximum duration.
     */
    boolean isComplete(Time now) {
        boolean hasEnoughOutcomes =
                latestTotals.minus(totalsAtStart).total() >= settings.minOutcomes();
        return !now.before(
                startedAt.plus(
                        hasEnoughOutcomes
                                ? settings.trialDuration()
                                : settings.maxTrialDuration()));
    }

    /** Describes the outcomes of a trial that the version passed. */
    String summary() {
        OutcomeCounts since = latestTotals.minus(totalsAtStart);
        return since.total() < settings.minOutcomes()
                ? "only " + since.total() + " outcomes during the trial, too few to compare"
                : since.total()
                        - since.finished()
                        + " of "
                        + since.total()
                        + " not finished during the trial";
    }
}
