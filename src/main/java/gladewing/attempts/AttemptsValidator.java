package gladewing.attempts;

import gladewing.router.Delay;
import gladewing.router.Settings;
import gladewing.router.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that the rows of an attempts file can be carried out as written without breaking a rule of
 * the site. The router enforces the rules at run time anyway, but it would then have to cut a
 * configured sequence of transmissions short; such settings are rejected here, with a history of
 * events as evidence, because they promise retries that would not be sent. docs/attempts.md derives
 * the bounds.
 */
final class AttemptsValidator {
    private final AttemptsValidationContext site;
    private final Settings settings;
    private final List<RuleViolation> violations = new ArrayList<>();

    AttemptsValidator(AttemptsValidationContext site) {
        this.site = site;
        this.settings = site.settings();
    }

    /**
     * Returns every violation.
     *
     * @param all the row of the section for all routes and products, which holds only a shared
     *     budget
     * @param fleet may be null
     */
    List<RuleViolation> violations(List<AttemptsRow> rows, AttemptsRow all, FleetCapacity fleet) {
        for (AttemptsRow row : rows) {
            checkPermissions(row);
            checkEffect(row);
            checkTime(row);
            checkShares(row);
        }
        List<AttemptsRow> retryingWhenSlow =
                rows.stream().filter(row -> row.retriesBySlowness() > 0).toList();
        if (!retryingWhenSlow.isEmpty()) {
            checkRetryBudget(rows, all);
            checkStartedNodeLoad(rows, all, fleet);
        }
        return violations;
    }

    private void addViolation(
            int rule, String section, AttemptsKey key, String reason, List<String> history) {
        RuleViolation violation =
                new RuleViolation(rule, section, key.settingName, reason, history);
        // Several rows can inherit the same wrong setting from one section.
        if (violations.stream()
                .noneMatch(
                        r ->
                                r.section().equals(section)
                                        && r.key().equals(key.settingName)
                                        && r.rule() == rule)) {
            violations.add(violation);
        }
    }

    private void addViolation(
            int rule, AttemptsRow row, AttemptsKey key, String reason, List<String> history) {
        addViolation(rule, row.section(key), key, row.name() + ": " + reason, history);
    }

    /** Checks a row against what the site permits at all. */
    private void checkPermissions(AttemptsRow row) {
        int maxTransmissions = settings.permissions().transmissionsPerPart();
        if (row.transmissions() > maxTransmissions) {
            addViolation(
                    0,
                    row,
                    AttemptsKey.TRANSMISSIONS,
                    row.transmissions()
                            + ", wanted: at most "
                            + maxTransmissions
                            + ", the site's limit per part",
                    List.of());
        }
        if (row.hedges() && !settings.permissions().hedgedCopies()) {
            addViolation(
                    0,
                    row,
                    AttemptsKey.COPY_AFTER,
                    "the site forbids second copies, wanted: never",
                    List.of(
                            "t = 0 ms: transmission 1 is sent",
                            "t = "
                                    + WorstCaseTimeline.formatMillis(shortest(row.hedgeAfter()))
                                    + ": its copy would be sent while it is in flight"));
        }
        if (row.timesOut() && !settings.permissions().withdrawals()) {
            AttemptsKey key =
                    row.number(AttemptsKey.SPLIT) < 1 ? AttemptsKey.SPLIT : AttemptsKey.TIME_OUT;
            addViolation(
                    0,
                    row,
                    key,
                    "the site does not support withdrawals, so a transmission that has timed out"
                            + " stays in flight and the next would be a second copy, wanted: "
                            + (key == AttemptsKey.SPLIT ? "1" : "never or overdue"),
                    List.of(
                            "t = 0 ms: transmission 1 is sent",
                            "t = "
                                    + WorstCaseTimeline.formatMillis(shortest(row.timeOut()))
                                    + ": it times out, but its node still runs it beside"
                                    + " transmission 2"));
        }
        if ((row.timesOut() || row.hedges()) && row.transmissions() < 2) {
            AttemptsKey key =
                    row.hedges()
                            ? AttemptsKey.COPY_AFTER
                            : row.number(AttemptsKey.SPLIT) < 1
                                    ? AttemptsKey.SPLIT
                                    : AttemptsKey.TIME_OUT;
            addViolation(
                    0,
                    row,
                    key,
                    "with one transmission per part there are no retries, wanted: transmissions of"
                            + " 2 or more",
                    List.of());
        }
    }

