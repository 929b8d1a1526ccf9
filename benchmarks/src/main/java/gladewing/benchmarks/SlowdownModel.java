package gladewing.benchmarks;

import gladewing.attempts.AttemptsFile;
import gladewing.attempts.AttemptsValidationContext;
import gladewing.attempts.RetryPolicies;
import gladewing.router.Multiget;
import gladewing.router.NodeLoad;
import gladewing.router.Port;
import gladewing.router.QueryRouter;
import gladewing.router.RetryPolicy;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.router.TransmissionOutcome;
import gladewing.settings.IniFile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Every node slower at once, by a factor from 1 to 8, for ten of thirty seconds: what each file of
 * rows makes of it. Two products, a dear one and a cheap one; nodes are queues with two places at
 * work; what is withdrawn leaves the queue, but goes on where it is at work. The routers are the
 * module itself, each with rows of its own. Virtual time, one thread, the same arrivals for every
 * file.
 */
public final class SlowdownModel {
    private static final int ROUTERS = 4;
    private static final int NODES = 20;
    private static final int CELLS = 10;
    private static final int SHARDS = 40;
    private static final int CORES = 2;
    private static final int QUEUE = 60;
    private static final int PARTS = 4;
    private static final double SERVICE = 20;
    private static final double END = 30_000;
    private static final double SLOW_FROM = 10_000;
    private static final double SLOW_TO = 20_000;
    private static final List<String> PRODUCTS = List.of("report", "sheet");

    private record Event(double at, long order, Runnable what) {}

    /** One transmission at its node. */
    private static final class Job {
        final Router of;
        final Multiget multiget;
        final int part;
        final int number;
        final double sentAt;
        final double work;
        boolean over;
        boolean running;

        Job(Router of, Multiget multiget, int part, int number, double sentAt, double work) {
            this.of = of;
            this.multiget = multiget;
            this.part = part;
            this.number = number;
            this.sentAt = sentAt;
            this.work = work;
        }
    }

    private final class Node {
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        int busy;

        void take(Job job) {
            if (queue.size() >= QUEUE) {
                after(1, () -> job.of.ended(job, TransmissionOutcome.REJECTED));
                return;
            }
            queue.add(job);
            work();
        }

        void work() {
            while (busy < CORES && !queue.isEmpty()) {
                Job job = queue.poll();
                job.running = true;
                busy++;
                double slow = now >= SLOW_FROM && now < SLOW_TO ? factor : 1;
                after(
                        job.work * slow,
                        () -> {
                            busy--;
                            after(0.5, () -> job.of.ended(job, TransmissionOutcome.OK));
                            work();
                        });
            }
        }
    }

    private final class Router implements Port {
        final QueryRouter module;
        final RetryPolicies retryPolicies;
        final Map<Integer, Map<Integer, List<Job>>> jobs = new LinkedHashMap<>();
        final Map<Integer, double[]> open = new LinkedHashMap<>();
        int refs;

        Router(int seed, RetryPolicies retryPolicies) {
            this.retryPolicies = retryPolicies;
            module = new QueryRouter(settings, seed, this, time());
            for (int n = 0; n < NODES; n++) {
                module.nodeListed(n, n % CELLS, null, false);
            }
            module.nodeListReceived();
            module.endTurn();
        }

        void turn(Runnable what) {
            module.beginTurn(time());
            what.run();
            module.endTurn();
        }

        void ask(int product, int[] shards) {
            turn(
                    () -> {
                        int ref = refs++;
                        Span left = settings.products().get(product).timeLimit();
                        RetryPolicy pattern =
                                retryPolicies == null
                                        ? null
                                        : retryPolicies.policyFor(product, null);
                        open.put(ref, new double[] {product, now, now + left.millis()});
                        Multiget m =
                                pattern == null
                                        ? module.accept(ref, product, 0, left, false)
                                        : module.accept(ref, product, 0, left, false, pattern);
                        for (int shard : shards) {
                            m.addPart(shard, 1.0 / shards.length, 0);
                        }
                    });
        }

        void ended(Job job, TransmissionOutcome outcome) {
            if (!job.over) {
                job.over = true;
                turn(
                        () ->
                                job.multiget.transmissionEnded(
                                        job.part,
                                        job.number,
                                        outcome,
                                        Span.ofMillis(now - job.sentAt),
                                        (NodeLoad) null));
            }
        }

