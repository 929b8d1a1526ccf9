package gladewing.serve;

/**
 * Divides the part of the heap that may be filled from outside between those who fill it. One half
 * is left to the program itself, to what is read and dropped at once, and to the collector.
 *
 * @param heapBytes the most that the heap may take
 */
record MemoryBudget(long heapBytes) {
    static MemoryBudget ofThisProcess() {
        return new MemoryBudget(Runtime.getRuntime().maxMemory());
    }

    /** For what connections of clients have received and not finished, or not read, in bytes. */
    long clientConnections() {
        return heapBytes / 6;
    }

    /** For what open multigets ask, and for the values that have arrived for them, in bytes. */
    long multigets() {
        return heapBytes / 6;
    }

    /** For what connections to data nodes have received and not finished, in bytes. */
    long nodeConnections() {
        return heapBytes / 6;
    }
}
