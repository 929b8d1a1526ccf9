package gladewing.sockets;

import gladewing.lifecycle.FailedCallPolicy;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Accepts connections as {@link ResilientSocketChannel}s. When the machine can't accept one, it
 * tries again within milliseconds. Netty pauses for a second, in which connections that are up
 * already, and requests on them, wait unseen.
 */
public final class ResilientServerSocketChannel extends NioServerSocketChannel {
    /** How long an accepted socket that no channel can be made of is kept. */
    private static final FailedCallPolicy PREPARATION_POLICY =
            new FailedCallPolicy(Span.ofMillis(1000));

    /** How long the socket stays unregistered for the selector to take it on anew. */
    private static final Span REREGISTRATION_DELAY = Span.ofMillis(1);

    private final FailureSeries accepts = new FailureSeries(FailedCallPolicy.UNLIMITED);
    private final FailureSeries preparations = new FailureSeries(PREPARATION_POLICY);

    /** Few enough for the descriptors that are kept in reserve. */
    private static final int ACCEPTED_WITHOUT_ROOM = 16;

    /** How many connections there is room for. */
    private IntSupplier room = () -> 0;

    /** An accepted socket that no channel could be made of yet, or null. */
    private SocketChannel unprepared;

    /**
     * Since when connections may have been waiting to be accepted; null if they are accepted as
     * soon as they come up.
     */
    private Time waitingSince;

    /** When {@link #poll} was last called; null before. */
    private Time lastPolledAt;

    private boolean hasAccepted;

    /** Whether accepting pauses until a failed call is repeated. */
    private boolean isAcceptPaused;

    @Override
    protected void doBeginRead() throws Exception {
        if (!isAcceptPaused) {
            super.doBeginRead();
        }
    }

    /**
     * Sets how many connections there is room for. That many may be accepted in a row, and a few
     * where there is none: whoever is told of them closes others, or suspends accepting.
     */
    public void setRoom(IntSupplier connections) {
        room = connections;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (accepted.size() >= Math.max(ACCEPTED_WITHOUT_ROOM, room.getAsInt())) {
            return 0;
        }
        if (unprepared == null) {
            unprepared = accept();
        }
        if (unprepared == null) {
            return 0;
        }
        try {
            // Netty would close a socket that it can't configure, and does not configure it again.
            unprepared.configureBlocking(false);
            accepted.add(new ResilientSocketChannel(this, unprepared, waitingSince));
            unprepared = null;
            hasAccepted = true;
            preparations.succeeded();
            return 1;
        } catch (IOException | ChannelException failure) {
            Time now = Loop.readClock();
            Span delay = preparations.failed(now);
            if (delay == null) {
                closeUnprepared();
                preparations.succeeded();
                delay = Span.ZERO;
            }
            pause(delay, now);
            return 0;
        }
    }

    /** Returns null if there is no connection to accept, or the call failed. */
    private SocketChannel accept() throws IOException {
        try {
            SocketChannel socket = javaChannel().accept();
            accepts.succeeded();
            if (socket == null) {
                waitingSince = null;
            }
            return socket;
        } catch (ClosedChannelException closed) {
            throw closed;
        } catch (IOException failure) {
            Time now = Loop.readClock();
            pause(accepts.failed(now), now);
            return null;
        }
    }

    /**
     * Stops accepting, as the limit on connections is reached, until {@link #resumeAccepting} is
     * called.
     */
    public void suspendAccepting() {
        markWaiting(Loop.readClock());
        config().setAutoRead(false);
    }

    /** Accepts again; has no effect if connections are being accepted. */
    public void resumeAccepting() {
        config().setAutoRead(true);
    }

    private void markWaiting(Time now) {
        if (waitingSince == null) {
            waitingSince = now;
        }
    }

    private void pause(Span delay, Time now) {
        markWaiting(now);
        isAcceptPaused = true;
        removeAndSubmit(readOps);
        eventLoop().schedule(this::resume, delay.micros(), TimeUnit.MICROSECONDS);
    }

    private void resume() {
        isAcceptPaused = false;
        if (isActive() && config().isAutoRead()) {
            read();
            unsafe().read();
        }
    }

    /**
     * Accepts without the selector having told of a connection, as the JDK does not report a
     * failure to register the socket with epoll. If there is one, the socket is registered anew.
     *
     * @return whether any was accepted
     */
    public boolean poll() {
        Time now = Loop.readClock();
        if (!isActive() || isAcceptPaused || !config().isAutoRead()) {
            return false;
        }
        if (waitingSince == null) {
            waitingSince = lastPolledAt;
        }
        hasAccepted = false;
        unsafe().read();
        if (hasAccepted && isActive()) {
            removeAndSubmit(readOps);
            eventLoop()
                    .schedule(
                            this::acceptAgain,
                            REREGISTRATION_DELAY.micros(),
                            TimeUnit.MICROSECONDS);
        }
        lastPolledAt = now;
        return hasAccepted;
    }

    /** Whether the last attempt to accept a connection has failed. */
    public boolean isFailing() {
        return accepts.isFailing() || preparations.isFailing();
    }

    private void acceptAgain() {
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    private void closeUnprepared() {
        if (unprepared != null) {
            SocketFactory.close(unprepared);
            unprepared = null;
        }
    }

    @Override
    protected void doClose() throws Exception {
        closeUnprepared();
        super.doClose();
    }
}
