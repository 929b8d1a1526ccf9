package gladewing.sessionpolicy;

import java.util.Set;

/** Chooses data nodes for sessions, and takes reports on the load and failures of these nodes. */
public interface NodeSelector {
    /**
     * Returns the name of a node for each shard, choosing the nodes that cover the most shards;
     * null for a shard that has no usable and ready node. Excluded nodes are not chosen.
     */
    String[] selectNodes(int product, Set<String> excludedNodes, int[] shards);

    /** Adds to the load of the node; a negative change reduces it. */
    void adjustLoad(String node, double change);

    /** Reports that a connection to the node could not be opened, or that it broke. */
    void connectionFailed(String node);
}
