package gladewing.decisions;

import gladewing.router.QueryRouter;
import gladewing.router.Time;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the ids that the node list uses for data nodes to the small indices that {@link QueryRouter}
 * uses. An index is reused for another node only once its node is off the list and nothing is in
 * flight to it.
 */
public final class NodeTable<K> {
    /** The state of a listed node. */
    public enum State {
        UP,
        DRAINING,
        REMOVED
    }

    /**
     * One entry of a node list.
     *
     * @param startedAt when the node's process started; null for long ago
     */
    public record Entry<K>(K id, int cell, Time startedAt, State state) {}

    private static final class TrackedNode<K> {
        final K id;

        /** Transmissions and probes that have not ended. */
        int references;

        boolean isRemoved;

        TrackedNode(K id) {
            this.id = id;
        }
    }

    private final QueryRouter router;
    private final Map<K, Integer> indices = new HashMap<>();
    private final List<TrackedNode<K>> nodes = new ArrayList<>();

    /** Creates an empty table that reports changes of the list to the router. */
    public NodeTable(QueryRouter router) {
        this.router = router;
    }

    /**
     * Applies a node list and reports it to the router.
     *
     * @param isWhole whether nodes that are not in it are gone; otherwise it holds changes only
     */
    public void update(boolean isWhole, List<Entry<K>> entries) {
        boolean[] seen = new boolean[nodes.size() + entries.size()];
        for (Entry<K> entry : entries) {
            Integer known = indices.get(entry.id);
            if (known == null && entry.state == State.REMOVED) {
                continue;
            }
            int index = known != null ? known : add(entry.id);
            seen[index] = true;
            nodes.get(index).isRemoved = entry.state == State.REMOVED;
            if (entry.state == State.REMOVED) {
                router.nodeRemoved(index);
            } else {
                router.nodeListed(
                        index, entry.cell, entry.startedAt, entry.state == State.DRAINING);
            }
        }
        for (int i = 0; i < nodes.size(); i++) {
            TrackedNode<K> node = nodes.get(i);
            if (node != null && isWhole && !seen[i] && !node.isRemoved) {
                node.isRemoved = true;
                router.nodeRemoved(i);
            }
            freeIfUnused(i);
        }
        router.nodeListReceived();
    }

    /** The index of the first null in the list; one is appended if there is none. */
    public static int freeIndex(List<?> table) {
        int index = table.indexOf(null);
        if (index < 0) {
            index = table.size();
            table.add(null);
        }
        return index;
    }

    private int add(K id) {
        int index = freeIndex(nodes);
        nodes.set(index, new TrackedNode<>(id));
        indices.put(id, index);
        return index;
    }

    private void freeIfUnused(int index) {
        TrackedNode<K> node = nodes.get(index);
        if (node != null && node.isRemoved && node.references == 0) {
            indices.remove(node.id);
            nodes.set(index, null);
        }
    }

    /**
     * Keeps a node's index from being reused until {@link #release} is called as often as this.
     *
     * @return the node's id
     */
    public K acquire(int index) {
        nodes.get(index).references++;
        return nodes.get(index).id;
    }

    /** The index of a node, or null if it is unknown. */
    public Integer indexOf(K id) {
        return indices.get(id);
    }

    /** The id of the node with this index. */
    public K idAt(int index) {
        return nodes.get(index).id;
    }

    /** Ends one {@link #acquire} of the node. */
    public void release(int index) {
        nodes.get(index).references--;
        freeIfUnused(index);
    }
}
