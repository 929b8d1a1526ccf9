package gladewing.router;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The data nodes by index and by cell, so that finding the holders of a part costs the same in a
 * fleet of any size. It holds state only and chooses no node.
 */
final class DataNodeIndex {
    private final int cellsPerShard;
    private final List<DataNode> nodes = new ArrayList<>();
    private final List<List<DataNode>> nodesByCell = new ArrayList<>();

    /** All holders of a shard, by the shard's first cell; null where the list has to be rebuilt. */
    private final List<List<DataNode>> holdersByFirstCell = new ArrayList<>();

    /** Number of the {@link #holders(List)} call that last visited a cell. */
    private final int[] lastVisitOfCell;

    /** Number of {@link #holders(List)} calls so far. */
    private int visits;

    /** Nodes that failed and have not answered in time since. */
    final Set<DataNode> failing = new LinkedHashSet<>();

    /** Nodes that were in their warm-up when listed; removed once it is over. */
    final List<DataNode> warmingUp = new ArrayList<>();

    /** Nodes that are listed and not draining, as of the last node list. */
    long activeCount;

    DataNodeIndex(Settings.Shards shards) {
        this.cellsPerShard = Math.min(shards.cellsPerShard(), shards.cells());
        this.lastVisitOfCell = new int[shards.cells()];
        for (int cell = 0; cell < shards.cells(); cell++) {
            nodesByCell.add(new ArrayList<>());
            holdersByFirstCell.add(null);
        }
    }

    DataNode get(int index) {
        return index < nodes.size() ? nodes.get(index) : null;
    }

    void add(DataNode node) {
        while (nodes.size() <= node.index) {
            nodes.add(null);
        }
        nodes.set(node.index, node);
        nodesByCell.get(node.cell).add(node);
        invalidateHolders(node.cell);
    }

    private void invalidateHolders(int cell) {
        for (int offset = 0; offset < cellsPerShard; offset++) {
            holdersByFirstCell.set(Math.floorMod(cell - offset, nodesByCell.size()), null);
        }
    }

    void remove(DataNode node) {
        nodes.set(node.index, null);
        nodesByCell.get(node.cell).remove(node);
        invalidateHolders(node.cell);
        node.isActive = false;
        failing.remove(node);
        warmingUp.remove(node);
    }

    void recordFailure(DataNode node) {
        node.consecutiveFailures++;
        if (get(node.index) == node) {
            failing.add(node);
        }
    }

    void clearFailures(DataNode node) {
        node.consecutiveFailures = 0;
        failing.remove(node);
    }

    /** The nodes that hold any of the parts, each one once, in the order of the parts. */
    List<DataNode> holders(List<Part> parts) {
        List<DataNode> found = new ArrayList<>();
        visits++;
        for (Part part : parts) {
            int cell = part.shard % nodesByCell.size();
            if (lastVisitOfCell[cell] != visits) {
                lastVisitOfCell[cell] = visits;
                for (DataNode node : holders(part)) {
                    if (node.lastVisit != visits) {
                        node.lastVisit = visits;
                        found.add(node);
                    }
                }
            }
        }
        return found;
    }

    /** The nodes that hold the part. The list is cached and must not be changed. */
    List<DataNode> holders(Part part) {
        int firstCell = part.shard % nodesByCell.size();
        List<DataNode> cached = holdersByFirstCell.get(firstCell);
        if (cached == null) {
            cached = new ArrayList<>();
            for (int j = 0; j < cellsPerShard; j++) {
                cached.addAll(nodesByCell.get((firstCell + j) % nodesByCell.size()));
            }
            holdersByFirstCell.set(firstCell, cached);
        }
        return cached;
    }

    void countActive() {
        activeCount = nodes.stream().filter(n -> n != null && n.isActive).count();
    }
}
