package gladewing.sockets;

import gladewing.lifecycle.FailedCallPolicy;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection that stays open when a read or a write of its socket fails, and repeats it as {@link
 * FailedCallPolicy} says. Netty closes the connection at once, and with it the requests that are
 * open on it. A connection that the other side has reset or closed ends as ever.
 */
public final class ResilientSocketChannel extends NioSocketChannel {
    /** What the JDK returns for a read that a signal has interrupted (sun.nio.ch.IOStatus). */
    private static final int INTERRUPTED = -3;

    /**
     * How long reads or writes may fail. A request may live for 3 s by the protocol; afterwards
     * there is nothing left to save.
     */
    private static final FailedCallPolicy POLICY = new FailedCallPolicy(Span.ofMillis(3000));

    /** How long what is left of a write waits for the selector, which may not watch the socket. */
    private static final Span FLUSH_CHECK_DELAY = Span.ofMillis(25);

    /** How long a socket stays unregistered for the selector to take it on anew. */
    private static final Span REREGISTRATION_DELAY = Span.ofMillis(1);

    /** How often a socket is read in a row; more than a request and the end after it need. */
    private static final int MAX_READS = 32;

    private static final Span NO_LIMIT = new Span(Long.MAX_VALUE);

    /** Decides how much of a socket is read before others have their turn. */
    public interface ReadLimiter {
        /**
         * Returns how many bytes may be read next; 0 leaves the rest for a later turn.
         *
         * @param wasExceeded whether the last turn ended that way
         * @param readInTurn what was read in this turn before, in bytes
         */
        int maxBytes(boolean wasExceeded, int readInTurn);
    }

    private final FailureSeries reads = new FailureSeries(POLICY);
    private final FailureSeries writes = new FailureSeries(POLICY);

    /** Whether reading pauses until a failed read is repeated. */
    private boolean isReadPaused;

    /**
     * Whether the selector has told of bytes since it was asked to watch the socket. The JDK does
     * not report a failure to register a socket with epoll, so until then it may not be watched.
     */
    private boolean isWatchConfirmed;

    /** The selector that {@link #isWatchConfirmed} is about; Netty may replace it. */
    private Selector watchingSelector;

    /** Whether the socket is being read without the selector having told of bytes. */
    private boolean isPolling;

    private boolean hasPollFoundBytes;

    /** Whether the last read that the selector had told to make has found nothing. */
    private boolean wasLastReadEmpty;

    /** Whether the selector has told of bytes, and a read has found none. */
    private boolean isEmptinessDisputed;

    /** Whether the last read has found that nothing is left to be read. */
    private boolean isReadToEnd;

    /** When the socket was last known to hold no unread bytes while it may not be watched. */
    private Time lastPolledAt;

    private boolean isFlushCheckScheduled;

    /** Since when something that was written has not been taken by the socket; null for nothing. */
    private Time blockedSince;

    /** When the socket has last taken something, or had nothing to take. */
    private Time writeProgressAt;

    private Span maxWriteDelay = NO_LIMIT;

    private ReadLimiter readLimiter = (wasExceeded, readInTurn) -> Integer.MAX_VALUE;

    /** Whether the next read begins a turn. */
    private boolean isTurnOver = true;

    /** What was read in this turn, in bytes. */
    private int readInTurn;

    /** Whether this turn has ended as nothing more may be read in it. */
    private boolean isAllowanceExceeded;

    /** Whether the turn before has. */
    private boolean wasAllowanceExceeded;

    /** Whether TCP_NODELAY is still to be set, as that has failed so far. */
    private boolean needsNoDelay;

    /**
     * The earliest time at which what is read next may have arrived; null if it is read as soon as
     * it arrives.
     */
    private Time unreadSince;

    /** A connection to be opened. */
    ResilientSocketChannel(SocketChannel socket) {
        super(socket);
        setNoDelay();
    }