    /** The shortest time in microseconds that a delay can be; 0 if it is not fixed. */
    private static long shortest(Delay delay) {
        return delay.kind() == Delay.Kind.FIXED ? Math.round(delay.value() * 1000) : 0;
    }

    /**
     * Rule 2: a part of a product that is not repeatable must not take effect twice. A transmission
     * that is withdrawn unanswered may have taken effect, unlike one that failed.
     */
    private void checkEffect(AttemptsRow row) {
        if (row.productSettings.effect() == Settings.Effect.REPEATABLE) {
            return;
        }
        boolean isOnceOnly = row.productSettings.effect() == Settings.Effect.ONCE_ONLY;
        if (isOnceOnly && row.timesOut()) {
            AttemptsKey key =
                    row.number(AttemptsKey.SPLIT) < 1 ? AttemptsKey.SPLIT : AttemptsKey.TIME_OUT;
            addViolation(
                    2,
                    row,
                    key,
                    "once-only: a transmission that has timed out may have run and can't be sent"
                            + " again, wanted: "
                            + (key == AttemptsKey.SPLIT ? "1" : "never or overdue"),
                    List.of(
                            "t = 0 ms: transmission 1 is sent",
                            "t = 1 ms: its node runs it and falls silent",
                            "t = "
                                    + WorstCaseTimeline.formatMillis(shortest(row.timeOut()))
                                    + ": it times out",
                            "then: transmission 2 would be a second effect"));
        }
        if (isOnceOnly && row.hedges()) {
            addViolation(
                    2,
                    row,
                    AttemptsKey.COPY_AFTER,
                    "once-only: a copy would be a second effect, wanted: never",
                    List.of(
                            "t = 0 ms: transmission 1 is sent and runs",
                            "t = "
                                    + WorstCaseTimeline.formatMillis(shortest(row.hedgeAfter()))
                                    + ": its copy would run too"));
        }
        long window = row.productSettings.dedupWindow().minus(settings.deadlineMargin()).micros();
        if (!isOnceOnly && row.timesOut() && WorstCaseTimeline.isBounded(row)) {
            WorstCaseTimeline timeline =
                    new WorstCaseTimeline(
                            row,
                            settings,
                            site.connectTimeout(),
                            row.span(AttemptsKey.CLIENT_TIME),
                            row.transmissions());
            if (timeline.lastStart >= window) {
                timeline.addEvent(
                        Math.max(0, window), "the repeat window, less its margin, is over");
                addViolation(
                        2,
                        row,
                        AttemptsKey.TIME_OUT,
                        "tagged: the last transmission would start "
                                + WorstCaseTimeline.formatMillis(timeline.lastStart)
                                + " after the first, wanted: before "
                                + WorstCaseTimeline.formatMillis(Math.max(0, window)),
                        timeline.events());
            }
        }
        if (!isOnceOnly
                && row.hedgeAfter().kind() == Delay.Kind.FIXED
                && shortest(row.hedgeAfter()) >= window) {
            addViolation(
                    2,
                    row,
                    AttemptsKey.COPY_AFTER,
                    "tagged: a copy at "
                            + WorstCaseTimeline.formatMillis(shortest(row.hedgeAfter()))
                            + " is past the repeat window of "
                            + WorstCaseTimeline.formatMillis(
                                    row.productSettings.dedupWindow().micros()),
                    List.of());
        }
    }

