package gladewing.router;

/**
 * The actions that a query router takes, to be carried out by its caller. One port serves one
 * router; the actions of one turn leave together, in the order of the calls. Multigets are
 * identified by their handle, parts by their position in it, and data nodes by the index under
 * which they were reported to {@link QueryRouter#nodeListed}.
 */
public interface Port {
    /** Sends a part to a node; its end must be reported to {@link Multiget#transmissionEnded}. */
    void transmit(Multiget multiget, int part, int node, Span timeout);

    /** Cancels a transmission; its end is still reported. */
    void withdraw(Multiget multiget, int part, int transmission);

    /** Answers a multiget with the parts that have arrived. */
    void answer(Multiget multiget, boolean isWhole);

    /**
     * Refuses a multiget and tells its client that repeating the request is harmless.
     *
     * @param retryAfter when the client may repeat it, or zero to say nothing of that
     */
    void dismiss(Multiget multiget, Span retryAfter);

    /** Ends a multiget without saying whether anything of it was run. */
    void giveUp(Multiget multiget);

    /** Probes a node; the end must be reported to {@link QueryRouter#probeEnded}. */
    void probe(int node);

    /**
     * Requests the node list and its later changes. The result is reported by {@link
     * QueryRouter#nodeListReceived} or {@link QueryRouter#nodeListFailed}.
     */
    void watchNodeList();

    /** Arranges for {@link QueryRouter#timerFired} to be called, in a turn, after the delay. */
    void startTimer(Span delay);
}
