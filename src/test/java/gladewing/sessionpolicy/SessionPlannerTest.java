package gladewing.sessionpolicy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

class SessionPlannerTest {
    /**
     * A random event. The action is chosen by the first number, its target among the current nodes
     * or sessions by the other two.
     */
    private record Step(int action, int a, int b, long span) {}

    private static List<Step> randomHistory(long seed, int steps) {
        Random random = new Random(seed);
        List<Step> history = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            history.add(
                    new Step(
                            random.nextInt(100),
                            random.nextInt(1000),
                            random.nextInt(1000),
                            random.nextInt(20) == 0 ? 3_000_000 : 1000 + random.nextInt(60_000)));
        }
        return history;
    }

    private static SessionSimulation replay(long seed, List<Step> history) {
        SessionSimulation simulation =
                new SessionSimulation(seed, SessionSimulation.settings(40, 20, 2));
        for (int i = 0; i < 2 * SessionSimulation.CELLS; i++) {
            simulation.addNode(i % SessionSimulation.CELLS, false);
        }
        for (Step step : history) {
            List<SessionSimulation.Node> nodes = new ArrayList<>(simulation.nodes.values());
            SessionSimulation.Node node = nodes.isEmpty() ? null : nodes.get(step.a % nodes.size());
            if (step.action < 40) {
                int[] shards =
                        step.b % 3 == 0
                                ? new int[] {step.a % 3}
                                : step.b % 3 == 1 ? new int[] {0, 1} : new int[] {2, 0, 1};
                simulation.requestSession(step.b % 5, shards);
            } else if (step.action < 60 && !simulation.openSessions.isEmpty()) {
                simulation.leaveSession(
                        simulation.openSessions.get(step.a % simulation.openSessions.size()));
            } else if (step.action < 70 && node != null) {
                simulation.startDrain(node);
            } else if (step.action < 80 && node != null && (node.isDead || node.drainedAt >= 0)) {
                simulation.removeFromList(node);
            } else if (step.action < 83 && node != null) {
                simulation.killNode(node);
            } else if (step.action < 95 && nodes.size() < 12) {
                simulation.addNode(step.a % SessionSimulation.CELLS, step.b % 2 == 0);
            }
            simulation.step(step.span);
        }
        return simulation;
    }

    /**
     * Checks the invariants of {@link SessionSimulation} over more than 100,000 random events. A
     * history that fails is shortened and printed.
     */
    @Test
    void invariantsHoldOverRandomHistories() {
        int accepted = 0;
        int moves = 0;
        int closed = 0;
        for (long seed = 0; seed < 250; seed++) {
            List<Step> history = randomHistory(seed, 420);
            long failingSeed = seed;
            try {
                SessionSimulation simulation = replay(seed, history);
                accepted += simulation.acceptedCount;
                moves += simulation.moveCount;
                closed += simulation.closedCount;
            } catch (AssertionError broken) {
                List<Step> shortest = shortest(history, h -> fails(failingSeed, h));
                fail("seed " + seed + ": " + broken.getMessage() + " after " + shortest);
            }
        }
        assertTrue(
                accepted > 3_000 && moves > 2_000 && closed > 100,
                accepted + " " + moves + " " + closed);
    }

    private static boolean fails(long seed, List<Step> history) {
        try {
            replay(seed, history);
            return false;
        } catch (AssertionError broken) {
            return true;
        }
    }

    /**
     * Shortens a failing history by removing ever smaller parts that are not needed for the
     * failure.
     */
    private static List<Step> shortest(List<Step> history, Predicate<List<Step>> fails) {
        List<Step> best = history;
        for (int piece = best.size() / 2; piece > 0; piece /= 2) {
            for (int from = 0; from + piece <= best.size(); ) {
                List<Step> without = new ArrayList<>(best.subList(0, from));
                without.addAll(best.subList(from + piece, best.size()));
                if (fails.test(without)) {
                    best = without;
                } else {
                    from += piece;
                }
            }
        }
        return best;
    }

    /**
     * A deploy that replaces 20 of 21 nodes within 40 s, with 2,000 open sessions, must not close
     * any session, and must move few sessions twice.
     */
    @Test
    void closesNoSessionWhenADeployReplacesNearlyAllNodes() {
        SessionSimulation simulation =
                new SessionSimulation(5, SessionSimulation.settings(4000, 200, 2));
        List<SessionSimulation.Node> old = new ArrayList<>();
        for (int i = 0; i < 21; i++) {
            old.add(simulation.addNode(i % SessionSimulation.CELLS, false));
        }
        for (int i = 0; i < 2000; i++) {
            simulation.requestSession(i % 7, i % 3);
            simulation.step(10_000);
        }
        for (int i = 0; i < 200; i++) {
            simulation.step(10_000);
        }
        assertEquals(2000, simulation.acceptedCount);
        for (SessionSimulation.Node node : old.subList(0, 20)) {
            simulation.addNode(node.cell, true);
            for (int i = 0; i < 200; i++) {
                simulation.step(10_000);
                if (i == 100) {
                    simulation.startDrain(node);
                }
            }
        }
        for (int i = 0; i < 600; i++) {
            simulation.step(10_000);
        }
        assertEquals(0, simulation.closedCount);
        assertEquals(2000, simulation.planner.sessionCount());
        // Some sessions must move to a node that drains later. They are few, as such nodes are
        // avoided while there is time.
        assertTrue(simulation.moveCount < 2600, "" + simulation.moveCount);
    }

    /**
     * After a stall of the router, pending input is handled before the next tick. Nothing may be
     * sent in response to it once the drain grace of the node is over.
     */
    @Test
    void sendsNothingAfterTheDrainGraceBeforeTheNextTick() {
        SessionSimulation simulation =
                new SessionSimulation(3, SessionSimulation.settings(10, 100, 1));
        SessionSimulation.Node node = simulation.addNode(0, false);
        Session session = simulation.requestSession(0, 0);
        simulation.step(10_000);
        simulation.step(100_000);
        UpstreamConnection connection = session.sendTarget(0);
        simulation.startDrain(node);
        assertTrue(
                simulation.planner.maySend(
                        connection, simulation.now + SessionSimulation.GRACE / 2));
        assertTrue(
                connection.canSend()
                        && !simulation.planner.maySend(
                                connection, simulation.now + SessionSimulation.GRACE));
    }

    /**
     * Guards against a leg that begins to send while an earlier one of its shard is still up: that
     * one was replaced for this shard, and goes on for another. Messages would lose their order,
     * and those of the new leg be told as lost when the old one ends.
     */
    @Test
    void waitsForAllEarlierConnectionsOfAShard() {
        PlannerScript script = new PlannerScript("a", "a");
        Session session = script.planner.requestSession(0, 0, 1, new int[] {0, 1}, 0);
        script.openNext();
        assertEquals("[a]", script.started.toString());
        script.selected = new String[] {"b", null};
        script.drain("a");
        script.openNext();
        script.selected = new String[] {"c", null};
        script.drain("b");
        script.openNext();
        assertTrue(session.isOpen());
        assertEquals("[b]", script.closed.toString());
        script.end("b");
        assertEquals("[a]", script.started.toString(), "a is still up, and was sent to");
        script.end("a");
        assertEquals("[a, c]", script.started.toString());
    }

    /** A shutdown must spread the closes evenly, so that clients do not all reconnect at once. */
    @Test
    void spreadsClosesOverTheShutdownTime() {
        SessionSimulation simulation =
                new SessionSimulation(1, SessionSimulation.settings(400, 2000, 1));
        for (int i = 0; i < 3; i++) {
            simulation.addNode(i, false);
        }
        for (int i = 0; i < 100; i++) {
            simulation.requestSession(i, i % 3);
            simulation.step(20_000);
        }
        simulation.step(60_000);
        assertEquals(100, simulation.acceptedCount);
        simulation.planner.startShutdown(simulation.now, simulation.now + 1_000_000);
        for (int i = 1; i <= 10; i++) {
            simulation.step(100_000);
            assertEquals(10 * i, simulation.closedCount, 1);
        }
        simulation.requestSession(0, 0);
        assertEquals(1, simulation.refusedCount);
    }

    /**
     * New settings must leave open sessions alone, and a connection that ends must remove from its
     * node the load that it added, even if the setting has changed since.
     */
    @Test
    void newSettingsApplyToLaterSessionsOnly() {
        SessionSimulation simulation =
                new SessionSimulation(2, SessionSimulation.settings(10, 100, 1));
        SessionSimulation.Node node = simulation.addNode(0, false);
        for (int i = 0; i < 3; i++) {
            simulation.requestSession(i, 0);
            simulation.step(100_000);
        }
        simulation.step(100_000);
        simulation.step(100_000);
        assertEquals(3, simulation.acceptedCount);
        SessionSettings settings = SessionSimulation.settings(2, 100, 1);
        simulation.planner.updateSettings(
                new SessionSettings(
                        settings.maxSessions(),
                        settings.maxSessionsPerTenant(),
                        settings.maxConnectionsPerNode(),
                        settings.maxConnections(),
                        settings.handshakesPerSecond(),
                        0.5,
                        settings.maxBufferedBytes(),
                        settings.maxTotalBufferedBytes(),
                        settings.maxMessageBytes(),
                        settings.openTimeout(),
                        settings.maxParkedTime(),
                        settings.maxReconnectDelay(),
                        settings.closeTimeout(),
                        settings.idleTimeout(),
                        settings.maxOpenAttempts(),
                        settings.retriesPerSecond(),
                        settings.retryBackoff(),
                        settings.drainGrace(),
                        settings.initialCapacityShare(),
                        settings.warmUpSpan(),
                        settings.routerCount()));
        simulation.requestSession(4, 0);
        assertEquals(1, simulation.refusedCount);
        assertEquals(3, simulation.acceptedCount);
        assertEquals(0.3, node.weight, 1e-9);
        simulation.killNode(node);
        assertEquals(0, node.weight, 1e-9);
    }

    /**
     * A session beyond a limit must be refused before any connection is opened, and one that gets
     * no node must be refused in time.
     */
    @Test
    void refusesSessionsBeyondALimitAtOnce() {
        SessionSimulation simulation =
                new SessionSimulation(2, SessionSimulation.settings(10, 100, 1));
        for (int i = 0; i < 3; i++) {
            simulation.addNode(i, false);
        }
        for (int i = 0; i < 8; i++) {
            simulation.requestSession(1, 0);
        }
        assertEquals(3, simulation.refusedCount);
        for (int i = 0; i < 8; i++) {
            simulation.requestSession(i + 2, 1);
        }
        assertEquals(6, simulation.refusedCount);
        simulation.nodes.values().forEach(simulation::startDrain);
        for (int i = 0; i < 400; i++) {
            simulation.step(10_000);
        }
        assertEquals(16, simulation.refusedCount);
        assertEquals(0, simulation.planner.sessionCount());
    }
}