        @Override
        public void transmit(Multiget m, int part, int node, Span timeOut) {
            List<Job> earlier =
                    jobs.computeIfAbsent(m.ref, r -> new LinkedHashMap<>())
                            .computeIfAbsent(part, p -> new ArrayList<>());
            Job sized =
                    new Job(
                            this,
                            m,
                            part,
                            earlier.size(),
                            now,
                            SERVICE * Math.exp(0.5 * work.nextGaussian() - 0.125));
            earlier.add(sized);
            counts.sent++;
            counts.first += sized.number == 0 ? 1 : 0;
            if (now >= SLOW_FROM && now < SLOW_TO) {
                counts.slowSent++;
                counts.slowFirst += sized.number == 0 ? 1 : 0;
            }
            after(0.5, () -> nodes.get(node).take(sized));
        }

        @Override
        public void withdraw(Multiget m, int part, int transmission) {
            Job job = jobs.get(m.ref).get(part).get(transmission);
            after(
                    0,
                    () -> {
                        if (!job.over) {
                            nodes.forEach(n -> n.queue.remove(job));
                            counts.wasted += job.running ? 1 : 0;
                            ended(job, TransmissionOutcome.WITHDRAWN);
                        }
                    });
        }

        private void end(Multiget m, boolean whole) {
            double[] told = open.remove(m.ref);
            int product = (int) told[0];
            Settings.Product row = settings.products().get(product);
            if (now > told[2]) {
                throw new IllegalStateException("rule 1: a final answer too late");
            }
            double earned =
                    !whole
                            ? 0
                            : now <= told[1] + row.quotedTime().millis()
                                    ? row.revenue()
                                    : row.revenue() * row.lateRevenue();
            counts.earned[product] += earned;
            counts.worst10[(int) Math.min(2, now / 10_000)] += earned;
        }

        @Override
        public void answer(Multiget m, boolean whole) {
            end(m, whole);
        }

        @Override
        public void dismiss(Multiget m, Span comeBack) {
            end(m, false);
        }

        @Override
        public void giveUp(Multiget m) {
            end(m, false);
        }

        @Override
        public void probe(int node) {}

        @Override
        public void watchNodeList() {}

        @Override
        public void startTimer(Span span) {
            after(span.millis(), () -> turn(module::timerFired));
        }
    }

    private static final class Counts {
        final double[] earned = new double[2];
        final double[] asked = new double[2];
        final double[] worst10 = new double[3];
        double sent;
        double first;
        double slowSent;
        double slowFirst;
        double wasted;
    }

    private final double factor;
    private final Settings settings;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final List<Node> nodes = new ArrayList<>();
    private final Counts counts = new Counts();
    private final Random arrivals;
    private final Random work;
    private double now;
    private long order;

    private SlowdownModel(double factor, double load, boolean copies, String rows, int seed) {
        this.factor = factor;
        settings = settings(copies);
        arrivals = new Random(seed);
        work = new Random(seed + 1000);
        for (int n = 0; n < NODES; n++) {
            nodes.add(new Node());
        }
        List<Router> routers = new ArrayList<>();
        for (int r = 0; r < ROUTERS; r++) {
            routers.add(new Router(seed * 100 + r, rows == null ? null : retryPolicies(rows)));
        }
        double perMilli = load * NODES * CORES / SERVICE / PARTS;
        next(routers, perMilli);
        for (Event event = events.poll();
                event != null && event.at < END + 5000;
                event = events.poll()) {
            now = event.at;
            event.what.run();
        }
    }

    private RetryPolicies retryPolicies(String rows) {
        AttemptsFile.ValidationResult outcome =
                AttemptsFile.check(
                        IniFile.of("rows", rows),
                        new AttemptsValidationContext(PRODUCTS, settings, Span.ofMillis(50), null));
        if (outcome.attempts() == null) {
            throw new IllegalArgumentException(outcome.faults().toString());
        }
        return outcome.attempts().retryPolicies();
    }

    private static Settings settings(boolean copies) {
        return new Settings(
                ROUTERS,
                Span.ofMillis(5),
                new Settings.Rules(
                        Span.ZERO,
                        0.2,
                        Span.ofMillis(10_000),
                        2.5,
                        Span.ofMillis(1500),
                        Span.ZERO,
                        0,
                        0),
                new Settings.Permissions(false, true, copies, 3, 2000, Span.ZERO),
                new Settings.Shards(CELLS, 2),
                List.of(product(4), product(1)),
                List.of(),
                false,
                false,
                1,
                0.1);
    }

    private static Settings.Product product(double revenue) {
        return new Settings.Product(
                Span.ofMillis(1000),
                0,
                Span.ofMillis(3000),
                revenue,
                0.3,
                Settings.Effect.REPEATABLE,
                Span.ZERO,
                1,
                1,
                0);
    }

