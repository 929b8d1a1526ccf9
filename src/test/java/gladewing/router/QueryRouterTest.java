package gladewing.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Plays short sequences of events and compares the router's decisions with expected traces. Unless
 * a test says otherwise there are four cells, each shard is held by two of them, multigets have a
 * quoted time of 1 s and a time limit of 3 s, and nodes have no start time, hence no warm-up.
 */
class QueryRouterTest {
    private final Trace trace = new Trace();

    private static void answer(Multiget multiget, int part, int transmission, double tookMillis) {
        multiget.transmissionEnded(
                part, transmission, TransmissionOutcome.OK, Span.ofMillis(tookMillis), null);
    }

    private void failOnePart(int shard) {
        Multiget first = trace.accept(3000, shard);
        trace.advanceTo(1);
        first.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(1), null);
        first.clientLeft();
    }

    @Test
    void widestCoverageFirstAndTiesAtRandom() throws IOException {
        trace.start().nodes(0, 1, 1, 2, 3);
        trace.note("shards 0 1: the nodes of cell 1 hold both");
        for (int i = 0; i < 4; i++) {
            Multiget multiget = trace.accept(3000, 0, 1);
            trace.advanceTo(100 * i + 50);
            answer(multiget, 0, 0, 50);
            answer(multiget, 1, 0, 50);
        }
        trace.note("shards 0 1 2: one part is left for another node");
        trace.accept(3000, 0, 1, 2);
        trace.assertMatches("coverage");
    }

    @Test
    void partsWaitUntilANodeIsReady() throws IOException {
        trace.cellsPerShard = 1;
        trace.start().nodes(0);
        Multiget first = trace.accept(3000, 0);
        Multiget second = trace.accept(3000, 0);
        Multiget third = trace.accept(3000, 0);
        trace.advanceTo(60).note("one answer frees a slot, and the concurrency limit grows by one");
        answer(first, 0, 0, 60);
        trace.accept(3000, 0);
        trace.advanceTo(70)
                .note(
                        "an error opens the node's circuit: the part waits until the open"
                                + " period is over");
        second.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(70), null);
        trace.advanceTo(150).note("a later success");
        answer(third, 0, 0, 90);
        trace.assertMatches("waiting");
    }

    @Test
    void finalAnswerComesOnceAndInTime() throws IOException {
        trace.lateRevenue = 0.5;
        trace.start().nodes(0);
        trace.accept(1500, 0);
        trace.advanceTo(3000).note("no part is sent after the final answer");
        trace.assertMatches("final-answer");
    }

    /** A once-only part that may have run must not run a second time. */
    @Test
    void onceOnlyIsResentOnlyWhenProvedNotRun() throws IOException {
        trace.effect = Settings.Effect.ONCE_ONLY;
        trace.start().nodes(0, 1);
        Multiget multiget = trace.accept(3000, 0);
        trace.advanceTo(10).note("rejected before it ran: it may be sent again");
        multiget.transmissionEnded(0, 0, TransmissionOutcome.REJECTED, Span.ofMillis(10), null);
        trace.advanceTo(30)
                .note("reset: it may have run, so it is neither sent again nor dismissed");
        multiget.transmissionEnded(0, 1, TransmissionOutcome.RESET, Span.ofMillis(10), null);
        trace.advanceTo(2000);
        trace.assertMatches("once-only");
    }

    /**
     * Guards against an answer that counts although what comes behind it shows that it is spoilt:
     * the part is in flight again, and one that is once-only is then neither sent again nor
     * answered.
     */
    @Test
    void answerThatIsTakenBackDoesNotCount() throws IOException {
        trace.effect = Settings.Effect.ONCE_ONLY;
        trace.start().nodes(0, 1, 2);
        Multiget multiget = trace.accept(3000, 0, 2);
        trace.advanceTo(10).note("taken back, and then confirmed");
        answer(multiget, 0, 0, 10);
        assertTrue(multiget.reopen(0, 0));
        trace.advanceTo(20);
        answer(multiget, 1, 0, 20);
        trace.advanceTo(30);
        answer(multiget, 0, 0, 30);
        assertFalse(multiget.reopen(0, 0), "the multiget has its final answer");
        Multiget spoilt = trace.accept(3000, 0, 2);
        trace.advanceTo(40).note("taken back, and spoilt: it may have run");
        answer(spoilt, 0, 0, 10);
        assertTrue(spoilt.reopen(0, 0));
        assertFalse(spoilt.reopen(0, 0), "it is in flight");
        spoilt.transmissionEnded(0, 0, TransmissionOutcome.RESET, Span.ofMillis(10), null);
        trace.advanceTo(2000);
        trace.assertMatches("taken-back");
    }

    /** After the deduplication window a data node would run a repeated part a second time. */
    @Test
    void taggedIsResentOnlyWithinItsWindow() throws IOException {
        trace.effect = Settings.Effect.TAGGED;
        trace.start().nodes(0, 1);
        Multiget early = trace.accept(3000, 0);
        trace.advanceTo(100);
        early.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(100), null);
        trace.advanceTo(150)
                .note(
                        "within the window it was sent again; now one that fails after the"
                                + " window's end");
        answer(early, 0, 1, 50);
        Multiget late = trace.accept(3000, 2);
        trace.nodes(0, 1, 2);
        trace.advanceTo(850);
        late.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(700), null);
        trace.advanceTo(1000);
        trace.assertMatches("tagged");
    }

    @Test
    void noPartGoesToADrainingOrRemovedNode() throws IOException {
        trace.start().nodes(0, 1);
        trace.router().nodeListed(1, 1, null, true);
        trace.accept(3000, 0);
        trace.advanceTo(20).note("node 0 is gone: the part waits for node 2");
        trace.router().nodeRemoved(0);
        trace.accept(3000, 0);
        trace.advanceTo(40);
        trace.router().nodeListed(2, 1, null, false);
        trace.assertMatches("drain");
    }

    /** A node that has just started is overloaded by the traffic of a warm one. */
    @Test
    void nodeInWarmUpGetsOnlyItsShare() throws IOException {
        trace.cellsPerShard = 1;
        trace.start().nodes(0, 0);
        trace.note("node 1 is in its warm-up, at a fifth of its capacity");
        trace.router().nodeListed(1, 0, Time.ofMillis(1), false);
        for (int i = 0; i < 40; i++) {
            Multiget multiget = trace.accept(3000, 0);
            trace.advanceTo(100 * i + 50);
            answer(multiget, 0, 0, 50);
        }
        trace.assertMatches("warm-up");
    }

    /** Without a warm node to compare with, a fleet that restarts as a whole must not go unused. */
    @Test
    void fleetThatRestartsAsAWholeIsUsedWithinItsWarmUpShare() throws IOException {
        trace.cellsPerShard = 1;
        trace.start().nodes(0);
        for (int at = 0; at < 3000; at += 50) {
            Multiget multiget = trace.accept(3000, 0);
            trace.advanceTo(at + 50);
            answer(multiget, 0, 0, 50);
        }
        trace.advanceTo(3000).note("the only node restarts");
        trace.router().nodeListed(0, 0, Time.ofMillis(3000), false);
        for (int at = 3000; at < 4000; at += 50) {
            trace.accept(3000, 0);
            trace.advanceTo(at + 50);
        }
        trace.assertMatches("warm-up-whole-fleet");
    }

    @Test
    void partialAnswersAreMarkedAndComeAtTheQuotedTime() throws IOException {
        trace.leastShare = 0.5;
        trace.start().nodes(0, 2);
        Multiget multiget = trace.accept(3000, 0, 2);
        trace.advanceTo(50);
        answer(multiget, 0, 0, 50);
        trace.advanceTo(1100);
        trace.assertMatches("partial");
    }

    @Test
    void retriesKeepToTheBudget() throws IOException {
        trace.retryBudgetWindow = Span.ofMillis(10_000);
        trace.freeRetries = 1;
        trace.start().nodes(0, 1);
        Multiget a = trace.accept(3000, 0);
        Multiget b = trace.accept(3000, 0);
        trace.advanceTo(10).note("both fail, and one may be sent again");
        a.transmissionEnded(0, 0, TransmissionOutcome.REJECTED, Span.ofMillis(10), null);
        b.transmissionEnded(0, 0, TransmissionOutcome.REJECTED, Span.ofMillis(10), null);
        trace.advanceTo(1200);
        trace.assertMatches("budget");
    }

    @Test
    void silentNodeIsAvoidedAndTriedAgain() throws IOException {
        trace.start().nodes(0, 1);
        trace.nodes(0, 1);
        Multiget multiget = trace.accept(3000, 0);
        trace.advanceTo(400)
                .note(
                        "no answer: a hedged copy went to the other node, and its answer"
                                + " ends the first");
        answer(multiget, 0, 1, 50);
        trace.advanceTo(410);
        multiget.transmissionEnded(0, 0, TransmissionOutcome.WITHDRAWN, Span.ofMillis(410), null);
        for (int i = 0; i < 8; i++) {
            Multiget next = trace.accept(3000, 0);
            trace.advanceTo(450 + 100 * i);
            answer(next, 0, 0, 50);
        }
        trace.assertMatches("silent-node");
    }

    /** Where the site forbids second copies, two transmissions of a part must never overlap. */
    @Test
    void withoutHedgingTheFirstTransmissionEndsBeforeTheRetry() throws IOException {
        trace.hedgedCopies = false;
        trace.start().nodes(0, 1);
        Multiget multiget = trace.accept(3000, 0);
        trace.advanceTo(400).note("withdrawn; once it has ended, the part goes to the other node");
        multiget.transmissionEnded(0, 0, TransmissionOutcome.WITHDRAWN, Span.ofMillis(400), null);
        trace.assertMatches("no-hedging");
    }

    @Test
    void requestsToAFailingListServiceBackOff() throws IOException {
        trace.listIsPolled = true;
        trace.start().nodes(0);
        for (int at = 100; at <= 20_000; at += 100) {
            trace.advanceTo(at);
            if (at == 100 || at == 1000 || at == 3000 || at == 6000 || at == 10_000) {
                trace.note("failed");
                trace.router().nodeListFailed();
            }
        }
        trace.assertMatches("list-down");
    }

    @Test
    void multigetThatCannotBeInTimeIsDismissedAtOnce() throws IOException {
        trace.cellsPerShard = 1;
        trace.maxOpen = 12;
        trace.start().nodes(0);
        for (int i = 0; i < 9; i++) {
            trace.accept(3000, 0);
        }
        trace.note(
                "above the limit some are dismissed at once, the others when it is"
                        + " too late for them");
        trace.advanceTo(1100);
        trace.assertMatches("overload");
    }

    @Test
    void nodeWithOccasionalErrorsIsUsedUnderCongestion() throws IOException {
        trace.cellsPerShard = 1;
        trace.start().nodes(0, 0);
        for (int i = 0; i < 4; i++) {
            trace.accept(3000, 0);
        }
        trace.advanceTo(20)
                .note(
                        "node 0 is full; node 1 fails after a success, yet gets the waiting"
                                + " part at once");
        answer(trace.multiget(0), 0, 0, 20);
        trace.advanceTo(25);
        trace.multiget(1)
                .transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(25), null);
        trace.advanceTo(60);
        trace.assertMatches("congestion-errors");
    }

    @Test
    void leastShareIsAnsweredAtOnceUnderCongestion() throws IOException {
        trace.leastShare = 0.5;
        trace.start().nodes(0);
        Multiget multiget = trace.accept(3000, 0, 2);
        trace.advanceTo(50).note("no node holds shard 2, so its part waits");
        answer(multiget, 0, 0, 50);
        trace.assertMatches("congestion-partial");
    }

    @Test
    void multigetWithTooLittleTimeIsNotStarted() throws IOException {
        trace.start().nodes(0);
        trace.accept(60, 0);
        trace.accept(600, 0);
        trace.assertMatches("too-little-time");
    }

    /** No multiget is to be spent on a trial of a node whose process is not there. */
    @Test
    void refusedProbePostponesTheTrial() throws IOException {
        trace.cellsPerShard = 1;
        trace.probes = true;
        trace.start().nodes(0);
        Multiget multiget = trace.accept(3000, 0);
        trace.advanceTo(50);
        multiget.transmissionEnded(
                0, 0, TransmissionOutcome.NOT_CONNECTED, Span.ofMillis(50), null);
        trace.advanceTo(360).note("the open period is over, and the probe was refused");
        trace.router().probeEnded(0, TransmissionOutcome.NOT_CONNECTED, null);
        trace.advanceTo(700)
                .note(
                        "still waiting; after a successful probe the part would have been"
                                + " sent at 350");
        trace.assertMatches("refused-probe");
    }

    @Test
    void nodeThatReportsHighLoadIsAvoided() throws IOException {
        trace.cellsPerShard = 1;
        trace.probes = true;
        trace.start().nodes(0, 0, 0);
        failOnePart(0);
        trace.note(
                "something fails: from now on the chosen node is probed before"
                        + " parts go to it");
        for (int at = 5; at < 1800; at += 300) {
            Multiget multiget = trace.accept(3000, 0, 0);
            for (int probeAnswerAt = 5; probeAnswerAt < 20; probeAnswerAt += 5) {
                trace.advanceTo(at + probeAnswerAt);
                for (int node = 0; node < 3; node++) {
                    double queuedParts = node == 0 ? 12 : 0;
                    NodeLoad load = new NodeLoad(queuedParts, Double.NaN, 100, Double.NaN, 0.5);
                    trace.router().probeEnded(node, TransmissionOutcome.OK, load);
                }
            }
            trace.advanceTo(at + 300);
            answer(multiget, 0, 0, 250);
            answer(multiget, 1, 0, 250);
        }
        trace.assertMatches("load-report");
    }

    /**
     * A late answer earns no more than failing late costs. A started multiget still goes on, since
     * its client would otherwise repeat all of it; one that has not started is not begun late.
     */
    @Test
    void startedMultigetGoesOnPastItsQuotedTime() throws IOException {
        trace.lateRevenue = 0.1;
        trace.lateFailureCost = 0.1;
        trace.start().nodes(0, 1, 2, 3);
        Multiget started = trace.accept(3000, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1);
        trace.advanceTo(50);
        for (int part = 0; part < 9; part++) {
            answer(started, part, 0, 50);
        }
        trace.router().nodeListed(0, 0, null, true);
        trace.router().nodeListed(1, 1, null, true);
        trace.router().nodeListed(3, 3, null, true);
        trace.accept(3000, 0);
        trace.advanceTo(1200)
                .note(
                        "nine of ten parts are answered, and nothing of the other multiget"
                                + " is sent");
        answer(started, 9, 0, 1200);
        trace.assertMatches("late-started");
    }

    /**
     * Ending a started multiget under congestion would bring its client back, and all the work
     * would be done again.
     */
    @Test
    void startedMultigetGoesOnUnderCongestion() throws IOException {
        trace.lateRevenue = 0.3;
        trace.cellsPerShard = 1;
        trace.start().nodes(0, 1, 2, 3);
        Multiget nearlyAnswered = trace.accept(3000, 0, 1, 2, 3);
        Multiget barelyAnswered = trace.accept(3000, 0, 1, 2, 3);
        trace.accept(3000, 0);
        trace.advanceTo(50).note("node 0 has no free slot, and a part waits: congestion");
        for (int part = 1; part < 4; part++) {
            answer(nearlyAnswered, part, 0, 50);
        }
        answer(barelyAnswered, 1, 0, 50);
        trace.advanceTo(900);
        trace.accept(3000, 0, 1);
        trace.advanceTo(1200).note("three of four parts are answered, and one of four");
        answer(nearlyAnswered, 0, 0, 1200);
        trace.assertMatches("congestion-started");
    }

    /**
     * Guards against a storm of probes: under congestion a hundred routers each hold multigets that
     * may not start, and each probed the nodes for them every tenth of a quoted time.
     */
    @Test
    void multigetThatMayNotStartSendsNoFurtherProbes() throws IOException {
        trace.cellsPerShard = 1;
        trace.probes = true;
        trace.start().nodes(0, 1);
        failOnePart(0);
        trace.advanceTo(330)
                .note("one node reports no queued parts and one eleven, whenever it is probed");
        for (int at = 330; at < 1200; at += 5) {
            trace.advanceTo(at);
            if (at == 330) {
                trace.accept(3000, 0, 1);
            }
            for (int node = 0; node < 2; node++) {
                NodeLoad load = new NodeLoad(11 * node, Double.NaN, 100, Double.NaN, 0.5);
                trace.router().probeEnded(node, TransmissionOutcome.OK, load);
            }
        }
        trace.assertMatches("waiting-probes");
    }

    /** The work on the first parts would be wasted if another part cannot be served. */
    @Test
    void multigetIsNotStartedWhileAPartHasOnlyBusyHolders() throws IOException {
        trace.cellsPerShard = 1;
        trace.probes = true;
        trace.start().nodes(0, 1);
        failOnePart(0);
        trace.advanceTo(330)
                .note(
                        "the failed node answers its probe; the other one reports eleven"
                                + " queued parts");
        trace.router()
                .probeEnded(
                        0,
                        TransmissionOutcome.OK,
                        new NodeLoad(0, Double.NaN, 100, Double.NaN, 0.5));
        trace.accept(3000, 0, 1);
        trace.advanceTo(335);
        trace.router()
                .probeEnded(
                        1,
                        TransmissionOutcome.OK,
                        new NodeLoad(11, Double.NaN, 100, Double.NaN, 0.5));
        trace.advanceTo(1200);
        trace.multiget(1).clientLeft();
        trace.advanceTo(1400)
                .note(
                        "the report is a quoted time old: the node is probed again, reports"
                                + " none, and both parts go");
        trace.accept(3000, 0, 1);
        trace.advanceTo(1405);
        trace.router()
                .probeEnded(
                        0,
                        TransmissionOutcome.OK,
                        new NodeLoad(0, Double.NaN, 100, Double.NaN, 0.5));
        trace.router()
                .probeEnded(
                        1,
                        TransmissionOutcome.OK,
                        new NodeLoad(0, Double.NaN, 100, Double.NaN, 0.5));
        trace.advanceTo(1410);
        trace.assertMatches("busy-holders");
    }

    /** A node must not be avoided for ever because of one rejected probe. */
    @Test
    void rejectedProbeCountsForOneQuotedTimeOnly() throws IOException {
        trace.cellsPerShard = 1;
        trace.probes = true;
        trace.start().nodes(0, 1);
        failOnePart(1);
        trace.accept(3000, 0);
        trace.advanceTo(5).note("node 0 rejects its probe: the part waits");
        trace.router().probeEnded(0, TransmissionOutcome.REJECTED, null);
        trace.advanceTo(1010);
        trace.accept(3000, 0);
        trace.advanceTo(1015).note("a quoted time later it is probed again, and has capacity");
        trace.router().probeEnded(0, TransmissionOutcome.OK, null);
        trace.advanceTo(1020);
        trace.assertMatches("rejected-probe");
    }

    /** After a pause of its own process, a router must not take healthy nodes for failed ones. */
    @Test
    void answersLateByAPauseOfTheRouterAreNoFailures() throws IOException {
        trace.cellsPerShard = 1;
        trace.start().nodes(0, 0);
        Multiget multiget = trace.accept(3000, 0);
        trace.accept(3000, 0);
        trace.pauseTo(700)
                .note("700 ms without a turn: one answer waits, the other part is not yet overdue");
        answer(multiget, 0, 0, 700);
        trace.advanceTo(730)
                .note("overdue one check interval later, by then by the node's own fault");
        trace.assertMatches("router-pause");
    }

    /** The quoted time of a retry counts from the client's first try, whose time is unknown. */
    @Test
    void ageOfAClientRetryIsEstimatedFromTheTimeLeft() throws IOException {
        trace.start().nodes(0);
        for (int at = 0; at < 200; at += 50) {
            Multiget multiget = trace.accept(2100, 0);
            trace.advanceTo(at + 50);
            answer(multiget, 0, 0, 50);
        }
        trace.note(
                "a first try has 2100 of 3000 ms left, so a retry is 900 ms old:"
                        + " 100 ms of its quoted time are left");
        trace.acceptRetry(2100, 0);
        trace.advanceTo(300);
        trace.note("a retry with 1500 of 3000 ms left comes too late");
        trace.acceptRetry(1500, 0);
        trace.assertMatches("client-retry");
    }

    /** Guards against checking the budget once for all parts that one node is assigned. */
    @Test
    void partsRetriedTogetherKeepToTheBudget() throws IOException {
        trace.retryBudgetWindow = Span.ofMillis(10_000);
        trace.freeRetries = 1;
        trace.start().nodes(0, 1);
        Multiget multiget = trace.accept(3000, 0, 0, 0);
        trace.advanceTo(10).note("all three fail, and one may be sent again");
        for (int part = 0; part < 3; part++) {
            multiget.transmissionEnded(
                    part, 0, TransmissionOutcome.REJECTED, Span.ofMillis(10), null);
        }
        trace.advanceTo(500);
        trace.assertMatches("budget-together");
    }

    /** Answers of the other parts would be wasted if the failing node cannot serve its part. */
    @Test
    void partHeldOnlyByAFailingNodeIsTriedFirst() throws IOException {
        trace.cells = 2;
        trace.cellsPerShard = 1;
        trace.transmissionsPerPart = 6;
        trace.start().nodes(0, 1);
        Multiget first = trace.accept(3000, 0);
        trace.advanceTo(10);
        first.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(10), null);
        trace.advanceTo(11)
                .note(
                        "the only holder of shard 0 fails: it is tried at once, and the"
                                + " other part waits for it");
        Multiget multiget = trace.accept(3000, 0, 1);
        trace.advanceTo(20);
        multiget.transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(5), null);
        trace.advanceTo(30);
        multiget.transmissionEnded(0, 1, TransmissionOutcome.OK, Span.ofMillis(5), null);
        trace.advanceTo(40);
        first.clientLeft();
        multiget.clientLeft();
        trace.assertMatches("failing-holder");
    }

    /**
     * A node that fails at once frees its slots at once and would attract all the waiting parts.
     */
    @Test
    void nodeThatOnlyFailsIsNotUsedUnderCongestion() throws IOException {
        trace.cells = 1;
        trace.cellsPerShard = 1;
        trace.start().nodes(0);
        Multiget[] all = new Multiget[12];
        for (int i = 0; i < all.length; i++) {
            all[i] = trace.accept(3000, 0);
        }
        trace.advanceTo(20);
        answer(all[0], 0, 0, 20);
        trace.advanceTo(21)
                .note(
                        "answered just now, and parts wait: under congestion it is used"
                                + " through two consecutive errors, not more");
        for (int i = 1; i < 6; i++) {
            if (all[i].transmissionCount(0) > 0) {
                all[i].transmissionEnded(0, 0, TransmissionOutcome.ERROR, Span.ofMillis(1), null);
            }
            trace.advanceTo(21 + i);
        }
        trace.assertMatches("congestion-only-errors");
    }
}
