package gladewing.model;

/** A router of the simulated fleet, under any policy. Times are microseconds of virtual time. */
interface SimulatedRouter {
    /**
     * Accepts a multiget from a client. The router reports its final answer to {@link
     * FleetSimulation#finalAnswer}.
     *
     * @param timeLimit how long the client waits, in microseconds
     * @param isRetry whether the client repeats a request that failed before
     */
    void accept(int product, int[] shards, long timeLimit, boolean isRetry);

    /**
     * Tells the router that its node list contains a node.
     *
     * @param startedAt when the node started; negative if it started long ago and is warm
     */
    void nodeListed(int node, int cell, long startedAt, boolean isDraining);

    /** Tells the router that a node is no longer in its node list. */
    void nodeRemoved(int node);

    /** Marks the end of one update of the node list. */
    void nodeListReceived();
}
