package gladewing.versions;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The listed data nodes and the open work of a router at one instant.
 *
 * @param availableNodesByCell the number of listed nodes that are not draining, by cell
 * @param cellsPerShard how many cells hold each shard: the cells (shard + j) modulo the number of
 *     cells, for j from 0 to cellsPerShard - 1
 * @param openMultigetsByProduct the number of multigets unheldShards their final answer, by product
 *     index
 * @param openSessions the number of open long-lived sessions
 */
public record RouterSnapshot(
        int[] availableNodesByCell,
        int cellsPerShard,
        int[] openMultigetsByProduct,
        int openSessions) {
    private static final int MAX_LISTED_SHARDS = 8;

    /**
     * Returns null if a version with these preconditions may be activated now, else which one is
     * not met. An unmet precondition can become met without any action, so the version can wait.
     */
    public String unmetPrecondition(Preconditions preconditions) {
        List<Integer> unheldShards = new ArrayList<>();
        for (int shard : new TreeSet<>(preconditions.routedShards())) {
            if (!isHeld(shard)) {
                unheldShards.add(shard);
            }
        }
        if (!unheldShards.isEmpty()) {
            return "its routes name shards that no listed node holds: "
                    + unheldShards.subList(0, Math.min(MAX_LISTED_SHARDS, unheldShards.size()))
                    + (unheldShards.size() > MAX_LISTED_SHARDS
                            ? " and " + (unheldShards.size() - MAX_LISTED_SHARDS) + " more"
                            : "");
        }
        int availableNodes = 0;
        for (int nodes : availableNodesByCell) {
            availableNodes += nodes;
        }
        if (availableNodes < preconditions.minNodes()) {
            return "it needs "
                    + preconditions.minNodes()
                    + " listed nodes that are not draining, there are "
                    + availableNodes;
        }
        for (int product : preconditions.closedProducts()) {
            if (openMultigetsByProduct[product] > 0) {
                return "it closes a product that has "
                        + openMultigetsByProduct[product]
                        + " open multigets";
            }
        }
        if (preconditions.maxSessions() >= 0 && openSessions > preconditions.maxSessions()) {
            return "it allows "
                    + preconditions.maxSessions()
                    + " open sessions, there are "
                    + openSessions;
        }
        return null;
    }

    private boolean isHeld(int shard) {
        for (int j = 0; j < cellsPerShard; j++) {
            if (availableNodesByCell[(shard + j) % availableNodesByCell.length] > 0) {
                return true;
            }
        }
        return false;
    }
}
