package gladewing.nodes;

import gladewing.router.Span;
import java.util.function.IntSupplier;

/**
 * What the settings and the machine allow for connections to data nodes.
 *
 * @param connectTimeout the longest that a connection may take to come up, a call may wait while
 *     the limit of connections is reached, a probe may wait for its answer, and a frame that has
 *     begun to arrive may stay incomplete
 * @param idleTimeout the time after which a data node closes a connection that is not used
 * @param maxConnections the limit for connections to all data nodes together; it may change
 * @param withdrawalsAllowed whether a node may be told to give up a part that is in flight
 * @param usesLoadProbes whether probes ask for a load report
 */
public record NodeClientOptions(
        int maxPartsPerConnection,
        int maxPartsPerCall,
        Span connectTimeout,
        Span idleTimeout,
        IntSupplier maxConnections,
        boolean withdrawalsAllowed,
        boolean usesLoadProbes) {}
