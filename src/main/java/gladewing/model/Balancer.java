package gladewing.model;

/** One router of the model, whichever way it decides. Times are its world's. */
interface Balancer {
    /** A multiget of so many microseconds; the world is told its final answer. */
    void ask(int product, int[] shards, long left, boolean again);

    /** Its list names a node, or says that it is gone. Started is below zero for long ago. */
    void listed(int node, int cell, long startedAt, boolean draining);

    void gone(int node);

    /** A whole change of the list has been told. */
    void listCame();
}
