package gladewing.nodes;

import gladewing.loop.Timer;
import io.netty.channel.ChannelFuture;

/**
 * One probe of a data node. A node answers the probes on a connection in the order in which they
 * were sent.
 */
final class Probe {
    final String node;
    NodeConnection connection;
    Timer timeoutTimer;

    /** The write of its frame; null while that waits for the connection to come up. */
    ChannelFuture frameWrite;

    boolean isEnded;

    Probe(String node) {
        this.node = node;
    }
}
