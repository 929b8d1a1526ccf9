package gladewing.benchmarks;

import gladewing.sessionpolicy.NodeSelector;
import gladewing.sessionpolicy.Session;
import gladewing.sessionpolicy.SessionActions;
import gladewing.sessionpolicy.SessionPlanner;
import gladewing.sessionpolicy.SessionSettings;
import gladewing.sessionpolicy.UpstreamConnection;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A deploy that replaces 19 of 20 nodes under the plan, and under two baselines: all sessions of a
 * draining node are closed at once and their clients come back within a second; or all are moved at
 * once. Fresh nodes fall over for 3 s, with all their legs, where more handshakes come in a second
 * than their warmth bears. Virtual time, one router.
 */
public final class DeployModel {
    private enum Way {
        PLAN,
        MOVE_ALL,
        CLOSE_ALL
    }

    private static final int NODES = 20;
    private static final int CELLS = 4;
    private static final double WARM = 400;
    private static final double COLD_SHARE = 0.2;
    private static final long COLD_SPAN = 18_000_000;
    private static final long DOWN = 3_000_000;
    private static final long STEP = 10_000;

    private static final class Node {
        final String id;
        final int cell;
        final long startedAt;
        boolean listed = true;
        long downUntil;
        final ArrayList<Long> handshakes = new ArrayList<>();

        Node(String id, int cell, long startedAt) {
            this.id = id;
            this.cell = cell;
            this.startedAt = startedAt;
        }

