package gladewing.versions;

import gladewing.router.Span;

/**
 * How versions are activated, and how the trial that follows is judged.
 *
 * @param startSpread activation is delayed by a random part of this span, so that the routers of a
 *     fleet do not activate a version at the same instant
 * @param maxBlockedTime how long a version whose preconditions are not met is kept waiting before
 *     it is rejected
 * @param baselineWindow the span before activation whose outcomes a trial is compared with
 * @param trialDuration how long a version is on trial
 * @param minOutcomes the least number of outcomes, both before and during the trial, for a
 *     comparison; a trial with fewer is extended
 * @param maxTrialDuration when an extended trial ends even with too few outcomes
 * @param minShareIncrease the share of bad outcomes must rise by more than this for a version to
 *     count as worse
 * @param minDeviations the share of bad outcomes must also rise by more than this many standard
 *     deviations
 * @param holdDown after a rollback nothing is activated for this span; it doubles with each
 *     consecutive rollback, up to eight times the span
 * @param maxTrialStarts a version that was on trial at this many starts of the program is rolled
 *     back at the next start
 */
public record RolloutSettings(
        Span startSpread,
        Span maxBlockedTime,
        Span baselineWindow,
        Span trialDuration,
        int minOutcomes,
        Span maxTrialDuration,
        double minShareIncrease,
        double minDeviations,
        Span holdDown,
        int maxTrialStarts) {}
