package gladewing.routes;

import gladewing.expr.Conjunct;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds routes that can never match because earlier routes match every request that they could.
 * Each condition is split into alternatives, each of which is a conjunction of terms. An
 * alternative is covered if an alternative of an earlier route requires nothing beyond it. A
 * condition with too many alternatives is not split, so nothing is known about its route.
 */
final class UnreachableRouteFinder {
    static final String UNDECIDED = "undecided";
    private static final int MAX_ALTERNATIVES = 64;

    /**
     * Bounds the time of the check, so that it does not delay serving; a larger table is checked
     * only in part.
     */
    private static final int MAX_COMPARISONS = 5_000_000;

    private static final int MAX_PREFIX_LENGTH = 256;

    private record EarlierAlternative(Route route, List<Conjunct> terms) {}

    /**
     * Alternatives of acting routes, each indexed by one of its terms: it can cover only
     * alternatives with that term or a term that implies it.
     */
    private final Map<String, List<EarlierAlternative>> acting = new HashMap<>();

    private final Map<String, List<EarlierAlternative>> observing = new HashMap<>();

    /** How many alternatives have each term. */
    private final Map<String, Integer> termCounts = new HashMap<>();

    private int comparisons;

    /**
     * Adds the next route of the table.
     *
     * @return why the route can never match after those added before; null if it can, or might; a
     *     text that starts with {@link #UNDECIDED} if the check was incomplete
     */
    String add(Route route) {
        List<List<Conjunct>> all = route.when.alternatives(MAX_ALTERNATIVES);
        List<EarlierAlternative> covering = new ArrayList<>();
        boolean isPossible = false;
        boolean isUncovered = false;
        for (List<Conjunct> alternative : all) {
            if (isContradictory(alternative)) {
                continue;
            }
            isPossible = true;
            for (List<Conjunct> single : splitByValue(alternative)) {
                EarlierAlternative earlier = find(acting, single);
                earlier = earlier == null && route.observes ? find(observing, single) : earlier;
                isUncovered |= earlier == null;
                if (earlier != null && !covering.contains(earlier)) {
                    covering.add(earlier);
                }
            }
        }
        // A route does not match if its key has no value, so a route with a key covers nothing.
        if (route.key == null) {
            all.forEach(terms -> put(route, terms));
        }
        if (!isPossible) {
            return "it can never be true: two of its tests exclude each other";
        }
        if (!isUncovered) {
            List<String> names =
                    covering.stream()
                            .map(earlier -> earlier.route.name)
                            .distinct()
                            .limit(4)
                            .toList();
            return "it can never match: earlier routes match all of its requests: "
                    + String.join(", ", names);
        }
        return comparisons > MAX_COMPARISONS
                ? UNDECIDED + " whether it can ever match: the table is too large to check"
                : null;
    }

    private static boolean isContradictory(List<Conjunct> terms) {
        for (int i = 0; i < terms.size(); i++) {
            if (terms.get(i).canonicalText().equals("Boolean:false;")) {
                return true;
            }
            for (int j = 0; j < i; j++) {
                if (terms.get(i).excludes(terms.get(j))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Splits a term with several values into one alternative for each value, since they may be
     * covered by different routes.
     */
    private static List<List<Conjunct>> splitByValue(List<Conjunct> terms) {
        List<List<Conjunct>> all = List.of(terms);
        for (Conjunct term : terms) {
            if (term.form() == Conjunct.Form.EQUAL
                    && term.values().size() > 1
                    && all.size() * term.values().size() <= MAX_ALTERNATIVES) {
                List<List<Conjunct>> split = new ArrayList<>();
                for (List<Conjunct> alternative : all) {
                    for (String value : term.values()) {
                        List<Conjunct> single = new ArrayList<>(alternative);
                        single.set(
                                single.indexOf(term),
                                new Conjunct(
                                        term.form(),
                                        term.subject(),
                                        List.of(value),
                                        term.canonicalText()));
                        split.add(single);
                    }
                }
                all = split;
            }
        }
        return all;
    }

    private EarlierAlternative find(
            Map<String, List<EarlierAlternative>> index, List<Conjunct> terms) {
        EarlierAlternative earlier = findAmong(index.get(""), terms);
        for (Conjunct term : terms) {
            if (earlier == null && term.form() == Conjunct.Form.OTHER) {
                earlier = findAmong(index.get("=" + term.canonicalText()), terms);
            } else if (earlier == null) {
                String value = term.values().get(0);
                earlier = findAmong(index.get(key(term.subject(), "=", value)), terms);
                for (int n = 0;
                        earlier == null && n <= Math.min(value.length(), MAX_PREFIX_LENGTH);
                        n++) {
                    earlier =
                            findAmong(
                                    index.get(key(term.subject(), "^", value.substring(0, n))),
                                    terms);
                }
            }
        }
        return earlier;
    }

    private EarlierAlternative findAmong(
            List<EarlierAlternative> candidates, List<Conjunct> terms) {
        if (candidates == null) {
            return null;
        }
        for (EarlierAlternative earlier : candidates) {
            if (++comparisons > MAX_COMPARISONS) {
                return null;
            }
            if (earlier.terms.stream().allMatch(a -> terms.stream().anyMatch(a::isImpliedBy))) {
                return earlier;
            }
        }
        return null;
    }

    private static String key(Conjunct.Subject subject, String kind, String value) {
        return kind + subject.field().name() + '[' + subject.key() + ']' + value;
    }

    /** Indexes the alternative by its rarest term so far. */
    private void put(Route route, List<Conjunct> terms) {
        List<String> best = List.of("");
        int fewest = Integer.MAX_VALUE;
        for (Conjunct term : terms) {
            List<String> keys =
                    term.form() == Conjunct.Form.OTHER
                            ? List.of("=" + term.canonicalText())
                            : term.values().stream()
                                    .map(
                                            value ->
                                                    key(
                                                            term.subject(),
                                                            term.form() == Conjunct.Form.EQUAL
                                                                    ? "="
                                                                    : "^",
                                                            value))
                                    .toList();
            int count = 0;
            for (String key : keys) {
                count += termCounts.merge(key, 1, Integer::sum);
            }
            if (count < fewest) {
                fewest = count;
                best = keys;
            }
        }
        EarlierAlternative earlier = new EarlierAlternative(route, terms);
        Map<String, List<EarlierAlternative>> index = route.observes ? observing : acting;
        best.forEach(key -> index.computeIfAbsent(key, k -> new ArrayList<>()).add(earlier));
    }
}
