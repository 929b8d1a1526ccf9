package gladewing.decisions;

import gladewing.router.Span;

/** One transmission of a part to a data node, and the time that the node has to answer. */
public final class Transmission {
    public final AcceptedMultiget multiget;
    public final int part;
    public final String node;
    public final Span timeout;

    /** Number of this transmission of its part, counted from 0. */
    final int number;

    final int nodeIndex;

    /** Whether it keeps the index of its node from being given to another node. */
    boolean holdsNodeIndex = true;

    public Transmission(
            AcceptedMultiget multiget,
            int part,
            String node,
            Span timeout,
            int number,
            int nodeIndex) {
        this.multiget = multiget;
        this.part = part;
        this.node = node;
        this.timeout = timeout;
        this.number = number;
        this.nodeIndex = nodeIndex;
    }
}
