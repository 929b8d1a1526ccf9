package gladewing.serve;

/**
 * Divides the file descriptors that are left for connections between clients and data nodes. A
 * quarter is guaranteed to data nodes, however many clients connect, and a third of all descriptors
 * to clients, which is the most that they use for requests; whoever comes first gets the rest. A
 * fixed quarter for data nodes was 48 of 256, fewer than there are nodes.
 *
 * @param all descriptors that the process may open
 * @param reserved descriptors that are needed for other purposes
 */
record DescriptorBudget(int all, int reserved) {
    private int shared() {
        return Math.max(2, all - reserved);
    }

    /** The limit on connections to data nodes, given the connections of clients. */
    int forNodes(int clientConnections) {
        return Math.max(shared() / 4, Math.min(shared() - all / 3, shared() - clientConnections));
    }

    /** The limit on connections of clients, given the connections to data nodes. */
    int forClients(int nodeConnections) {
        return shared() - Math.max(shared() / 4, nodeConnections);
    }
}
