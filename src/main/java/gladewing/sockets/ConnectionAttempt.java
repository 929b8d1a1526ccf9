package gladewing.sockets;

import gladewing.loop.Loop;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;

/** The opening of a connection, which may fail before there is a socket. */
public final class ConnectionAttempt {
    private ConnectionAttempt() {}

    /**
     * Calls back in a later pass if the connection can't be opened.
     *
     * @param opening what a bootstrap returned
     */
    public static void onFailure(Loop loop, ChannelFuture opening, Consumer<Throwable> callback) {
        // Without a socket there is no event loop, and a listener would be called on a thread that
        // may have to be created for it, which may fail as well.
        if (opening.isDone()) {
            reportFailure(loop, opening, callback);
        } else {
            opening.addListener(done -> reportFailure(loop, opening, callback));
        }
    }

    private static void reportFailure(
            Loop loop, ChannelFuture opening, Consumer<Throwable> callback) {
        if (!opening.isSuccess()) {
            loop.runInLaterPass(() -> callback.accept(opening.cause()));
        }
    }

    /** Whether the machine had no socket for the connection, so that nothing was attempted. */
    public static boolean hasNoSocket(ChannelFuture opening) {
        return opening.isDone() && !opening.isSuccess() && !opening.channel().isRegistered();
    }

    /** Closes a channel, which may be that of an attempt that has failed. */
    public static void close(Channel channel) {
        // The channel of an attempt without a socket has no event loop, and throws if it is closed.
        if (channel.isOpen()) {
            channel.close();
        }
    }
}