    private void next(List<Router> routers, double perMilli) {
        double gap = -Math.log(1 - arrivals.nextDouble()) / perMilli;
        int product = arrivals.nextInt(4) == 0 ? 0 : 1;
        int from = arrivals.nextInt(SHARDS);
        Router router = routers.get(arrivals.nextInt(ROUTERS));
        if (now + gap < END) {
            after(
                    gap,
                    () -> {
                        int[] shards = new int[PARTS];
                        for (int p = 0; p < PARTS; p++) {
                            shards[p] = (from + p * 3) % SHARDS;
                        }
                        counts.asked[product] += settings.products().get(product).revenue();
                        router.ask(product, shards);
                        next(routers, perMilli);
                    });
        }
    }

    private void after(double millis, Runnable what) {
        events.add(new Event(now + millis, order++, what));
    }

    private Time time() {
        return Time.ofMillis(now);
    }

    /** Files of rows by name; the first goes by the module alone. */
    private static Map<String, String> files(boolean copies) {
        String fleet = "[fleet]\nparts = 1200\ncapacity = 100\n";
        Map<String, String> files = new LinkedHashMap<>();
        files.put("today", null);
        files.put(
                "dear",
                fleet
                        + "[product report]\n"
                        + "time-out = 4 usual, at most 500ms\n"
                        + "budget = 0.1\n"
                        + "budget-span = 1500ms\n"
                        + "[product sheet]\n"
                        + "time-out = never\n"
                        + "transmissions = 2\n"
                        + "last-start = 300ms\n");
        files.put(
                "lean",
                fleet
                        + "[default]\ntime-out = never\ncopy-after = never\ntransmissions = 2\n"
                        + "last-start = 300ms\n");
        files.put(
                "eager",
                "[fleet]\nparts = 1200\ncapacity = 1000000\n[default]\ntime-out = 120ms\n");
        files.put(
                "eager+budget",
                fleet + "[default]\ntime-out = 120ms\nbudget = 0.08\nbudget-span = 1500ms\n");
        if (copies) {
            files.put(
                    "copies",
                    "[fleet]\nparts = 1200\ncapacity = 1000000\n[default]\ntime-out = never\n"
                            + "copy-after = 60ms\n");
            files.put(
                    "copies+budget",
                    fleet
                            + "[default]\ntime-out = never\ncopy-after = 60ms\n"
                            + "budget = 0.08\nbudget-span = 1500ms\n");
        }
        return files;
    }

    /**
     * Arguments: the load as a share of capacity, how many seeds, and whether second copies are
     * allowed.
     */
    public static void main(String[] args) {
        double load = args.length > 0 ? Double.parseDouble(args[0]) : 0.5;
        int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        boolean copies = args.length > 2 && args[2].equals("copies");
        System.out.printf(
                Locale.ROOT,
                "load %.2f of capacity, %d seeds%s%n%-14s %6s  %6s %6s  %6s  %6s  %6s  %6s%n",
                load,
                seeds,
                copies ? ", second copies allowed" : "",
                "rows",
                "slower",
                "report",
                "sheet",
                "all",
                "sent/1",
                "slow",
                "wasted");
        files(copies)
                .forEach(
                        (name, rows) -> {
                            for (double factor : new double[] {1, 1.5, 2, 3, 4, 6, 8}) {
                                Counts sum = new Counts();
                                for (int seed = 1; seed <= seeds; seed++) {
                                    Counts c =
                                            new SlowdownModel(factor, load, copies, rows, seed)
                                                    .counts;
                                    for (int p = 0; p < 2; p++) {
                                        sum.earned[p] += c.earned[p];
                                        sum.asked[p] += c.asked[p];
                                    }
                                    sum.sent += c.sent;
                                    sum.first += c.first;
                                    sum.slowSent += c.slowSent;
                                    sum.slowFirst += c.slowFirst;
                                    sum.wasted += c.wasted;
                                }
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-14s %6.1f  %6.3f %6.3f  %6.3f  %6.3f  %6.3f  %6.3f%n",
                                        name,
                                        factor,
                                        sum.earned[0] / sum.asked[0],
                                        sum.earned[1] / sum.asked[1],
                                        (sum.earned[0] + sum.earned[1])
                                                / (sum.asked[0] + sum.asked[1]),
                                        sum.sent / sum.first,
                                        sum.slowSent / sum.slowFirst,
                                        sum.wasted / sum.first);
                            }
                        });
    }
}
