package gladewing.routes;

import gladewing.expr.Conjunct;
import gladewing.expr.RecordView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A node of the decision tree that finds the matching route of a table without evaluating every
 * condition. A fork looks up the value of one subject of the request and continues with the routes
 * that require this value and with those that do not constrain the subject. A leaf holds routes
 * that are evaluated one by one. The route with the lowest index wins in whichever order the nodes
 * are visited, so the tree affects only the time of the search, not its result.
 */
abstract class RouteTree {
    /** Up to this number, evaluating the routes is faster than a look-up. */
    private static final int MAX_LEAF_ROUTES = 4;

    /** A route that permits more values of a subject than this would be in too many branches. */
    private static final int MAX_VALUES = 32;

    private static final int MAX_ALTERNATIVES = 16;

    /**
     * A fork must reduce the routes to less than this share, or else it is not worth its look-up.
     */
    private static final double MAX_REMAINING_SHARE = 0.8;

    /** The lowest index of a route in this subtree. */
    final int lowestIndex;

    RouteTree(int lowestIndex) {
        this.lowestIndex = lowestIndex;
    }

    abstract void search(RouteTable table, RecordView request, boolean updatesCounters);

    /** The most steps that a search of this subtree can take. */
    abstract long maxSteps();

    /**
     * The values and prefixes that a route permits for a subject which all its alternatives
     * constrain.
     */
    private record Permitted(Set<String> values, Set<String> prefixes) {}

    private record IndexedRoute(
            int index, Route route, Map<Conjunct.Subject, Permitted> permitted) {}

    static RouteTree of(List<Route> routes) {
        List<IndexedRoute> rows = new ArrayList<>();
        for (int i = 0; i < routes.size(); i++) {
            rows.add(new IndexedRoute(i, routes.get(i), permitted(routes.get(i))));
        }
        return build(rows, Set.of());
    }

    private static Map<Conjunct.Subject, Permitted> permitted(Route route) {
        Map<Conjunct.Subject, Permitted> permitted = new LinkedHashMap<>();
        List<List<Conjunct>> alternatives = route.when.alternatives(MAX_ALTERNATIVES);
        for (Conjunct term : alternatives.isEmpty() ? List.<Conjunct>of() : alternatives.get(0)) {
            Permitted all =
                    term.subject() == null ? null : permittedBy(term.subject(), alternatives);
            if (all != null) {
                permitted.put(term.subject(), all);
            }
        }
        return permitted;
    }

    /** Null if an alternative does not constrain the subject, or if there are too many values. */
    private static Permitted permittedBy(
            Conjunct.Subject subject, List<List<Conjunct>> alternatives) {
        Permitted all = new Permitted(new LinkedHashSet<>(), new LinkedHashSet<>());
        for (List<Conjunct> terms : alternatives) {
            Conjunct best = null;
            for (Conjunct term : terms) {
                if (subject.equals(term.subject())
                        && (best == null || best.form() == Conjunct.Form.PREFIX)) {
                    best = term;
                }
            }
            if (best == null) {
                return null;
            }
            (best.form() == Conjunct.Form.EQUAL ? all.values : all.prefixes).addAll(best.values());
        }
        return all.values.size() + all.prefixes.size() <= MAX_VALUES ? all : null;
    }

    private static RouteTree build(List<IndexedRoute> rows, Set<Conjunct.Subject> used) {
        Conjunct.Subject subject = rows.size() <= MAX_LEAF_ROUTES ? null : bestSubject(rows, used);
        if (subject == null) {
            return new Leaf(rows);
        }
        Set<Conjunct.Subject> nowUsed = new LinkedHashSet<>(used);
        nowUsed.add(subject);
        Map<String, List<IndexedRoute>> valueGroups = new LinkedHashMap<>();
        Map<String, List<IndexedRoute>> prefixGroups = new LinkedHashMap<>();
        List<IndexedRoute> unconstrained = new ArrayList<>();
        for (IndexedRoute row : rows) {
            Permitted permitted = row.permitted.get(subject);
            if (permitted == null) {
                unconstrained.add(row);
                continue;
            }
            permitted.values.forEach(
                    value -> valueGroups.computeIfAbsent(value, v -> new ArrayList<>()).add(row));
            permitted.prefixes.forEach(
                    value -> prefixGroups.computeIfAbsent(value, v -> new ArrayList<>()).add(row));
        }
        Map<String, RouteTree> byValue = new HashMap<>();
        valueGroups.forEach((value, group) -> byValue.put(value, build(group, nowUsed)));
        Map<String, RouteTree> byPrefix = new TreeMap<>();
        prefixGroups.forEach((value, group) -> byPrefix.put(value, build(group, nowUsed)));
        return new Fork(
                rows.get(0).index,
                subject,
                byValue,
                byPrefix.isEmpty() ? null : new Trie(byPrefix),
                unconstrained.isEmpty() ? null : build(unconstrained, nowUsed));
    }

