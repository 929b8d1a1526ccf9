package gladewing.nodes;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens connections to data nodes. */
public interface Connector {
    /**
     * Starts opening a connection that the handler serves. The future succeeds once the connection
     * is up, and fails if it cannot be opened.
     */
    ChannelFuture connect(ChannelHandler handler, InetSocketAddress address);
}
