package gladewing.router;

/**
 * A data node's report of its own load. Reports may be late or wrong; NaN stands for values that
 * they do not contain.
 *
 * @param queuedParts parts that wait to be served
 * @param partsInService parts that are being served
 * @param serviceMillis time that the node needs for one part, in milliseconds
 * @param servedPerSecond parts served per second
 * @param busyShare share of the time that the node is busy
 */
public record NodeLoad(
        double queuedParts,
        double partsInService,
        double serviceMillis,
        double servedPerSecond,
        double busyShare) {}
