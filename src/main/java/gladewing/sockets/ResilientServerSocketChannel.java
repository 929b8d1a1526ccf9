package gladewing.sockets;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** Accepts connections as {@link ResilientSocketChannel}s. */
public final class ResilientServerSocketChannel extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            accepted.add(new ResilientSocketChannel(this, socket));
            return 1;
        } catch (RuntimeException failure) {
            SocketFactory.close(socket);
            return 0;
        }
    }
}
