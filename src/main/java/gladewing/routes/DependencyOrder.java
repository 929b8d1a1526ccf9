package gladewing.routes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Sorts names so that each follows the names that it uses, and finds cycles. */
final class DependencyOrder {
    final List<String> sorted = new ArrayList<>();

    /** For each name on a cycle, the cycle as text. */
    final Map<String, String> cycles = new LinkedHashMap<>();

    private final Map<String, List<String>> uses = new HashMap<>();

    /** False while a name is on the current path, true once it is finished. */
    private final Map<String, Boolean> isFinished = new HashMap<>();

    DependencyOrder(Set<String> names, Function<String, Collection<String>> usedNames) {
        for (String name : names) {
            uses.put(name, usedNames.apply(name).stream().filter(names::contains).toList());
        }
        names.forEach(this::visit);
    }

    /**
     * Depth-first search without recursion, so that a long chain of names does not overflow the
     * stack.
     */
    private void visit(String start) {
        List<String> path = new ArrayList<>(List.of(start));
        List<Integer> nextUses = new ArrayList<>(List.of(0));
        if (isFinished.putIfAbsent(start, false) != null) {
            return;
        }
        while (!path.isEmpty()) {
            int last = path.size() - 1;
            String name = path.get(last);
            int nextUse = nextUses.get(last);
            if (nextUse == uses.get(name).size()) {
                isFinished.put(name, true);
                path.remove(last);
                nextUses.remove(last);
                if (!cycles.containsKey(name)) {
                    sorted.add(name);
                }
                continue;
            }
            nextUses.set(last, nextUse + 1);
            String used = uses.get(name).get(nextUse);
            Boolean state = isFinished.putIfAbsent(used, false);
            if (state == null) {
                path.add(used);
                nextUses.add(0);
            } else if (!state) {
                List<String> cycle = path.subList(path.indexOf(used), path.size());
                String cycleText = String.join(" -> ", cycle) + " -> " + used;
                cycle.forEach(member -> cycles.putIfAbsent(member, cycleText));
            }
        }
    }
}