    /**
     * A connection that was accepted.
     *
     * @param waitingSince the earliest time at which it may have come up; null for now
     */
    ResilientSocketChannel(Channel acceptor, SocketChannel socket, Time waitingSince) {
        super(acceptor, socket);
        unreadSince = waitingSince;
        // Reads until nothing is left, so that a request whose client has left already is seen to
        // have been left in the pass that reads it, before anything is sent for it.
        AdaptiveRecvByteBufAllocator untilEmpty = new AdaptiveRecvByteBufAllocator();
        untilEmpty.respectMaybeMoreData(false);
        untilEmpty.maxMessagesPerRead(MAX_READS);
        config().setRecvByteBufAllocator(untilEmpty);
        setNoDelay();
    }

    private void setNoDelay() {
        try {
            config().setTcpNoDelay(true);
            needsNoDelay = false;
        } catch (ChannelException failure) {
            needsNoDelay = true;
        }
    }

    /**
     * Sets how long the socket may take for what was written. After that nothing more is handed to
     * it, and the connection is closed. There is no limit at first.
     */
    public void setMaxWriteDelay(Span delay) {
        maxWriteDelay = delay;
    }

    /** Sets what decides how much is read in a turn. There is no limit at first. */
    public void setReadLimiter(ReadLimiter limiter) {
        readLimiter = limiter;
    }

    @Override
    protected void doBeginRead() throws Exception {
        isTurnOver = true;
        if (isReadPaused) {
            return;
        }
        if (registration().isValid() && !readOps.isIncludedIn(selectionKeyInUse().interestOps())) {
            isWatchConfirmed = false;
            watchingSelector = selectionKeyInUse().selector();
            lastPolledAt = Loop.readClock();
        }
        super.doBeginRead();
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        isReadToEnd = false;
        beginTurnIfDue();
        if (isAllowanceExceeded) {
            return 0;
        }
        int allowance = readLimiter.maxBytes(wasAllowanceExceeded, readInTurn);
        // One byte more tells whether there is anything beyond the allowance.
        isAllowanceExceeded = allowance == 0;
        allowance = Math.max(1, allowance);
        int count;
        try {
            count = readSocket(target, allowance);
            readInTurn += Math.max(0, count);
        } catch (SocketException | ClosedChannelException ended) {
            // The JDK tells a reset by the other side from all other failures by its type.
            pipeline().fireUserEventTriggered(ReadEvent.RESET);
            throw ended;
        } catch (IOException failure) {
            return repeatRead(failure);
        }
        if (count == INTERRUPTED) {
            return repeatRead(new InterruptedIOException());
        }
        if (count == 0) {
            isAllowanceExceeded = false;
            return nothingRead();
        }
        wasLastReadEmpty = false;
        isEmptinessDisputed = false;
        reads.succeeded();
        if (count < 0) {
            pipeline().fireUserEventTriggered(ReadEvent.CLOSED);
        }
        hasPollFoundBytes = isPolling;
        isWatchConfirmed = !isPolling;
        return count;
    }

    private void beginTurnIfDue() {
        if (isTurnOver) {
            isTurnOver = false;
            wasAllowanceExceeded = isAllowanceExceeded;
            isAllowanceExceeded = false;
            readInTurn = 0;
        }
    }

    private int readSocket(ByteBuf target, int maxBytes) throws IOException {
        int wanted = Math.min(target.writableBytes(), maxBytes);
        unsafe().recvBufAllocHandle().attemptedBytesRead(wanted);
        return target.writeBytes(javaChannel(), wanted);
    }

    /**
     * Takes it for a failure if the selector tells of bytes twice in a row and there are none; the
     * first time, they have just been read.
     */
    private int nothingRead() throws IOException {
        if (isPolling) {
            if (!isEmptinessDisputed) {
                isReadToEnd = true;
                reads.succeeded();
            }
            return 0;
        }
        if (wasLastReadEmpty) {
            isEmptinessDisputed = true;
            return repeatRead(new IOException("readable, but there is nothing to read"));
        }
        wasLastReadEmpty = true;
        isReadToEnd = true;
        return 0;
    }

    /** Pauses reading; returns the number of bytes that were read. */
    private int repeatRead(IOException failure) throws IOException {
        Time now = Loop.readClock();
        Span delay = reads.failed(now);
        if (unreadSince == null) {
            unreadSince = now;
        }
        if (delay == null) {
            throw failure;
        }
        isReadPaused = true;
        removeAndSubmit(readOps);
        pipeline().fireUserEventTriggered(ReadEvent.FAILED);
        schedule(this::resumeReading, delay);
        return 0;
    }

