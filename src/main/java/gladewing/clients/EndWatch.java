package gladewing.clients;

import gladewing.lifecycle.LifecycleRules;
import gladewing.loop.Loop;
import gladewing.loop.Timer;
import gladewing.router.Span;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.channel.Channel;

/**
 * Sees to it that the end of one client's connection is noticed while requests of the client are
 * open or wait, or that it is known that it could not be noticed.
 */
final class EndWatch {
    /** How often at least a socket that stays unread is read without the selector's telling. */
    private static final Span MAX_READ_AGAIN_DELAY = LifecycleRules.MAX_UNREAD.times(8);

    private final Loop loop;

    /** Null for a channel that is always read to its end. */
    private final ResilientSocketChannel socket;

    private final Runnable onUnseen;

    /** Runs out if the socket is not read to its end; null while it is. */
    private Timer unreadTimer;

    private boolean isReadingAgain;

    /** After what time without having been read to its end the socket was last read once more. */
    private Span readAgainDelay = LifecycleRules.MAX_UNREAD;

    /** Reads a socket that the selector may not watch; null if nothing is to be read. */
    private Timer pollTimer;

    /**
     * @param onUnseen is run when the socket was not read to its end for {@link
     *     LifecycleRules#MAX_UNREAD}, so that it is not known whether the client is still there
     */
    EndWatch(Loop loop, Channel channel, Runnable onUnseen) {
        this.loop = loop;
        this.socket = channel instanceof ResilientSocketChannel resilient ? resilient : null;
        this.onUnseen = onUnseen;
    }

    /** Whether the socket may hold bytes, or the end of the connection, that were not read. */
    boolean isUnread() {
        return socket != null && !socket.isReadToEnd();
    }

    /** Whether it is unread because reads fail, and not because much has arrived. */
    boolean isReadFailing() {
        return socket != null && socket.isReadFailing();
    }

    /**
     * Called after each turn of reading.
     *
     * @param isClientWaiting whether requests of the client are open, or complete and not begun
     */
    void turnEnded(boolean isClientWaiting) {
        if (!isUnread()) {
            stopUnreadTimer();
            readAgainDelay = LifecycleRules.MAX_UNREAD;
        } else if (unreadTimer == null && isClientWaiting && !isReadingAgain) {
            // The end may have come while the process was held up.
            Span stall = Span.shortest(loop.stallBeforePass(), LifecycleRules.MAX_UNREAD);
            startUnreadTimer(LifecycleRules.MAX_UNREAD.minus(stall));
        }
    }

    private void startUnreadTimer(Span delay) {
        unreadTimer = loop.schedule(delay, this::readUnread);
    }

    /**
     * Reads once more: the selector does not tell that nothing is left of a socket of which a turn
     * has read as much as it might.
     */
    private void readUnread() {
        isReadingAgain = true;
        readNow();
        isReadingAgain = false;
        if (isUnread() && socket.isActive()) {
            readAgainDelay = Span.shortest(readAgainDelay.times(2), MAX_READ_AGAIN_DELAY);
            startUnreadTimer(readAgainDelay);
            onUnseen.run();
        }
    }

    private void stopUnreadTimer() {
        if (unreadTimer != null) {
            unreadTimer.cancel();
            unreadTimer = null;
        }
    }

    /** A request has been begun: its client's end is looked for where the selector may not tell. */
    void requestBegan() {
        if (pollTimer == null && socket != null && socket.isActive() && !socket.isWatched()) {
            pollTimer =
                    loop.schedule(
                            LifecycleRules.MAX_UNWATCHED,
                            () -> {
                                pollTimer = null;
                                socket.pollIfUnwatched();
                                requestBegan();
                            });
        }
    }

    /** No request is open any more. */
    void requestEnded() {
        if (pollTimer != null) {
            pollTimer.cancel();
            pollTimer = null;
        }
    }

    /** Reads the socket now, as its client may have left meanwhile. */
    void readNow() {
        if (socket != null) {
            socket.readNow();
        }
    }

    /** Reads the socket if the selector may not watch it. */
    void pollIfUnwatched() {
        if (socket != null) {
            socket.pollIfUnwatched();
        }
    }

    /** The connection has ended. */
    void stop() {
        stopUnreadTimer();
        requestEnded();
    }
}