        double bears(long now) {
            double age = startedAt < 0 ? 1 : (now - startedAt) / (double) COLD_SPAN;
            return WARM * Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * age);
        }
    }

    private record Event(long at, long order, Runnable what) {}

    private final Way way;
    private final Random random = new Random(9);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final Map<UpstreamConnection, Boolean> legs = new LinkedHashMap<>();
    private final List<Session> open = new ArrayList<>();
    private final SessionPlanner plan;
    private long now = 1_000_000;
    private long order;
    private int fallen;
    private int abrupt;
    private int moves;
    private int closes;
    private int refused;

    private DeployModel(Way way, int sessions) {
        this.way = way;
        SessionSettings settings =
                new SessionSettings(
                        2 * sessions,
                        2 * sessions,
                        2 * sessions,
                        4 * sessions,
                        way == Way.PLAN ? WARM : 1e9,
                        0.001,
                        65_536,
                        1 << 20,
                        16_384,
                        3_000_000,
                        10_000_000,
                        1_000_000,
                        1_000_000,
                        30_000_000,
                        6,
                        1000,
                        200_000,
                        2_000_000,
                        way == Way.PLAN ? COLD_SHARE : 1,
                        COLD_SPAN,
                        1);
        plan = new SessionPlanner(settings, new Module(), new World(), 3);
    }

    public static void main(String[] args) {
        int sessions = args.length > 0 ? Integer.parseInt(args[0]) : 5000;
        for (Way way : Way.values()) {
            System.out.println(way + ": " + new DeployModel(way, sessions).play(sessions));
        }
    }

    private void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    private Node add(int cell, boolean cold) {
        Node node = new Node("n" + nodes.size() + "-" + now, cell, cold ? now : -1);
        nodes.put(node.id, node);
        plan.nodeListed(node.id, node.startedAt, false, now);
        return node;
    }

    private void step(long until) {
        while (now < until) {
            now += STEP;
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().what.run();
            }
            plan.tick(now);
        }
    }

    private void ask(int shard) {
        Session session = plan.requestSession(0, 0, 1, new int[] {shard}, now);
        if (!session.isEnded()) {
            open.add(session);
        }
    }

    private String play(int sessions) {
        List<Node> old = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            old.add(add(i % CELLS, false));
        }
        for (int i = 0; i < sessions; i++) {
            ask(i % CELLS);
            step(now + (i % 10 == 0 ? STEP : 0));
        }
        step(now + 5_000_000);
        moves = 0;
        refused = 0;
        long from = now;
        for (Node node : old.subList(0, NODES - 1)) {
            add(node.cell, true);
            node.listed = false;
            if (way == Way.CLOSE_ALL) {
                closeAll(node);
            }
            plan.nodeListed(node.id, node.startedAt, true, now);
            at(now + 3_000_000, () -> plan.nodeRemoved(node.id, now));
            step(now + 40_000_000 / (NODES - 1));
        }
        long whole = -1;
        while (now < from + 120_000_000 && whole < 0) {
            step(now + 100_000);
            whole =
                    plan.sessionCount() == sessions
                                    && legs.size() == sessions
                                    && legs.values().stream().allMatch(up -> up)
                            ? now
                            : -1;
        }
        return "fallen nodes "
                + fallen
                + ", abrupt ends of legs "
                + abrupt
                + ", moves "
                + moves
                + ", closes "
                + closes
                + ", refused "
                + refused
                + ", whole after "
                + (whole < 0 ? "more than 120" : (whole - from) / 100_000 / 10.0)
                + " s";
    }

    /** Its clients come back within a second. */
    private void closeAll(Node node) {
        for (UpstreamConnection leg : new ArrayList<>(legs.keySet())) {
            if (leg.node.equals(node.id)) {
                closes++;
                plan.clientLeft(leg.session, now);
                open.remove(leg.session);
                int shard = leg.session.shard(0);
                at(now + (long) (random.nextDouble() * 1_000_000), () -> ask(shard));
            }
        }
    }

    private void handshake(UpstreamConnection leg) {
        Node node = nodes.get(leg.node);
        if (!legs.containsKey(leg)) {
            return;
        }
        node.handshakes.add(now);
        node.handshakes.removeIf(t -> now - t > 1_000_000);
        if (now < node.downUntil) {
            legs.remove(leg);
            plan.connectionEnded(leg, true, now);
        } else if (node.handshakes.size() > Math.max(1, node.bears(now))) {
            fallen++;
            node.downUntil = now + DOWN;
            for (UpstreamConnection each : new ArrayList<>(legs.keySet())) {
                if (each.node.equals(node.id)) {
                    abrupt += legs.remove(each) ? 1 : 0;
                    plan.connectionEnded(each, true, now);
                }
            }
        } else {
            legs.put(leg, true);
            plan.connectionOpened(leg, now);
        }
    }

    private final class Module implements NodeSelector {
        @Override
        public String[] selectNodes(int product, Set<String> avoided, int[] shards) {
            List<Node> fit =
                    nodes.values().stream()
                            .filter(
                                    n ->
                                            n.listed
                                                    && n.cell == shards[0]
                                                    && now >= n.downUntil
                                                    && !avoided.contains(n.id))
                            .toList();
            return new String[] {fit.isEmpty() ? null : fit.get(random.nextInt(fit.size())).id};
        }

        @Override
        public void adjustLoad(String node, double by) {}

        @Override
        public void connectionFailed(String node) {}
    }

    private final class World implements SessionActions {
        @Override
        public void openConnection(UpstreamConnection leg) {
            moves++;
            legs.put(leg, false);
            at(now + 2_000 + random.nextInt(20_000), () -> handshake(leg));
        }

        @Override
        public void closeConnection(UpstreamConnection leg) {
            if (Boolean.TRUE.equals(legs.remove(leg))) {
                at(now + 1_000, () -> plan.connectionEnded(leg, false, now));
            }
        }

        @Override
        public void abortConnection(UpstreamConnection leg) {
            closeConnection(leg);
        }

        @Override
        public void startSending(UpstreamConnection leg) {}

        @Override
        public void acceptSession(Session session) {}

        @Override
        public void refuseSession(Session session, long wait) {
            refused++;
            open.remove(session);
            at(now + wait, () -> ask(session.shard(0)));
        }

        @Override
        public void closeSession(Session session, int code, long wait) {
            closes++;
            open.remove(session);
            at(now + wait, () -> ask(session.shard(0)));
        }
    }
}
