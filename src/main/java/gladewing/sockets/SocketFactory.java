package gladewing.sockets;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;

/** Creates the channels of connections that the router opens. */
public final class SocketFactory {
    private SocketFactory() {}

    /**
     * Creates a channel that is not connected yet.
     *
     * @throws UncheckedIOException if the machine has no socket for it; nothing is left open then
     */
    public static NioSocketChannel newSocket() {
        SocketChannel socket = null;
        try {
            socket = SelectorProvider.provider().openSocketChannel();
            return new ResilientSocketChannel(socket);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (RuntimeException failure) {
            close(socket);
            throw failure;
        }
    }

    /** Closes a socket that no channel could be made of. */
    static void close(SocketChannel socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing more can be done for it.
        }
    }
}
