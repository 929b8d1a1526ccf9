package gladewing.decisions;

import gladewing.router.Span;

/** One part to be sent once to one data node, which has so long to answer. */
public final class Transmission {
    public final Taken of;
    public final int part;
    public final String node;
    public final Span timeOut;
    final int number;
    final int nodeIndex;

    public Transmission(Taken of, int part, String node, Span timeOut, int number, int nodeIndex) {
        this.of = of;
        this.part = part;
        this.node = node;
        this.timeOut = timeOut;
        this.number = number;
        this.nodeIndex = nodeIndex;
    }
}
