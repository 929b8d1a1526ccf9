package gladewing.model;

import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.settings.IniFile;
import gladewing.settings.Section;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A scenario of the simulation, read from an INI file: the fleet, its products, the workload and
 * the injected faults. Times are in microseconds of virtual time.
 *
 * @param coresPerNode how many parts a node serves at the same time
 * @param queueLimit how many parts may wait at a node
 * @param serviceTime the time that a warm core takes for a part
 * @param networkDelay one way
 * @param nodeListLag from a change of a node to the update of a router's node list
 * @param arrivalRate multigets per second of all clients
 * @param zipfExponent of the popularity of shards, by Zipf's law; 0 for uniform popularity
 * @param attemptsPerRequest how often a client sends a request, the first time included
 * @param duration how long clients send requests
 * @param warmUp how long from the start requests are left out of the metrics
 * @param productNames in the order of the products in the settings
 * @param productShares the relative frequency of each product in the workload
 */
record Scenario(
        int routers,
        int nodes,
        int shards,
        int coresPerNode,
        int queueLimit,
        DurationDistribution serviceTime,
        DurationDistribution networkDelay,
        DurationDistribution nodeListLag,
        int partsPerMultiget,
        double arrivalRate,
        double zipfExponent,
        int attemptsPerRequest,
        long duration,
        long warmUp,
        List<String> productNames,
        List<Double> productShares,
        Settings settings,
        List<InjectedFault> faults) {

    static final List<String> FAULT_KINDS =
            List.of("slow", "stall", "silent", "kill", "deploy", "list-down");
    private static final long HOUR_MICROS = 3_600_000_000L;

    /**
     * A fault injected into some of the nodes.
     *
     * @param kind slow: service takes longer by the factor; stall: nodes serve nothing; silent:
     *     nodes serve but do not answer; kill: nodes stop at once and are replaced by cold ones;
     *     deploy: nodes are drained, stopped and replaced by cold ones, one after the other;
     *     list-down: routers get no updates of the node list
     * @param at when it starts
     * @param firstNode the index of the first of the affected nodes, which are consecutive
     * @param factor how much longer service takes under the kind slow
     */
    record InjectedFault(
            String kind, long at, long duration, int firstNode, int nodeCount, double factor) {}

    /**
     * Reads a scenario. Errors of the file are added to its list of faults; the result may be used
     * only if that list is empty.
     */
    static Scenario read(IniFile file) {
        Section fleet = file.section("fleet");
        fleet.only(
                "routers",
                "nodes",
                "cells",
                "reach",
                "shards",
                "cores",
                "queue",
                "service",
                "delay",
                "lag",
                "cold-share",
                "cold-span",
                "fall-multiple",
                "fall-span",
                "transmissions",
                "open",
                "copies",
                "budget",
                "budget-free",
                "budget-span");
        int nodes = (int) fleet.whole("nodes", 10, 1, 100_000);
        int cells = (int) fleet.whole("cells", Math.max(1, nodes / 2), 1, nodes);
        int shards = (int) fleet.whole("shards", 4L * cells, 1, 10_000_000);
        int reach = (int) fleet.whole("reach", Math.min(2, cells), 1, cells);
        Section load = file.section("load");
        load.only("rate", "parts", "skew", "tries");
        Section run = file.section("run");
        run.only("length", "warm");
        long duration = run.micros("length", 60_000_000, 100_000, 24 * HOUR_MICROS);
        List<String> productNames = new ArrayList<>();
        List<Double> productShares = new ArrayList<>();
        List<Settings.Product> products = new ArrayList<>();
        List<InjectedFault> faults = new ArrayList<>();
        for (Section section : file.sections()) {
            if (section.name.startsWith("product ")) {
                productNames.add(section.name.substring("product ".length()));
                productShares.add(section.number("share", 1, 0, 1000));
                products.add(product(section));
            } else if (section.name.startsWith("trouble ")) {
                faults.add(fault(section, nodes, duration));
            } else if (!List.of("fleet", "load", "run").contains(section.name)) {
                section.fault(
                        "",
                        "no such section, wanted: [fleet], [load], [run], [product NAME] or "
                                + "[trouble NAME]");
            }
        }
        if (products.isEmpty()) {
            productNames.add("report");
            productShares.add(1.0);
            products.add(product(IniFile.of("", "").section("product")));
        }
        int routers = (int) fleet.whole("routers", 2, 1, 10_000);
        Settings settings =
                new Settings(
                        routers,
                        Span.ofMillis(5),
                        new Settings.Rules(
                                Span.ZERO,
                                fleet.number("cold-share", 0.2, 0.01, 1),
                                span(fleet, "cold-span", 10_000_000),
                                fleet.number("fall-multiple", 2.5, 1, 100),
                                span(fleet, "fall-span", 1_500_000),
                                span(fleet, "budget-span", 0),
                                fleet.number("budget-free", 0, 0, 1e6),
                                fleet.number("budget", 0, 0, 10)),
                        new Settings.Permissions(
                                false,
                                true,
                                fleet.word("copies", List.of("yes", "no")).equals("yes"),
                                (int) fleet.whole("transmissions", 3, 1, 10),
                                (int) fleet.whole("open", 100_000, 1, 10_000_000),
                                Span.ZERO),
                        new Settings.Shards(cells, reach),
                        products,
                        List.of(),
                        false,
                        false,
                        1,
                        0.1);
        return new Scenario(
                routers,
                nodes,
                shards,
                (int) fleet.whole("cores", 2, 1, 1000),
                (int) fleet.whole("queue", 60, 1, 100_000_000),
                DurationDistribution.read(fleet, "service", "lognormal 10ms 0.5"),
                DurationDistribution.read(fleet, "delay", "0.5ms"),
                DurationDistribution.read(fleet, "lag", "100ms"),
                (int) load.whole("parts", 4, 1, shards),
                load.number("rate", 50, 0.001, 1e7),
                load.number("skew", 0, 0, 3),
                (int) load.whole("tries", 1, 1, 10),
                duration,
                run.micros("warm", duration / 10, 0, duration),
                productNames,
                productShares,
                settings,
                faults);
    }

    private static Span span(Section section, String key, long defaultMicros) {
        return new Span(section.micros(key, defaultMicros, 0, HOUR_MICROS));
    }

    private static Settings.Product product(Section section) {
        section.only("share", "quoted", "limit", "revenue", "late-revenue", "effect", "least");
        Span quoted = span(section, "quoted", 1_000_000);
        Span limit = span(section, "limit", 3_000_000);
        if (quoted.longerThan(limit)) {
            section.fault("quoted", "it is longer than limit, " + limit.millis() + " ms");
        }
        boolean isOnceOnly =
                section.word("effect", List.of("repeatable", "once-only")).equals("once-only");
        return new Settings.Product(
                quoted,
                0,
                limit,
                section.number("revenue", 1, 0, 1e6),
                section.number("late-revenue", 0.3, 0, 1),
                isOnceOnly ? Settings.Effect.ONCE_ONLY : Settings.Effect.REPEATABLE,
                Span.ZERO,
                section.number("least", 1, 0, 1),
                1,
                0);
    }

    private static InjectedFault fault(Section section, int nodes, long duration) {
        section.only("kind", "at", "for", "first", "nodes", "factor");
        String kind = section.word("kind", FAULT_KINDS);
        int first = (int) section.whole("first", 0, 0, nodes - 1);
        return new InjectedFault(
                kind,
                section.micros("at", duration / 3, 0, duration),
                section.micros("for", duration / 3, 0, duration),
                first,
                (int) section.whole("nodes", 1, 1, nodes - first),
                section.number("factor", 4, 1, 1000));
    }

    /** Returns this scenario with other faults. */
    Scenario withFaults(List<InjectedFault> newFaults) {
        return new Scenario(
                routers,
                nodes,
                shards,
                coresPerNode,
                queueLimit,
                serviceTime,
                networkDelay,
                nodeListLag,
                partsPerMultiget,
                arrivalRate,
                zipfExponent,
                attemptsPerRequest,
                duration,
                warmUp,
                productNames,
                productShares,
                settings,
                Collections.unmodifiableList(newFaults));
    }
}