    private void resumeReading() {
        isReadPaused = false;
        if (isActive() && config().isAutoRead()) {
            read();
            poll();
        }
    }

    /**
     * Reads the socket if the selector may not watch it. If that finds bytes, the socket is
     * registered anew.
     */
    public void pollIfUnwatched() {
        if (!isActive() || isReadPaused || !config().isAutoRead()) {
            return;
        }
        if (isWatched()) {
            return;
        }
        Time lastKnownEmpty = lastPolledAt;
        boolean wasUnread = unreadSince != null;
        if (!wasUnread) {
            unreadSince = lastKnownEmpty;
        }
        poll();
        if (hasPollFoundBytes && isActive()) {
            removeAndSubmit(readOps);
            schedule(this::readAgain, REREGISTRATION_DELAY);
        } else if (!wasUnread) {
            unreadSince = null;
        }
        lastPolledAt = Loop.readClock();
    }

    /** Reads the socket now, unless reading pauses; the selector need not have told of anything. */
    public void readNow() {
        if (isActive() && !isReadPaused) {
            poll();
        }
    }

    /** Whether it is known that the selector watches the socket for bytes. */
    public boolean isWatched() {
        Selector selector = selectionKeyInUse().selector();
        if (selector != watchingSelector) {
            watchingSelector = selector;
            isWatchConfirmed = false;
        }
        return isWatchConfirmed;
    }

    private SelectionKey selectionKeyInUse() {
        return registration().attachment();
    }

    private void poll() {
        isPolling = true;
        hasPollFoundBytes = false;
        isTurnOver = true;
        unsafe().read();
        isPolling = false;
    }

    private void readAgain() {
        if (isActive() && config().isAutoRead()) {
            read();
        }
    }

    /** Whether the last read has failed, so that it is not known what the other side does. */
    public boolean isReadFailing() {
        return reads.isFailing();
    }

    /**
     * Whether everything that has arrived was read. If not, as reads fail or much has arrived, the
     * other side may have ended the connection unnoticed.
     */
    public boolean isReadToEnd() {
        return isReadToEnd;
    }

    /**
     * Returns the earliest time at which the bytes that were just read may have arrived, if they
     * may have waited because a call failed; otherwise null.
     */
    public Time takeUnreadSince() {
        Time since = unreadSince;
        unreadSince = null;
        return since;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        if (needsNoDelay) {
            setNoDelay();
        }
        Time now = Loop.readClock();
        if (blockedSince != null && now.since(blockedSince).longerThan(maxWriteDelay)) {
            throw new IOException("the socket has not taken in time what was written");
        }
        long pendingBytes = pending.totalPendingWriteBytes();
        if (writeProgressAt == null) {
            writeProgressAt = now;
        }
        try {
            super.doWrite(pending);
            writes.succeeded();
            if (pending.totalPendingWriteBytes() < pendingBytes) {
                writeProgressAt = now;
            }
            if (pending.isEmpty()) {
                blockedSince = null;
                writeProgressAt = null;
            } else {
                checkFlushLater(now);
            }
        } catch (ClosedChannelException ended) {
            throw ended;
        } catch (IOException failure) {
            // A connection that has ended is noticed by reading, so failed writes need not tell.
            Span delay = writes.failed(now);
            if (delay == null) {
                throw failure;
            }
            checkFlushLater(now);
            clearOpWrite();
            schedule(unsafe()::forceFlush, delay);
        }
    }

    /** How long the socket has taken nothing of what is to be written; zero without any. */
    public Span writeStall(Time now) {
        return writeProgressAt == null ? Span.ZERO : now.since(writeProgressAt);
    }

    private void checkFlushLater(Time now) {
        if (blockedSince == null) {
            blockedSince = now;
        }
        if (!isFlushCheckScheduled) {
            isFlushCheckScheduled = true;
            schedule(this::checkFlush, FLUSH_CHECK_DELAY);
        }
    }

    private void checkFlush() {
        isFlushCheckScheduled = false;
        unsafe().forceFlush();
    }

    private void schedule(Runnable task, Span delay) {
        eventLoop().schedule(task, delay.micros(), TimeUnit.MICROSECONDS);
    }
}
