package gladewing.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Makes all routing decisions of one query router: which data node gets which parts, when to retry
 * or hedge a part, when to answer a multiget, and which multigets to dismiss under overload.
 *
 * <p>It is called by a single thread in turns: {@link #beginTurn}, then one call for each event
 * since the last turn, then {@link #endTurn}, which decides what to send and calls the {@link
 * Port}. {@link #accept} returns a {@link Multiget}, which takes the further events of that
 * multiget; node list, probe and timer events are reported here.
 *
 * <p>Normally a part goes to the node that covers most of the unsent parts of its multiget, among
 * the nodes whose circuit breaker admits traffic and whose concurrency limit is not reached; ties
 * are broken at random.
 */
public final class QueryRouter {
    /**
     * Longest time that the circuit of a failed node stays open. The open period starts shorter and
     * doubles with each consecutive failure up to this bound; the design that this follows starts
     * at 5 s.
     */
    private static final Span MAX_CIRCUIT_OPEN = Span.ofMillis(5000);

    /** Transmissions that may be in flight to a newly listed node. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 2;

    /**
     * Load level from which a node is sent nothing, since the work would be wasted. A load level is
     * the binary logarithm of how many times longer than usual a part is expected to take.
     */
    private static final int SATURATED_LEVEL = 3;

    /**
     * Load level assumed of a node whose last probe failed or timed out, or that failed recently.
     */
    private static final int HIGH_LOAD_LEVEL = 2;

    /** Factor of the multiplicative decrease of a node's concurrency limit. */
    private static final double LIMIT_DECREASE_FACTOR = 0.5;

    /**
     * Consecutive errors from which a node is no longer used under congestion: they are unlikely to
     * be chance, and a node that fails at once frees its slot at once, so it would attract ever
     * more parts.
     */
    private static final int MAX_CONSECUTIVE_ERRORS = 3;

    /**
     * Tolerance when weights are summed. Weights are rounded on the wire; without it an answer that
     * is whole could wait for a part that does not exist.
     */
    private static final double WEIGHT_TOLERANCE = 0.00005;

    private final Settings settings;
    private final Random random;
    private final Port port;
    private final Span shortestQuotedTime;
    private final Span checkInterval;
    private final Span deadlineMargin;
    private final RetryPolicy defaultPolicy;
    private final DataNodeIndex nodes;
    private final List<Multiget> openMultigets = new ArrayList<>();

    /** Number of open multigets and of all their parts, compared with the limit of open ones. */
    private int openCount;

    private final Set<TransmissionState> inFlight = new LinkedHashSet<>();

    /** By product: the time left to first tries of clients when they were accepted. */
    private final SpanHistogram[] firstTryTimeLeft;

    /** By product: the time from the first transmission to the whole answer. */
    private final SpanHistogram[] wholeAnswerTimes;

    /** By product: the 80th percentile of recent whole answers. */
    private final Span[] expectedAnswerTime;

    /** How long recent transmissions took; overdue ones are included when they become overdue. */
    private final SpanHistogram transmissionTimes;

    private final RelativeWork partWork;

    /** Service times of a part as data nodes report them. */
    private final SpanHistogram serviceTimes;

    /** Channel 0 counts final answers, channel 1 multigets that were ended early without one. */
    private final SlidingWindow multigetEnds;

    /** Work sent to nodes that have finished their warm-up, in parts of average work. */
    private final SlidingWindow workToWarmNodes;

    /** Accepted multigets and parts: the base of the retry budget. */
    private final SlidingWindow accepted;

    private final SlidingWindow retries;

    /** Accepted multigets, with one channel for each tenant. */
    private final SlidingWindow acceptedByTenant;

    private Time now;

    /** Median time of recent transmissions. */
    private Span medianTime;

    /** Shortest median time left to first tries over all products, at most the quoted time. */
    private Span clientTime;

    /** Age from which a transmission to a warm node counts as overdue. */
    private Span overdueAfter;

    /** Median of the service times that nodes report. */
    private double usualServiceMillis;

    /** Mean time between two answers of the same node to this router. */
    private Span meanVisitInterval;

    /** The last failure of any node; null before the first. */
    private Time lastFailureAt;

    /** Whether this turn begins much later than the router's own timer was due. */
    private boolean wasPaused;

    private boolean isTimerPending;

    /** Whether the last turn left parts unsent for want of capacity. */
    private boolean isCongested;

    /**
     * Recent peak, with decay, of the mean work that a warm node received in an overload window.
     */
    private double peakWarmWork;

    private int consecutiveListFailures;

    /** When the node list is to be requested; null while a request is open or lists are pushed. */
    private Time nextListRequestAt;

    /**
     * Creates a router without data nodes.
     *
     * @param seed of all random choices, so that a run can be repeated
     * @param now the current time; all later times must come from the same clock
     */
    public QueryRouter(Settings settings, long seed, Port port, Time now) {
        this.settings = settings;
        this.random = new Random(seed);
        this.port = port;
        this.now = now;
        this.nodes = new DataNodeIndex(settings.shards());
        Span quotedTime = settings.shortestQuotedTime();
        shortestQuotedTime = quotedTime;
        checkInterval = settings.checkInterval();
        deadlineMargin = settings.deadlineMargin();
        defaultPolicy = RetryPolicy.routerDefault(settings.permissions().transmissionsPerPart());
        int products = settings.products().size();
        firstTryTimeLeft = new SpanHistogram[products];
        transmissionTimes = new SpanHistogram(quotedTime.times(3), 12);
        partWork = new RelativeWork(quotedTime.times(12), 12, products);
        wholeAnswerTimes = new SpanHistogram[products];
        expectedAnswerTime = new Span[products];
        for (int i = 0; i < products; i++) {
            wholeAnswerTimes[i] = new SpanHistogram(quotedTime.times(6), 12);
            firstTryTimeLeft[i] = new SpanHistogram(quotedTime.times(3), 6);
        }
        serviceTimes = new SpanHistogram(quotedTime, 12);
        multigetEnds = new SlidingWindow(quotedTime.times(4), 8, 2);
        workToWarmNodes = new SlidingWindow(settings.rules().overloadWindow().times(4), 8, 1);
        Span budget = settings.rules().retryBudgetWindow();
        accepted = new SlidingWindow(Span.longest(budget, checkInterval), 20, 1);
        retries = new SlidingWindow(Span.longest(budget, checkInterval), 20, 1);
        acceptedByTenant = new SlidingWindow(quotedTime.times(2), 10, settings.tenants().size());
        nextListRequestAt = settings.listIsPolled() ? now : null;
        updateEstimates();
    }

    /**
     * Begins a turn. After a pause of the process, everything that arrived meanwhile is handled in
     * one turn: answers and requests then look late through no fault of nodes or clients, so their
     * times are not recorded. A pause is recognised by the time since the last turn, which the
     * router's own timer normally keeps to one check interval.
     */
    public void beginTurn(Time turnStart) {
        wasPaused = turnStart.since(now).longerThan(checkInterval.times(4));
        now = turnStart;
    }

    /** Accepts a multiget under the router's default retry policy. */
    public Multiget accept(int ref, int product, int tenant, Span timeLeft, boolean isClientRetry) {
        return accept(ref, product, tenant, timeLeft, isClientRetry, defaultPolicy);
    }

    /**
     * Accepts a multiget, whose parts are added to the returned handle in the same turn.
     *
     * @param ref the caller's own number of the multiget, handed back by {@link Multiget#ref}
     * @param product index into the settings' products
     * @param tenant index into the settings' tenants, or their number for an unknown tenant
     * @param timeLeft until the client stops waiting
     * @param isClientRetry whether the client has marked the request as a repetition
     * @param retryPolicy in force for this multiget until its end, whatever is configured later
     */
    public Multiget accept(
            int ref,
            int product,
            int tenant,
            Span timeLeft,
            boolean isClientRetry,
            RetryPolicy retryPolicy) {
        Settings.Product productSettings =
                settings.products().get(product).withLeastShare(retryPolicy.leastShare());
        accepted.add(now, 0, 1);
        double revenue = productSettings.revenue();
        if (tenant < settings.tenants().size()) {
            acceptedByTenant.add(now, tenant, 1);
            double tenantShare =
                    settings.tenants().get(tenant).multigetsPerSecond()
                            * shortestQuotedTime.times(2).millis()
                            / 1000;
            if (acceptedByTenant.sumWithoutOldest(now, tenant) > tenantShare / settings.routers()) {
                revenue *= settings.overShareRevenueFactor();
            }
        }
        if (!isClientRetry && !wasPaused) {
            firstTryTimeLeft[product].add(now, timeLeft);
        }
        // The quoted time of a client's retry counts from the first try. The age of the request is
        // estimated as the time limit less the time that is left, but no less than the usual age
        // of first tries. Where clients do not mark retries, a request with far less time left
        // than usual counts as one under overload. Where first tries usually have less time left
        // than the quoted time, clients have short time-outs and the age cannot be estimated from
        // the time left.
        Span usualTimeLeft =
                firstTryTimeLeft[product].quantile(now, isClientRetry ? 0.5 : 0.9, 3, timeLeft);
        boolean isRetry =
                isClientRetry || isOverloaded() && usualTimeLeft.longerThan(timeLeft.times(1.3));
        boolean canEstimateStart =
                isRetry && usualTimeLeft.longerThan(productSettings.quotedTime());
        Time startedAt =
                canEstimateStart
                        ? now.plus(Span.shortest(timeLeft, usualTimeLeft))
                                .minus(productSettings.timeLimit())
                        : now;
        Multiget multiget =
                new Multiget(
                        this,
                        ref,
                        product,
                        productSettings,
                        retryPolicy,
                        revenue,
                        startedAt.plus(productSettings.quotedTime()),
                        now.plus(timeLeft));
        openMultigets.add(multiget);
        openCount++;
        return multiget;
    }

    /** Counts a part that was added to an open multiget. */
    void partAdded() {
        openCount++;
        accepted.add(now, 0, 1);
    }

    /**
     * Adds a data node or updates it. A node whose cell or start time has changed is a new one.
     *
     * @param startedAt when the process started, which begins its warm-up; null for long ago
     */
    public void nodeListed(int index, int cell, Time startedAt, boolean isDraining) {
        DataNode node = nodes.get(index);
        if (node == null
                || node.cell != cell
                || startedAt != null && !startedAt.equals(node.startedAt)) {
            nodeRemoved(index);
            node = new DataNode(index, cell, startedAt, INITIAL_CONCURRENCY_LIMIT);
            nodes.add(node);
            if (capacityShare(node) < 1) {
                node.recentWork = new SlidingWindow(settings.rules().overloadWindow(), 6, 1);
                nodes.warmingUp.add(node);
            }
        }
        node.isActive = !isDraining;
    }

    /** Forgets a data node; its open transmissions may still end. */
    public void nodeRemoved(int index) {
        DataNode node = nodes.get(index);
        if (node != null) {
            nodes.remove(node);
        }
    }

    /** To be called after the nodes of a received list, or the changes to it, were reported. */
    public void nodeListReceived() {
        nodes.countActive();
        consecutiveListFailures = 0;
    }

    /**
     * Schedules the next request for the node list after one has failed. The service that answers
     * it is small and shared by all routers, so the wait doubles with each failure, and jitter
     * keeps routers from asking in step.
     */
    public void nodeListFailed() {
        consecutiveListFailures++;
        Span firstWait =
                settings.rules().listRetryLimit().times(0.05 * (0.5 + random.nextDouble()));
        Span wait =
                Span.shortest(
                        firstWait.times(1 << Math.min(consecutiveListFailures - 1, 8)),
                        settings.rules()
                                .listRetryLimit()
                                .times(0.25 * (0.5 + random.nextDouble())));
        nextListRequestAt = settings.listIsPolled() ? now.plus(wait) : null;
    }

    /**
     * Records the end of a probe. A refused connection opens the circuit again, so that no multiget
     * is spent on finding out. A slow or unanswered probe is not a failure, since the network may
     * be slow and the node healthy, but it raises the node's load level so that nodes that answer
     * are preferred.
     *
     * @param load the node's report of its load, or null
     */
    public void probeEnded(int index, TransmissionOutcome outcome, NodeLoad load) {
        DataNode node = nodes.get(index);
        if (node != null && node.probeSentAt != null) {
            node.probeSentAt = null;
            node.probeLoadLevel =
                    outcome == TransmissionOutcome.OK
                            ? 0
                            : outcome == TransmissionOutcome.REJECTED
                                    ? SATURATED_LEVEL
                                    : HIGH_LOAD_LEVEL;
            if (outcome == TransmissionOutcome.NOT_CONNECTED) {
                openCircuit(node);
            } else {
                node.lastProbeEndAt = now;
                node.lastInformationAt = now;
            }
            recordLoadReport(node, load);
        }
    }

    private void startProbe(DataNode node) {
        if (settings.permissions().probes() && node.isActive && node.probeSentAt == null) {
            node.probeSentAt = now;
            port.probe(node.index);
        }
    }

    /**
     * Records a node's load report. A report that states neither queued parts nor parts in service
     * is ignored: a service time alone is no sign of queueing, since it grows with what runs in
     * parallel. A missing service time is estimated from the busy share and the served rate, pulled
     * towards the usual service time where both are small.
     */
    private void recordLoadReport(DataNode node, NodeLoad report) {
        if (report == null
                || Double.isNaN(report.queuedParts()) && Double.isNaN(report.partsInService())) {
            return;
        }
        double queuedParts =
                Double.isNaN(report.queuedParts()) ? report.partsInService() : report.queuedParts();
        double serviceMillis = report.serviceMillis();
        if (Double.isNaN(serviceMillis)) {
            double busyMillisPerSecond = 1000 * report.busyShare();
            if (report.busyShare() > 0.2) {
                serviceTimes.add(
                        now,
                        Span.ofMillis(
                                busyMillisPerSecond / Math.max(0.1, report.servedPerSecond())));
            }
            serviceMillis =
                    (busyMillisPerSecond + 500)
                            / (report.servedPerSecond() + 500 / usualServiceMillis);
        } else {
            serviceTimes.add(now, Span.ofMillis(serviceMillis));
        }
        node.loadReportedAt = now;
        node.reportedSlowdown = serviceMillis / usualServiceMillis * (1 + queuedParts);
    }

    /**
     * The node's load level, raised for some time after a failure, so that the node is chosen last.
     * The time is four mean visit intervals: for a router that seldom visits a node, every visit
     * would otherwise be a trial of the failed node.
     */
    private int effectiveLoadLevel(DataNode node) {
        boolean recentlyFailed =
                node.consecutiveFailures > 0
                        && meanVisitInterval.times(4).longerThan(now.since(node.lastFailureAt));
        return Math.max(observedLoadLevel(node), recentlyFailed ? HIGH_LOAD_LEVEL : 0);
    }

    /**
     * The node's load level as its probes and reports show it. A late, failed or rejected probe
     * outweighs a lower report, since some nodes serve probes in turn, behind parts.
     */
    private int observedLoadLevel(DataNode node) {
        // Results of probes and reports expire after a quoted time: a node avoided for what it
        // reported would otherwise never be asked again.
        boolean probeIsRecent =
                node.lastProbeEndAt != null
                        && shortestQuotedTime.longerThan(now.since(node.lastProbeEndAt));
        int probeLevel =
                Math.max(
                        probeIsRecent ? node.probeLoadLevel : 0,
                        node.probeSentAt == null || isProbePending(node) ? 0 : 1);
        boolean reportIsRecent =
                node.loadReportedAt != null
                        && shortestQuotedTime.longerThan(now.since(node.loadReportedAt));
        return reportIsRecent
                ? (int) Math.max(probeLevel, Math.log(node.reportedSlowdown) / Math.log(2))
                : probeLevel;
    }

    /**
     * Whether a probe is worth its cost: some node has failed recently, and what is known of this
     * one is outdated.
     */
    private boolean needsProbe(DataNode node) {
        return settings.permissions().probes()
                && lastFailureAt != null
                && shortestQuotedTime.times(4).longerThan(now.since(lastFailureAt))
                && (node.lastInformationAt == null
                        || now.since(node.lastInformationAt)
                                .longerThan(shortestQuotedTime.times(0.1)));
    }

    /**
     * Whether the node is known to be idle or below the load level, which is required for a hedged
     * copy and for withdrawing a slow transmission in its favour. A node whose information is
     * outdated is probed and does not qualify yet.
     */
    private boolean isKnownBelow(DataNode node, int level) {
        if (needsProbe(node)) {
            startProbe(node);
            return false;
        }
        int nodeLevel = effectiveLoadLevel(node);
        return nodeLevel == 0 || nodeLevel < level;
    }

    /** Whether a probe of the node is open and has not yet exceeded one check interval. */
    private boolean isProbePending(DataNode node) {
        return node.probeSentAt != null && !now.since(node.probeSentAt).longerThan(checkInterval);
    }

    /**
     * Releases the parts assigned to nodes that have become unsuitable, so that they can be
     * assigned anew: the node is not ready, its circuit is open, or its probe shows load or is
     * late.
     */
    private void releaseUnsuitableAssignments(Multiget multiget) {
        for (Iterator<TentativeAssignment> assignments = multiget.assignments.iterator();
                assignments.hasNext(); ) {
            TentativeAssignment assignment = assignments.next();
            if (!isReady(assignment.node)
                    || !circuitAllows(assignment.node)
                    || !isProbePending(assignment.node)
                            && assignment.awaitsProbe
                            && effectiveLoadLevel(assignment.node) > 0) {
                assignment.parts.forEach(p -> p.isAssigned = false);
                assignments.remove();
            }
            assignment.awaitsProbe &= isProbePending(assignment.node);
        }
    }

    /**
     * Sends assigned parts whose nodes need no probe or have answered it. Probes are sent only
     * here, for multigets that may start: under overload, a hundred routers hold many multigets
     * that may not, and their probes would flood the nodes. A multiget that has not started waits
     * for all its probes.
     */
    private void sendAssignments(Multiget multiget) {
        multiget.assignments.stream()
                .filter(assignment -> needsProbe(assignment.node))
                .forEach(
                        assignment -> {
                            assignment.awaitsProbe = true;
                            startProbe(assignment.node);
                        });
        if (!isStarted(multiget)
                && multiget.assignments.stream().anyMatch(a -> isProbePending(a.node))) {
            return;
        }
        for (Iterator<TentativeAssignment> assignments = multiget.assignments.iterator();
                assignments.hasNext(); ) {
            TentativeAssignment assignment = assignments.next();
            if (!isProbePending(assignment.node)) {
                assignments.remove();
                assignment.node.coveredParts = assignment.parts.size();
                int admissible = admissibleParts(assignment.node, multiget.product);
                for (Part part : assignment.parts) {
                    part.isAssigned = false;
                    if (admissible-- > 0 && mayTransmit(part) && mayServe(assignment.node, part)) {
                        transmit(part, assignment.node);
                    }
                }
            }
        }
    }

    /**
     * Whether to send the first parts of a multiget. One that needs all its parts is not started
     * while all usable holders of some part are busy, or while its only holders fail: the work on
     * the other parts would be wasted, and under overload every router would be busy with multigets
     * that none can finish.
     */
    private boolean mayStart(Multiget multiget, List<Part> unsent) {
        return isStarted(multiget)
                || unsent.stream().noneMatch(this::hasOnlyBusyHolders)
                        && multiget.stepParts().stream().noneMatch(this::hasOnlyFailingHolders);
    }

    /**
     * Whether parts were sent; a multiget that accepts a partial answer always counts as started.
     */
    private static boolean isStarted(Multiget multiget) {
        return multiget.firstSentAt != null
                || multiget.productSettings.leastShare() < multiget.productSettings.wholeShare();
    }

    /**
     * Whether no usable node holds the part, but an active one does that has failed or rejected
     * transmissions since its last answer: a trial there soon brings either an answer or the end of
     * the multiget.
     */
    private boolean hasOnlyFailingHolders(Part part) {
        return !part.isAnswered
                && !hasUsableHolder(part)
                && nodes.holders(part).stream()
                        .anyMatch(n -> n.isActive && n.consecutiveErrors > 0);
    }

    /** Whether the part has usable holders and all of them are at a high load level. */
    private boolean hasOnlyBusyHolders(Part part) {
        List<DataNode> usable =
                nodes.holders(part).stream().filter(n -> n.isActive && circuitAllows(n)).toList();
        return !usable.isEmpty()
                && usable.stream().allMatch(n -> observedLoadLevel(n) >= HIGH_LOAD_LEVEL);
    }

    /**
     * Chooses a node for each shard of a long-lived session, by the rules for parts of a multiget.
     * Nothing is sent. What the caller then opens counts against the share of a node in its warm-up
     * once it is reported by {@link #adjustSessionLoad}.
     *
     * @param excludedNodes indices of nodes that must not be chosen
     * @return node indices in the order of the shards; -1 where no node is usable and ready
     */
    public int[] placeSession(int product, Set<Integer> excludedNodes, int... shards) {
        Multiget session =
                new Multiget(
                        this,
                        -1,
                        product,
                        settings.products().get(product),
                        defaultPolicy,
                        0,
                        now,
                        now);
        List<Part> unplaced = new ArrayList<>();
        for (int shard : shards) {
            session.parts.add(new Part(session, unplaced.size(), shard, 0));
            unplaced.add(session.parts.get(unplaced.size()));
        }
        assignParts(unplaced, false, false, excludedNodes);
        int[] placements = new int[shards.length];
        session.parts.forEach(p -> placements[p.index] = -1);
        for (TentativeAssignment assignment : session.assignments) {
            assignment.parts.forEach(p -> placements[p.index] = assignment.node.index);
        }
        return placements;
    }

    /**
     * Changes the load that open sessions put on a node.
     *
     * @param delta change in units of concurrent parts, negative when a session ends
     */
    public void adjustSessionLoad(int index, double delta) {
        DataNode node = nodes.get(index);
        if (node != null) {
            node.sessionLoad = Math.max(0, node.sessionLoad + delta);
            if (delta > 0 && capacityShare(node) < 1) {
                node.recentWork.add(now, 0, partWork.relativeWork(now, 0, 10));
            }
        }
    }

    /** Records that a session could not be opened at the node, or broke: it opens the circuit. */
    public void sessionFailed(int index) {
        if (nodes.get(index) != null) {
            openCircuit(nodes.get(index));
        }
    }

    /** To be called when the delay given to {@link Port#startTimer} has passed. */
    public void timerFired() {
        isTimerPending = false;
    }

    /** Ends the turn: checks what is in flight, ends what is due or hopeless, and sends parts. */
    public void endTurn() {
        if (!isTimerPending) {
            isTimerPending = true;
            port.startTimer(checkInterval);
            updateEstimates();
            updatePeakWarmWork();
            checkInFlight();
        }
        if (nextListRequestAt != null && !now.before(nextListRequestAt)) {
            nextListRequestAt = null;
            port.watchNodeList();
        }
        for (Multiget multiget : new ArrayList<>(openMultigets)) {
            endIfDue(multiget);
        }
        shedLoad();
        isCongested = sendParts(false);
        // A hedged copy takes a slot from a first transmission, so there are none while parts wait
        // for capacity.
        if (!isCongested && settings.permissions().hedgedCopies()) {
            sendParts(true);
        }
    }

    /** Recomputes the time limits and estimates that follow recent measurements. */
    private void updateEstimates() {
        medianTime = transmissionTimes.quantile(now, 0.5, 20, shortestQuotedTime.times(0.1));
        Span slowTime = transmissionTimes.quantile(now, 0.95, 20, medianTime.times(3));
        clientTime = shortestQuotedTime;
        for (int product = 0; product < expectedAnswerTime.length; product++) {
            clientTime =
                    Span.shortest(
                            clientTime,
                            firstTryTimeLeft[product].quantile(now, 0.5, 1, clientTime));
            // With too few whole answers, the time of slow parts is used: the slowest part ends
            // the multiget.
            expectedAnswerTime[product] =
                    wholeAnswerTimes[product].quantile(now, 0.8, 10, slowTime);
        }
        usualServiceMillis = serviceTimes.quantile(now, 0.5, 10, medianTime).millis();
        meanVisitInterval =
                shortestQuotedTime.times(12 * nodes.activeCount / (1 + partWork.count(now)));
        // Normally 1.5 times the 95th percentile, so that the slowest answers set the limit. Since
        // a few failing nodes can push that up, it is at most 0.3 of the time that clients have,
        // but never less than three times the median.
        overdueAfter =
                Span.longest(
                        medianTime.times(3),
                        Span.shortest(slowTime.times(1.5), clientTime.times(0.3)));
    }

    /**
     * Whether the multiget would probably end after the deadline. One that has not started needs
     * the time of a whole answer, since its slowest part decides. Without overload only the median
     * time of a part is counted, so that only what is certainly too late is refused.
     */
    private boolean wouldMiss(Multiget multiget, Time deadline) {
        return !now.plus(
                        multiget.firstSentAt == null && isOverloaded()
                                ? expectedAnswerTime[multiget.product]
                                : medianTime)
                .before(deadline);
    }

    /**
     * Whether the circuit breaker admits parts to the node: it is closed, or it is half-open
     * because the open period is over and, where probes are permitted, a probe has been answered
     * since.
     */
    private boolean circuitAllows(DataNode node) {
        return isCircuitClosed(node)
                || !now.before(node.circuitOpenUntil)
                        && (!settings.permissions().probes() || node.probedAfterOpenPeriod());
    }

    /**
     * Whether the circuit breaker lets the node work up to its concurrency limit. Under congestion
     * this includes nodes that are late or fail now and then, as long as they have answered
     * recently: they are better than no capacity at all.
     */
    private boolean isCircuitClosed(DataNode node) {
        return node.consecutiveFailures == 0
                || isCongested
                        && node.consecutiveErrors < MAX_CONSECUTIVE_ERRORS
                        && node.lastAnswerAt != null
                        && overdueAfter.longerThan(now.since(node.lastAnswerAt));
    }

    /**
     * Concurrent transmissions that the node may have beside its sessions. At least one is always
     * left, since the limit can only grow by answers to what is sent.
     */
    private int maxInFlight(DataNode node) {
        return Math.max(1, (int) (node.concurrencyLimit - node.sessionLoad));
    }

    /**
     * Whether the node can take another transmission now. A half-open circuit admits one at a time,
     * so that a node that is still broken costs one multiget and not many.
     */
    private boolean isReady(DataNode node) {
        int limit = isCircuitClosed(node) ? maxInFlight(node) : 1;
        return node.isActive && node.inFlight < limit && effectiveLoadLevel(node) < SATURATED_LEVEL;
    }

    /**
     * Opens the circuit, unless the part was sent before the last failure, and lowers the limit.
     */
    private void recordFailure(TransmissionState transmission) {
        DataNode node = transmission.node;
        if (node.lastFailureAt == null || !transmission.sentAt.before(node.lastFailureAt)) {
            openCircuit(node);
        }
        reduceLimit(transmission);
    }

    /** Counts a failure of the node and opens its circuit for a time. */
    private void openCircuit(DataNode node) {
        lastFailureAt = now;
        nodes.recordFailure(node);
        node.lastFailureAt = now;
        // Starts short and doubles with each consecutive failure: a stall mistaken for a failure
        // must not take a whole replica set out of use for long.
        Span openPeriod = overdueAfter.times(1 << Math.min(node.consecutiveFailures - 1, 8));
        node.circuitOpenUntil = now.plus(Span.shortest(MAX_CIRCUIT_OPEN, openPeriod));
    }

    /**
     * Lowers the node's concurrency limit, at most once per round trip: what was sent before the
     * last decrease tells nothing about the lowered limit.
     */
    private void reduceLimit(TransmissionState transmission) {
        DataNode node = transmission.node;
        if (node.limitReducedAt == null || !transmission.sentAt.before(node.limitReducedAt)) {
            node.concurrencyLimit = Math.max(1, node.concurrencyLimit * LIMIT_DECREASE_FACTOR);
            node.limitReducedAt = now;
        }
    }

    /**
     * Probes nodes whose open period is over, finds overdue transmissions, which lower the limit of
     * their node or count as its failures, and finds those that are due for a hedged copy or for a
     * retry at another node.
     */
    private void checkInFlight() {
        for (DataNode node : nodes.failing) {
            if (!now.before(node.circuitOpenUntil) && !node.probedAfterOpenPeriod()) {
                startProbe(node);
            }
        }
        for (TransmissionState transmission :
                wasPaused ? List.<TransmissionState>of() : new ArrayList<>(inFlight)) {
            Span age = now.since(transmission.sentAt);
            if (!transmission.isOverdue
                    && age.longerThan(overdueAfter.times(1 / capacityShare(transmission.node)))) {
                transmission.isOverdue = true;
                // A missing answer counts as a slow one, so that the limits follow when the whole
                // fleet becomes slow.
                transmissionTimes.add(now, age);
                if (transmission.node.lastTimelyAnswerAt == null
                        || transmission.node.lastTimelyAnswerAt.before(transmission.sentAt)) {
                    recordFailure(transmission);
                } else {
                    reduceLimit(transmission);
                }
            }
            RetryPolicy retryPolicy = transmission.part.multiget.retryPolicy;
            transmission.isHedgeDue =
                    isDue(transmission, age, retryPolicy.hedgeAfter(), transmission.isOverdue);
            transmission.part.multiget.mayHaveHedgeDue |= transmission.isHedgeDue;
            boolean hasAnsweredSince =
                    transmission.node.lastAnswerAt != null
                            && !transmission.node.lastAnswerAt.before(transmission.sentAt);
            // Without hedging, a retry throws away what the node has done so far. A node that still
            // answers other parts, however slowly, therefore gets twice the time.
            boolean adaptiveTimeout =
                    transmission.isOverdue
                            && !settings.permissions().hedgedCopies()
                            && age.longerThan(overdueAfter.times(hasAnsweredSince ? 2 : 1));
            if ((isDue(transmission, age, retryPolicy.timeout(), adaptiveTimeout)
                            || exceedsTimeShare(transmission, age))
                    && mayTransmit(transmission.part)
                    && hasAlternativeNode(transmission.part)) {
                withdrawTransmissions(transmission.part);
                transmission.hasTimedOut = transmission.isWithdrawn && retryPolicy != defaultPolicy;
            }
        }
    }

    /**
     * Whether the delay has passed since the transmission was sent; an adaptive delay has passed if
     * the router's own judgement, given by {@code adaptiveDue}, says so.
     */
    private boolean isDue(
            TransmissionState transmission, Span age, Delay delay, boolean adaptiveDue) {
        return switch (delay.kind()) {
            case ADAPTIVE -> adaptiveDue;
            case NEVER -> false;
            default -> !transmission.isWithdrawn && age.longerThan(resolve(delay));
        };
    }

    /** The delay as a time span, by recent measurements where it is relative. */
    private Span resolve(Delay delay) {
        return delay.capped(
                switch (delay.kind()) {
                    case MEDIAN_MULTIPLE -> medianTime.times(delay.value());
                    case PERCENTILE ->
                            transmissionTimes.quantile(now, delay.value(), 20, medianTime.times(3));
                    default -> Span.ofMillis(delay.value());
                });
    }

    /**
     * Whether the transmission has used up its share of the time that was left when it was sent.
     * The time counts up to the quoted time as long as that is ahead and before the client's
     * deadline, otherwise up to the deadline.
     */
    private boolean exceedsTimeShare(TransmissionState transmission, Span age) {
        Multiget multiget = transmission.part.multiget;
        Time goal =
                transmission.sentAt.before(multiget.quotedDeadline)
                                && multiget.quotedDeadline.before(multiget.deadline)
                        ? multiget.quotedDeadline
                        : multiget.deadline;
        return multiget.retryPolicy.timeShare() < 1
                && !transmission.isWithdrawn
                && age.longerThan(
                        goal.since(transmission.sentAt).times(multiget.retryPolicy.timeShare()));
    }

    /**
     * Whether enough time is left for a retry after the backoff, as the retry policy requires; if
     * not, the last transmission may use all the time that is left.
     */
    private boolean hasTimeForRetry(Part part) {
        Multiget multiget = part.multiget;
        Time nextStart =
                part.noRetryBefore == null || part.noRetryBefore.before(now)
                        ? now
                        : part.noRetryBefore;
        return nextStart
                .plus(resolve(multiget.retryPolicy.minTimeLeft()))
                .before(multiget.deadline);
    }

    /**
     * Whether the part's only transmission may be withdrawn in favour of another node. That throws
     * away the work done so far, so another node must be usable, ready and either idle or less
     * loaded, and the time must suffice for a retry.
     */
    private boolean hasAlternativeNode(Part part) {
        int currentLevel =
                effectiveLoadLevel(part.transmissions.get(part.transmissions.size() - 1).node);
        RetryPolicy retryPolicy = part.multiget.retryPolicy;
        Span neededTime =
                retryPolicy
                        .backoffAfter(part.transmissions.size(), 1)
                        .plus(resolve(retryPolicy.minTimeLeft()));
        return part.inFlight == 1
                && now.plus(neededTime).before(part.multiget.deadline)
                && nodes.holders(part).stream()
                        .anyMatch(
                                n ->
                                        circuitAllows(n)
                                                && isReady(n)
                                                && mayServe(n, part)
                                                && isKnownBelow(n, currentLevel));
    }

    /** The share of its full capacity that a node has in its warm-up (slow start); 1 afterwards. */
    private double capacityShare(DataNode node) {
        if (node.startedAt == null) {
            return 1;
        }
        double warmUpProgress =
                now.since(node.startedAt).millis() / settings.rules().warmUpSpan().millis();
        double initialShare = settings.rules().initialCapacityShare();
        return Math.min(1, initialShare + (1 - initialShare) * Math.max(0, warmUpProgress));
    }

    /**
     * Updates the peak of the mean work that a warm node received in an overload window. The value
     * is kept while no node is warm: a fleet that restarts as a whole would otherwise receive
     * nothing. It decays, because peaks that routers see at different times add up to more than the
     * nodes can take.
     */
    private void updatePeakWarmWork() {
        nodes.warmingUp.removeIf(n -> capacityShare(n) >= 1);
        long warmNodes =
                nodes.activeCount - nodes.warmingUp.stream().filter(n -> n.isActive).count();
        if (warmNodes > 0) {
            double decayed =
                    peakWarmWork
                            * (1 - checkInterval.millis() / settings.rules().warmUpSpan().millis());
            peakWarmWork =
                    Math.max(decayed, workToWarmNodes.sumWithoutOldest(now, 0) / 4 / warmNodes);
        }
    }

    /**
     * Records the end of a transmission. Of a second report for the same one, only the load counts.
     *
     * @param took time since it was sent, as the caller measured it
     * @param load the node's report of its load, or null
     */
    void transmissionEnded(
            TransmissionState transmission, TransmissionOutcome outcome, Span took, NodeLoad load) {
        recordLoadReport(transmission.node, load);
        if (!inFlight.remove(transmission)) {
            return;
        }
        transmission.ended(outcome);
        Multiget multiget = transmission.part.multiget;
        if (outcome != TransmissionOutcome.OK && multiget.retryPolicy.backoff().micros() > 0) {
            transmission.part.noRetryBefore =
                    now.plus(
                            multiget.retryPolicy.backoffAfter(
                                    transmission.part.transmissions.size(), random.nextDouble()));
        }
        if (outcome == TransmissionOutcome.NOT_SENT && transmission.number > 0) {
            multiget.retryPolicy.refundRetry(now, transmission.sentAt);
        }
        if (outcome == TransmissionOutcome.OK) {
            transmission.node.lastAnswerAt = now;
            transmission.node.lastInformationAt = now;
            transmission.node.consecutiveErrors = 0;
            transmission.node.probeLoadLevel = 0;
            recordSuccess(transmission, took);
            if (!multiget.hasEnded && !transmission.part.isAnswered) {
                multiget.partAnswered(transmission.part, transmission);
                withdrawTransmissions(transmission.part);
                if (isWhole(multiget)) {
                    answer(multiget);
                }
            }
        } else if (outcome != TransmissionOutcome.WITHDRAWN
                && outcome != TransmissionOutcome.NOT_SENT
                && outcome != TransmissionOutcome.TIMED_OUT) {
            recordFailure(transmission);
            transmission.node.consecutiveErrors++;
        }
    }

    /**
     * Takes back the answer of a transmission, which may not be sound: it is in flight again. Only
     * the answer that a part of the current step counts as its own can be taken back.
     *
     * @return whether the answer was taken back
     */
    boolean reopen(TransmissionState transmission) {
        Part part = transmission.part;
        Multiget multiget = part.multiget;
        if (multiget.hasEnded
                || part.answeredBy != transmission
                || part.index < multiget.firstPartOfStep) {
            return false;
        }
        multiget.partReopened(part);
        transmission.reopened();
        inFlight.add(transmission);
        return true;
    }

    /** Updates the node's circuit breaker and concurrency limit after an answer. */
    private void recordSuccess(TransmissionState transmission, Span took) {
        DataNode node = transmission.node;
        if (!transmission.isOverdue) {
            if (!wasPaused) {
                transmissionTimes.add(now, took);
            }
            node.lastTimelyAnswerAt = now;
            nodes.clearFailures(node);
        }
        partWork.add(now, transmission.part.multiget.product, took);
        // Answers are compared with the median too: where parts of a product simply take longer,
        // the limits of all nodes would otherwise sink to one.
        if (!wasPaused && took.longerThan(Span.longest(clientTime.times(0.13), medianTime))) {
            reduceLimit(transmission);
        } else if (node.inFlight + 1 >= maxInFlight(node)) {
            node.concurrencyLimit++;
        }
    }

    /** Whether the current step has all that a whole answer needs, and the step before it too. */
    private boolean isWhole(Multiget multiget) {
        return multiget.step == 1
                ? multiget.answeredWeight + WEIGHT_TOLERANCE
                        >= multiget.productSettings.wholeShare()
                : multiget.isFirstStepWhole && multiget.allAnswered();
    }

    /** Whether the parts that have arrived suffice for an answer, if only a partial one. */
    private boolean isAnswerable(Multiget multiget) {
        if (multiget.productSettings.leastShare() < multiget.productSettings.wholeShare()) {
            return multiget.answeredWeight + WEIGHT_TOLERANCE
                            >= multiget.productSettings.leastShare()
                    && multiget.parts.size() > multiget.firstPartOfStep;
        }
        return multiget.step == 1 ? isWhole(multiget) : multiget.allAnswered();
    }

    /**
     * Answers a multiget when its quoted time or its deadline is nearly over, and ends one that
     * cannot be answered in time at once: delaying that would only cost its client time.
     */
    private void endIfDue(Multiget multiget) {
        boolean isQuotedTimeOver = !now.before(multiget.quotedDeadline.minus(deadlineMargin));
        boolean isDeadlineNear = !now.before(multiget.deadline.minus(deadlineMargin));
        // Under congestion a multiget that has its least share does not wait for parts that are not
        // in flight.
        if ((isQuotedTimeOver || isDeadlineNear || isCongested && multiget.restIsWaiting())
                && isAnswerable(multiget)) {
            answer(multiget);
        } else if (isDeadlineNear) {
            giveUp(multiget);
        } else if (!isWorthFinishingLate(multiget)
                        && (isQuotedTimeOver
                                || multiget.firstSentAt == null
                                        && wouldMiss(multiget, multiget.quotedDeadline))
                || multiget.firstSentAt == null && wouldMiss(multiget, multiget.deadline)
                || canNoLongerSucceed(multiget)) {
            dismissOrGiveUp(multiget);
        }
    }

    /**
     * Whether to go on with a multiget past its quoted time. A started one goes on wherever a late
     * answer earns anything: its client would otherwise come back with the whole work to be done
     * again, and late too. One that has not started is not begun late under overload, nor where
     * failing late costs more than a late answer earns.
     */
    private boolean isWorthFinishingLate(Multiget multiget) {
        return multiget.productSettings.lateRevenue()
                > (multiget.firstSentAt != null
                        ? 0
                        : isOverloaded() ? 1 : settings.lateFailureCost());
    }

    /**
     * Whether the router is overloaded: parts wait for capacity, or at least three of its recent
     * multigets, and more than were answered, were ended early without an answer, which also shows
     * overload to a router with little traffic.
     */
    private boolean isOverloaded() {
        return isCongested
                || multigetEnds.sum(now, 1) >= 3
                        && multigetEnds.sum(now, 1) > multigetEnds.sum(now, 0);
    }

    /** Whether the parts that can still be answered are too few for any answer. */
    private boolean canNoLongerSucceed(Multiget multiget) {
        if (multiget.waitingParts == 0) {
            return false;
        }
        double reachableWeight = WEIGHT_TOLERANCE;
        boolean allReachable = true;
        for (Part part : multiget.stepParts()) {
            boolean isReachable =
                    part.isAnswered
                            || part.inFlight > 0
                            || mayTransmit(part)
                                    && (part.transmissions.isEmpty() || hasTimeForRetry(part));
            allReachable &= isReachable;
            reachableWeight += isReachable ? part.weight : 0;
        }
        return !allReachable
                && (multiget.productSettings.leastShare() < multiget.productSettings.wholeShare()
                        ? reachableWeight < multiget.productSettings.leastShare()
                        : multiget.step > 1
                                || reachableWeight < multiget.productSettings.wholeShare());
    }

    /**
     * Ends multigets when the number of open multigets and parts reaches its limit, beyond which
     * new multigets would be refused before the router sees them: those that earn least for the
     * work left go first. Started ones within their quoted time are kept.
     */
    private void shedLoad() {
        if (openCount < settings.permissions().maxOpen()) {
            return;
        }
        List<Multiget> candidates = new ArrayList<>(openMultigets);
        candidates.removeIf(
                multiget -> multiget.firstSentAt != null && now.before(multiget.quotedDeadline));
        candidates.forEach(
                multiget -> multiget.priority = priority(multiget, multiget.parts.size()));
        candidates.sort(Comparator.comparingDouble((Multiget multiget) -> multiget.priority));
        for (Multiget multiget : candidates) {
            int openCountWithout = openCount - 1 - multiget.parts.size();
            // A multiget within its quoted time is ended only if the limit would be reached even
            // without it: where the limit is only just reached, that would give up an accepted
            // multiget for one that may never come.
            if ((now.before(multiget.quotedDeadline) ? openCountWithout : openCount)
                    >= settings.permissions().maxOpen()) {
                dismissOrGiveUp(multiget);
            }
        }
    }

    /** Sends the answer of the current step, and ends the multiget unless a second step follows. */
    private void answer(Multiget multiget) {
        boolean isWhole = isWhole(multiget);
        port.answer(multiget, isWhole);
        // Partial answers are not recorded: they wait for the quoted time, and would make every
        // new multiget look too late.
        if (isWhole && multiget.firstSentAt != null && !wasPaused) {
            wholeAnswerTimes[multiget.product].add(now, now.since(multiget.firstSentAt));
        }
        if (multiget.nextAnswerIsFinal()) {
            multigetEnds.add(now, 0, 1);
            close(multiget);
        } else {
            multiget.parts.forEach(this::withdrawTransmissions);
            multiget.startNextStep(isWhole);
        }
    }

    /**
     * Ends a multiget without an answer. A dismissal tells the client that repeating the request is
     * harmless; where that is not proved, the multiget is given up instead.
     */
    private void dismissOrGiveUp(Multiget multiget) {
        multigetEnds.add(now, 1, 1);
        if (multiget.productSettings.effect() == Settings.Effect.REPEATABLE
                || multiget.parts.stream().allMatch(Part::provedNotRun)) {
            // Clients that come back during congestion add to it, so they are asked to wait for
            // the quoted time, or for the longest wait that clients observe if that is less.
            port.dismiss(
                    multiget,
                    Span.shortest(
                            isCongested ? multiget.productSettings.quotedTime() : medianTime,
                            settings.permissions().maxRetryAfter()));
            close(multiget);
        } else {
            giveUp(multiget);
        }
    }

    /** Ends a multiget without saying whether anything of it was run. */
    private void giveUp(Multiget multiget) {
        port.giveUp(multiget);
        close(multiget);
    }

    /** Removes a multiget that has its final answer or lost its client, and withdraws its parts. */
    void close(Multiget multiget) {
        multiget.hasEnded = true;
        openMultigets.remove(multiget);
        openCount -= 1 + multiget.parts.size();
        multiget.parts.forEach(this::withdrawTransmissions);
    }

    private void withdrawTransmissions(Part part) {
        for (TransmissionState transmission : part.transmissions) {
            if (transmission.isInFlight
                    && !transmission.isWithdrawn
                    && settings.permissions().withdrawals()) {
                transmission.isWithdrawn = true;
                port.withdraw(part.multiget, part.index, transmission.number);
            }
        }
    }

    /**
     * Whether the part may be sent now, or once more, by its product's effect and the limit of
     * transmissions per part. This rule holds for first transmissions, retries and hedged copies.
     */
    private boolean mayTransmit(Part part) {
        if (part.transmissions.isEmpty() || part.transmissions.size() >= maxTransmissions(part)) {
            return part.transmissions.isEmpty();
        }
        Settings.Product productSettings = part.multiget.productSettings;
        return productSettings.effect() == Settings.Effect.REPEATABLE
                || part.provedNotRun()
                || productSettings.effect() == Settings.Effect.TAGGED
                        && part.transmissions.stream()
                                .allMatch(
                                        t ->
                                                t.provedNotRun
                                                        || now.before(
                                                                t.sentAt
                                                                        .plus(
                                                                                productSettings
                                                                                        .dedupWindow())
                                                                        .minus(deadlineMargin)));
    }

    private int maxTransmissions(Part part) {
        return Math.min(
                part.multiget.retryPolicy.maxTransmissions(),
                settings.permissions().transmissionsPerPart());
    }

    /** Whether the budgets of the retry policy and of the site leave room for a retry. */
    private boolean budgetAllowsRetry(Part part) {
        Settings.Rules rules = settings.rules();
        return part.multiget.retryPolicy.budgetAllowsRetry(now)
                && (rules.retryBudgetWindow().micros() == 0
                        || retries.sum(now, 0) + 1
                                <= rules.freeRetries()
                                        + rules.retryShare() * accepted.sumWithoutOldest(now, 0));
    }

    /** The parts of the current step that are to be sent, or to be copied when hedging. */
    private List<Part> partsToSend(Multiget multiget, boolean hedging) {
        List<Part> selected = new ArrayList<>();
        for (Part part : multiget.stepParts()) {
            if (part.isAnswered
                    || part.isAssigned
                    || !mayTransmit(part)
                    || !part.transmissions.isEmpty()
                            && !(budgetAllowsRetry(part) && hasTimeForRetry(part))
                    || part.noRetryBefore != null && now.before(part.noRetryBefore)) {
                continue;
            }
            if (hedging
                    ? part.inFlight == 1
                            && part.transmissions.get(part.transmissions.size() - 1).isHedgeDue
                    : part.inFlight == 0) {
                selected.add(part);
            }
        }
        return selected;
    }

    /**
     * Expected revenue per part that is left to send, so that under load nearly finished and
     * valuable multigets go first.
     */
    private double priority(Multiget multiget, int partsToSend) {
        double work =
                settings.revenueScalesWithWork()
                        ? Math.max(multiget.totalWorkHint, multiget.parts.size())
                        : 1;
        double expectedShare =
                wouldMiss(multiget, multiget.deadline)
                        ? 0
                        : wouldMiss(multiget, multiget.quotedDeadline)
                                ? multiget.productSettings.lateRevenue()
                                : 1;
        return multiget.revenue * work * expectedShare / (partsToSend + 1);
    }

    /**
     * Sends parts of open multigets by priority, or hedged copies.
     *
     * @return whether parts are left that should have been sent
     */
    private boolean sendParts(boolean hedging) {
        List<Multiget> waiting = new ArrayList<>();
        for (Multiget multiget : openMultigets) {
            int partsToSend = hedging ? multiget.mayHaveHedgeDue ? 1 : 0 : multiget.waitingParts;
            if (partsToSend > 0) {
                multiget.priority = priority(multiget, partsToSend);
                waiting.add(multiget);
            }
        }
        waiting.sort(Comparator.comparingDouble((Multiget multiget) -> -multiget.priority));
        boolean partsLeft = false;
        for (Multiget multiget : waiting) {
            if (!hedging) {
                releaseUnsuitableAssignments(multiget);
            }
            List<Part> unsent = partsToSend(multiget, hedging);
            assignParts(unsent, false, hedging, Set.of());
            if (!hedging && mayStart(multiget, unsent)) {
                sendAssignments(multiget);
            }
            boolean isNearQuotedDeadline =
                    !now.plus(medianTime.times(2)).before(multiget.quotedDeadline);
            boolean isNotStarted = !isStarted(multiget);
            if (!hedging && isNearQuotedDeadline) {
                unsent.removeIf(this::hasUsableHolder);
                assignParts(unsent, true, hedging, Set.of());
            } else if (!hedging && isNotStarted) {
                // Parts that only failing nodes hold are tried first. This does not start the
                // multiget: its other parts wait, so that their work is not wasted.
                List<Part> failingParts =
                        unsent.stream().filter(this::hasOnlyFailingHolders).toList();
                assignParts(new ArrayList<>(failingParts), true, hedging, Set.of());
                unsent.removeIf(p -> p.inFlight > 0);
                multiget.firstSentAt = null;
            }
            // It is congestion when parts of a started multiget find no slot, or when no usable
            // node holds a part; multigets that have not started otherwise just wait.
            partsLeft |= unsent.stream().anyMatch(p -> !isNotStarted || !hasUsableHolder(p));
        }
        return partsLeft;
    }

    /**
     * Assigns parts of one multiget to nodes: repeatedly takes the node with the best score, which
     * is its coverage of the parts less a penalty for load and failures. First transmissions and
     * ordinary retries become tentative assignments; hedged copies and last-resort parts are sent
     * at once.
     *
     * @param unsent the parts; those that are assigned are removed
     * @param isLastResort whether nodes with an open circuit may be used, those with the fewest
     *     failures first
     */
    private void assignParts(
            List<Part> unsent, boolean isLastResort, boolean hedging, Set<Integer> excludedNodes) {
        List<DataNode> bestNodes = new ArrayList<>();
        List<DataNode> candidates = nodes.holders(unsent);
        candidates.removeIf(
                n ->
                        excludedNodes.contains(n.index)
                                || !isReady(n)
                                || !isLastResort && !circuitAllows(n)
                                || hedging && !isKnownBelow(n, SATURATED_LEVEL));
        candidates.forEach(n -> n.coveredParts = 0);
        unsent.forEach(part -> adjustCoverage(part, 1));
        while (!unsent.isEmpty()) {
            int bestScore = Integer.MIN_VALUE;
            bestNodes.clear();
            for (DataNode node : candidates) {
                int coverage = admissibleParts(node, unsent.get(0).multiget.product);
                int penalty =
                        effectiveLoadLevel(node)
                                + (circuitAllows(node)
                                        ? 0
                                        : node.consecutiveFailures * SATURATED_LEVEL * 2);
                // A node that admits a part by chance is preferred, since that permission ends with
                // the overload window. It draws little load: one part, from few of the routers.
                int score =
                        coverage
                                - penalty * (unsent.size() + 1)
                                + (node.isAdmittedByChance ? unsent.size() : 0);
                if (coverage > 0 && score >= bestScore) {
                    if (score > bestScore) {
                        bestNodes.clear();
                    }
                    bestScore = score;
                    bestNodes.add(node);
                }
            }
            if (bestNodes.isEmpty()) {
                return;
            }
            DataNode chosen = bestNodes.get(random.nextInt(bestNodes.size()));
            int admissible = admissibleParts(chosen, unsent.get(0).multiget.product);
            TentativeAssignment assignment =
                    isLastResort || hedging ? null : new TentativeAssignment(chosen);
            if (assignment != null) {
                unsent.get(0).multiget.assignments.add(assignment);
            }
            for (Iterator<Part> parts = unsent.iterator(); admissible > 0 && parts.hasNext(); ) {
                Part part = parts.next();
                if (mayServe(chosen, part)) {
                    admissible--;
                    parts.remove();
                    adjustCoverage(part, -1);
                    if (assignment != null) {
                        assignment.parts.add(part);
                        part.isAssigned = true;
                    } else {
                        transmit(part, chosen);
                    }
                }
            }
            if (assignment != null || !isReady(chosen) || admissible > 0) {
                candidates.remove(chosen);
            }
        }
    }

    /** Adds to the coverage of every node that may serve the part. */
    private void adjustCoverage(Part part, int delta) {
        for (DataNode node : nodes.holders(part)) {
            node.coveredParts += mayServe(node, part) ? delta : 0;
        }
    }

    /**
     * Whether a usable node holds the part, even if it is busy: waiting for it is better than
     * wasting a transmission on a node with an open circuit.
     */
    private boolean hasUsableHolder(Part part) {
        return nodes.holders(part).stream()
                .anyMatch(n -> n.isActive && circuitAllows(n) && mayServe(n, part));
    }

    /**
     * How many of the covered parts may go to the node now (slow start). A node in its warm-up may
     * receive, in an overload window, the peak work of a warm one times its share of capacity and
     * the overload factor, less a safety margin. An allowance of less than one part is granted by
     * chance, drawn once per window: in a site with many routers none of them could otherwise send
     * any, and the node would stay unused until the warm-up ends.
     */
    private int admissibleParts(DataNode node, int product) {
        node.isAdmittedByChance = false;
        if (capacityShare(node) >= 1) {
            return node.coveredParts;
        }
        double work = partWork.relativeWork(now, product, 10);
        double workPerWindow =
                capacityShare(node) * peakWarmWork * settings.rules().overloadFactor();
        node.isAdmittedByChance = workPerWindow * 0.75 < work;
        if (node.admissionDrawnAt == null
                || now.since(node.admissionDrawnAt).longerThan(settings.rules().overloadWindow())) {
            node.admissionDrawnAt = now;
            node.admissionDraw = random.nextDouble();
        }
        // Where chance decides, half of the work is allowed instead of three quarters: the sum of
        // the draws of many routers varies by several parts, and must stay within the limit.
        double workLeft =
                workPerWindow * (node.isAdmittedByChance ? 0.5 : 0.75)
                        - node.recentWork.sum(now, 0);
        return (int)
                Math.max(
                        0,
                        Math.min(
                                node.coveredParts,
                                workLeft / work
                                        + (node.isAdmittedByChance ? node.admissionDraw : 0)));
    }

    /**
     * Whether the node holds the part's shard and may get this transmission of it. The last
     * permitted transmission of a part is kept for a node without failures since its last timely
     * answer, and no node gets a part that is in flight or has timed out there.
     */
    private boolean mayServe(DataNode node, Part part) {
        Settings.Shards shards = settings.shards();
        if (Math.floorMod(node.cell - part.shard, shards.cells()) >= shards.cellsPerShard()) {
            return false;
        }
        // The budget is checked for each part, since parts that are assigned together use it up one
        // by one.
        return part.transmissions.isEmpty()
                || budgetAllowsRetry(part)
                        && (node.consecutiveFailures == 0
                                || part.transmissions.size() + 1 < maxTransmissions(part))
                        && part.transmissions.stream()
                                .noneMatch(t -> (t.isInFlight || t.hasTimedOut) && t.node == node);
    }

    private void transmit(Part part, DataNode node) {
        retries.add(now, 0, part.transmissions.isEmpty() ? 0 : 1);
        part.multiget.retryPolicy.recordSent(now, !part.transmissions.isEmpty());
        inFlight.add(new TransmissionState(part, node, now));
        double work = partWork.relativeWork(now, part.multiget.product, 10);
        if (capacityShare(node) < 1) {
            node.recentWork.add(now, 0, work);
        } else {
            workToWarmNodes.add(now, 0, work);
        }
        port.transmit(part.multiget, part.index, node.index, part.multiget.deadline.since(now));
    }
}