    /**
     * The subject whose look-up leaves the fewest routes in the worst case, or null if no look-up
     * is worth it.
     */
    private static Conjunct.Subject bestSubject(
            List<IndexedRoute> rows, Set<Conjunct.Subject> used) {
        Map<Conjunct.Subject, Map<String, Integer>> sizes = new LinkedHashMap<>();
        Map<Conjunct.Subject, Integer> constrained = new HashMap<>();
        for (IndexedRoute row : rows) {
            for (Map.Entry<Conjunct.Subject, Permitted> permitted : row.permitted.entrySet()) {
                if (!used.contains(permitted.getKey())) {
                    constrained.merge(permitted.getKey(), 1, Integer::sum);
                    Map<String, Integer> counts =
                            sizes.computeIfAbsent(permitted.getKey(), s -> new HashMap<>());
                    permitted
                            .getValue()
                            .values
                            .forEach(value -> counts.merge("=" + value, 1, Integer::sum));
                    permitted
                            .getValue()
                            .prefixes
                            .forEach(value -> counts.merge("^" + value, 1, Integer::sum));
                }
            }
        }
        Conjunct.Subject best = null;
        double least = rows.size() * MAX_REMAINING_SHARE;
        for (Map.Entry<Conjunct.Subject, Map<String, Integer>> subject : sizes.entrySet()) {
            int largest = subject.getValue().values().stream().mapToInt(n -> n).max().orElse(0);
            int left = rows.size() - constrained.get(subject.getKey()) + largest;
            if (left < least) {
                least = left;
                best = subject.getKey();
            }
        }
        return best;
    }

    /** Adds without overflow. */
    static long saturatedSum(long a, long b) {
        return Math.min(Long.MAX_VALUE / 4, a + b);
    }

    /** Routes that are evaluated one by one. */
    private static final class Leaf extends RouteTree {
        private final int[] routes;
        private final long maxSteps;

        Leaf(List<IndexedRoute> rows) {
            super(rows.isEmpty() ? Integer.MAX_VALUE : rows.get(0).index);
            routes = rows.stream().mapToInt(IndexedRoute::index).toArray();
            long total = 0;
            for (IndexedRoute row : rows) {
                total = saturatedSum(total, Math.min(Long.MAX_VALUE / 4, row.route.maxSteps()));
            }
            maxSteps = total;
        }

        @Override
        void search(RouteTable table, RecordView request, boolean updatesCounters) {
            for (int route : routes) {
                if (route >= table.limit()) {
                    return;
                }
                table.evaluate(route, updatesCounters);
            }
        }

        @Override
        long maxSteps() {
            return maxSteps;
        }
    }

    private static final class Fork extends RouteTree {
        private final Conjunct.Subject subject;
        private final Map<String, RouteTree> byValue;
        private final Trie byPrefix;
        private final RouteTree unconstrained;

        Fork(
                int lowestIndex,
                Conjunct.Subject subject,
                Map<String, RouteTree> byValue,
                Trie byPrefix,
                RouteTree unconstrained) {
            super(lowestIndex);
            this.subject = subject;
            this.byValue = byValue;
            this.byPrefix = byPrefix;
            this.unconstrained = unconstrained;
        }

        @Override
        void search(RouteTable table, RecordView request, boolean updatesCounters) {
            String value = subject.valueIn(request);
            if (value != null) {
                search(byValue.get(value), table, request, updatesCounters);
                for (Trie node = byPrefix, next = node; node != null; node = next) {
                    search(node.subtree, table, request, updatesCounters);
                    next = node.next(value);
                }
            }
            search(unconstrained, table, request, updatesCounters);
        }

        private static void search(
                RouteTree branch, RouteTable table, RecordView request, boolean updatesCounters) {
            if (branch != null && branch.lowestIndex < table.limit()) {
                branch.search(table, request, updatesCounters);
            }
        }

        @Override
        long maxSteps() {
            long most = 0;
            for (RouteTree branch : byValue.values()) {
                most = Math.max(most, branch.maxSteps());
            }
            return saturatedSum(
                    saturatedSum(most, byPrefix == null ? 0 : byPrefix.maxSteps()),
                    saturatedSum(
                            unconstrained == null ? 0 : unconstrained.maxSteps(),
                            subject.key() == null ? 16 : subject.field().bound().size()));
        }
    }

    /**
     * A compressed prefix tree. A node is linked to the next ones by the characters up to the next
     * prefix or branching point.
     */
    private static final class Trie {
        private final int depth;
        private RouteTree subtree;
        private final Map<Character, Trie> byCharacter = new HashMap<>();
        private final String commonText;

        Trie(Map<String, RouteTree> prefixes) {
            this("", prefixes);
        }

        /** All prefixes must begin with the given text. */
        private Trie(String commonText, Map<String, RouteTree> prefixes) {
            this.commonText = commonText;
            depth = commonText.length();
            Map<Character, Map<String, RouteTree>> byNextCharacter = new TreeMap<>();
            prefixes.forEach(
                    (prefix, branch) -> {
                        if (prefix.length() == depth) {
                            subtree = branch;
                        } else {
                            byNextCharacter
                                    .computeIfAbsent(prefix.charAt(depth), c -> new TreeMap<>())
                                    .put(prefix, branch);
                        }
                    });
            byNextCharacter.forEach(
                    (character, group) ->
                            byCharacter.put(
                                    character, new Trie(commonPrefix(group.keySet()), group)));
        }

        private static String commonPrefix(Set<String> texts) {
            String common = texts.iterator().next();
            for (String text : texts) {
                int same = 0;
                while (same < Math.min(common.length(), text.length())
                        && common.charAt(same) == text.charAt(same)) {
                    same++;
                }
                common = common.substring(0, same);
            }
            return common;
        }

        Trie next(String value) {
            Trie next = value.length() > depth ? byCharacter.get(value.charAt(depth)) : null;
            return next != null && value.startsWith(next.commonText) ? next : null;
        }

        long maxSteps() {
            long most = 0;
            for (Trie next : byCharacter.values()) {
                most = Math.max(most, next.maxSteps());
            }
            return saturatedSum(saturatedSum(subtree == null ? 0 : subtree.maxSteps(), most), 2);
        }
    }
}