    /**
     * Rule 1: the longest sequence of transmissions, as configured, must end within the client time
     * of the row.
     */
    private void checkTime(AttemptsRow row) {
        Span clientTime = row.span(AttemptsKey.CLIENT_TIME);
        if (clientTime.longerThan(row.productSettings.timeLimit())) {
            addViolation(
                    1,
                    row,
                    AttemptsKey.CLIENT_TIME,
                    WorstCaseTimeline.formatMillis(clientTime.micros())
                            + ", wanted: at most the time "
                            + "limit of "
                            + row.product
                            + ", "
                            + WorstCaseTimeline.formatMillis(
                                    row.productSettings.timeLimit().micros()),
                    List.of());
        }
        if (!row.timesOut()) {
            return;
        }
        if (!WorstCaseTimeline.isBounded(row)) {
            addViolation(
                    1,
                    row,
                    AttemptsKey.TIME_OUT,
                    "a multiple of the usual time has no bound, wanted: a cap, such as "
                            + row.value(AttemptsKey.TIME_OUT).text()
                            + ", at most 800ms; or split below 1",
                    List.of(
                            "t = 0 ms: every node becomes ten times slower, and so does the usual"
                                    + " time",
                            "t = "
                                    + WorstCaseTimeline.formatMillis(clientTime.micros())
                                    + ": transmission 1 has not timed out yet"));
            return;
        }
        WorstCaseTimeline timeline =
                new WorstCaseTimeline(
                        row, settings, site.connectTimeout(), clientTime, row.transmissions());
        if (timeline.end > clientTime.micros()) {
            timeline.addEvent(
                    clientTime.micros(),
                    "the client's time is over, "
                            + WorstCaseTimeline.formatMillis(timeline.end - clientTime.micros())
                            + " too early");
            AttemptsKey key =
                    row.value(AttemptsKey.TIME_OUT).isStated()
                            ? AttemptsKey.TIME_OUT
                            : row.value(AttemptsKey.SPLIT).isStated()
                                    ? AttemptsKey.SPLIT
                                    : AttemptsKey.TRANSMISSIONS;
            addViolation(
                    1,
                    row,
                    key,
                    "the longest sequence of transmissions takes "
                            + WorstCaseTimeline.formatMillis(timeline.end)
                            + ", wanted: at most "
                            + WorstCaseTimeline.formatMillis(clientTime.micros()),
                    timeline.events());
        }
    }

    /** Rule 5: the least share of a row must lie between the product's least and whole share. */
    private void checkShares(AttemptsRow row) {
        SettingValue least = row.value(AttemptsKey.LEAST_SHARE);
        if (!least.isStated()) {
            return;
        }
        double share = row.number(AttemptsKey.LEAST_SHARE);
        if (share < row.productSettings.leastShare()) {
            addViolation(
                    5,
                    row,
                    AttemptsKey.LEAST_SHARE,
                    share
                            + ", wanted: at least "
                            + row.productSettings.leastShare()
                            + ", the least share of "
                            + row.product,
                    List.of(
                            "parts worth " + share + " are answered when the quoted time is over",
                            "an answer with them would be below the product's least share"));
        } else if (share > row.productSettings.wholeShare()) {
            addViolation(
                    5,
                    row,
                    AttemptsKey.LEAST_SHARE,
                    share
                            + ", wanted: at most "
                            + row.productSettings.wholeShare()
                            + ", the share of a whole answer",
                    List.of());
        }
    }

    /**
     * Rule 6: retries within the window must not exceed a number per router plus a share of the
     * first transmissions. As both the bound on the retries and the permitted number are linear in
     * the load, it is enough to compare them at no load and in the limit of a high load.
     */
    private void checkRetryBudget(List<AttemptsRow> rows, AttemptsRow all) {
        Settings.Rules rules = settings.rules();
        double seconds = rules.retryBudgetWindow().millis() / 1000;
        if (seconds == 0) {
            return;
        }
        RetryLoadBound bound = new RetryLoadBound(rows, all, settings, seconds);
        double ratio = bound.retriesPerRate / seconds;
        double floors = bound.floorRetries / settings.routers();
        AttemptsKey key =
                bound.worst.budget() == null && all.budget() == null
                        ? AttemptsKey.COPY_AFTER
                        : AttemptsKey.BUDGET;
        key = key == AttemptsKey.COPY_AFTER && !bound.worst.hedges() ? AttemptsKey.TIME_OUT : key;
        if (ratio > rules.retryShare() + 1e-9) {
            addViolation(
                    6,
                    bound.worst,
                    key,
                    "with every node slow at once there are "
                            + round(ratio)
                            + " retries for each first transmission, wanted: at most "
                            + rules.retryShare(),
                    List.of(
                            "t = 0 ms: every node becomes slow",
                            "within "
                                    + WorstCaseTimeline.formatMillis(
                                            rules.retryBudgetWindow().micros())
                                    + ": "
                                    + round(ratio)
                                    + " retries for each first transmission, at any load"));
        }
        if (floors > rules.freeRetries() + 1e-9) {
            addViolation(
                    6,
                    bound.worst,
                    AttemptsKey.FLOOR,
                    "the budget floors permit one router "
                            + round(floors)
                            + " retries within "
                            + WorstCaseTimeline.formatMillis(rules.retryBudgetWindow().micros())
                            + ", wanted: at most "
                            + rules.freeRetries(),
                    List.of(
                            "t = 0 ms: there is almost no load, and every transmission fails",
                            "within "
                                    + WorstCaseTimeline.formatMillis(
                                            rules.retryBudgetWindow().micros())
                                    + ": "
                                    + round(floors)
                                    + " retries"));
        }
    }

    /**
     * Rule 4: the retries of all routers together must not overload a data node that has just
     * started, which may receive every retry of the shards that it holds.
     */
    private void checkStartedNodeLoad(
            List<AttemptsRow> rows, AttemptsRow all, FleetCapacity fleet) {
        AttemptsRow first =
                rows.stream().filter(row -> row.retriesBySlowness() > 0).findFirst().orElseThrow();
        if (fleet == null) {
            addViolation(
                    4,
                    FleetCapacity.SECTION,
                    AttemptsKey.COPY_AFTER,
                    "missing, wanted: [fleet] with parts and capacity, since "
                            + first.name()
                            + " retries after a configured time, and a node that has just started"
                            + " must be able to take that load",
                    List.of());
            return;
        }
        Settings.Rules rules = settings.rules();
        double seconds = rules.overloadWindow().millis() / 1000;
        RetryLoadBound bound = new RetryLoadBound(rows, all, settings, seconds);
        double heldShare =
                Math.min(
                        1,
                        fleet.shardSkew()
                                * settings.shards().cellsPerShard()
                                / settings.shards().cells());
        double load = bound.at(fleet.partsPerSecond()) * heldShare;
        double permitted =
                rules.initialCapacityShare()
                        * rules.overloadFactor()
                        * fleet.nodeCapacity()
                        * seconds;
        if (load > permitted) {
            AttemptsRow row = bound.worst;
            AttemptsKey key =
                    row.hedges()
                            ? AttemptsKey.COPY_AFTER
                            : row.number(AttemptsKey.SPLIT) < 1
                                    ? AttemptsKey.SPLIT
                                    : AttemptsKey.TIME_OUT;
            addViolation(
                    4,
                    row,
                    key,
                    "a node that has just started would get "
                            + round(load)
                            + " retries within "
                            + WorstCaseTimeline.formatMillis(rules.overloadWindow().micros())
                            + " from all routers together ("
                            + settings.routers()
                            + "), wanted: at most "
                            + round(permitted)
                            + "; a lower budget, fewer transmissions or a later time-out gives"
                            + " fewer",
                    List.of(
                            "t = 0 ms: every node becomes slow but one that has just started; "
                                    + round(fleet.partsPerSecond())
                                    + " parts a second are sent",
                            "within "
                                    + WorstCaseTimeline.formatMillis(
                                            rules.overloadWindow().micros())
                                    + ": "
                                    + round(bound.at(fleet.partsPerSecond()))
                                    + " are retried, "
                                    + round(load)
                                    + " of them of shards that the started node holds",
                            "it may get "
                                    + round(permitted)
                                    + ": "
                                    + rules.initialCapacityShare()
                                    + " of "
                                    + round(fleet.nodeCapacity())
                                    + " a second, times "
                                    + rules.overloadFactor()));
        }
    }

    private static String round(double number) {
        return number == Math.rint(number)
                ? Long.toString((long) number)
                : String.format(java.util.Locale.ROOT, number < 10 ? "%.2f" : "%.1f", number);
    }
}
