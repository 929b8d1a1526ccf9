package gladewing.nodes;

import gladewing.events.Event;
import gladewing.frames.NodeFrames;
import gladewing.frames.PartAnswer;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryHolder;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ConnectionAttempt;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection to a data node: tracks the transmissions and probes in flight on it, holds back
 * writes until it is up, and handles the frames that the node sends.
 */
final class NodeConnection extends ChannelInboundHandlerAdapter
        implements MemoryHolder, IncomingFrames.Receiver {
    private static final Logger LOG = Logger.getLogger(NodeConnection.class.getName());

    private final NodeClient client;
    private final ConnectionPool pool;
    final NodeIncarnation incarnation;
    private final IncomingFrames frames;

    /**
     * Transmissions that the node still has to answer, by part id. Where withdrawals are not
     * allowed, they include those that have ended without an answer, such as by a time-out.
     */
    private final Map<String, InFlightTransmission> inFlight = new LinkedHashMap<>();

    /**
     * Withdrawn transmissions, by part id. The node need not answer them, but an answer may have
     * crossed the withdrawal, and must not be taken for that to a later transmission of the part.
     */
    private final Map<String, InFlightTransmission> withdrawn = new LinkedHashMap<>();

    private final Deque<Probe> probes = new ArrayDeque<>();
    private final List<Runnable> writesOnceUp = new ArrayList<>();

    /** The transmission that was answered last on this connection; null if that was forgotten. */
    private InFlightTransmission lastAnswered;

    private Channel channel;
    private boolean isUp;

    /** Whether it is still coming up after the connect timeout: nothing waits for it any more. */
    private boolean isComingUpLate;

    private boolean isClosed;

    /** How many transmissions on this connection have not ended. */
    private int awaitedTransmissions;

    private ChannelFuture lastWrite;
    private Time lastWriteAt;

    /** Since when an answer has been awaited and no frame has come; null while none is awaited. */
    private Time unansweredSince;

    /**
     * Total length of the periods since the last frame in which answers were awaited, and that
     * ended because none was awaited any longer.
     */
    private Span earlierSilence = Span.ZERO;

    /** What this connection is counted with in the memory of all connections to data nodes. */
    private int countedBytes;

    /** Since when part of a frame has been received; null if there is none. */
    private Time incompleteSince;

    /** Whether the socket is read once more in this pass, before frames are handed on. */
    private boolean isSecondReadDue;

    Time lastUsedAt;

    NodeConnection(NodeClient client, ConnectionPool pool) {
        this.client = client;
        this.pool = pool;
        this.incarnation = pool.incarnation;
        this.lastUsedAt = client.loop.enterPass();
        this.frames = new IncomingFrames(client.loop, client.options.connectTimeout(), this);
    }

    /** Sets the channel, which may not be connected yet. */
    void setChannel(Channel newChannel) {
        channel = newChannel;
        if (channel instanceof ResilientSocketChannel socket) {
            socket.setMaxWriteDelay(LifecycleRules.MAX_SEND_DELAY);
        }
    }

    boolean isUp() {
        return isUp;
    }

    boolean isComingUpLate() {
        return isComingUpLate;
    }

    /** Whether no answer is awaited on it. */
    boolean isIdle() {
        return awaitedTransmissions == 0 && probes.stream().allMatch(p -> p.isEnded);
    }

    /** The number of parts and probes that the node still has to answer. */
    int load() {
        return inFlight.size() + probes.size();
    }

    /**
     * Whether what was written in an earlier pass has not reached the socket: the node reads
     * nothing.
     */
    private boolean isBlocked() {
        return lastWrite != null
                && !lastWrite.isDone()
                && lastWriteAt.before(client.loop.enterPass());
    }

    /**
     * Whether answers have been awaited for at least twice the connect timeout in all without any
     * frame arriving. The path may be broken with both ends open while the node is well, so other
     * connections are preferred until a frame arrives.
     */
    boolean isSilent() {
        Span currentSilence =
                unansweredSince == null
                        ? Span.ZERO
                        : client.loop.enterPass().since(unansweredSince);
        return !client.options
                .connectTimeout()
                .times(2)
                .longerThan(earlierSilence.plus(currentSilence));
    }

    /** Prefers one that is not silent, then one that is up, then the one with the lower load. */
    boolean isBetterThan(NodeConnection other) {
        return isSilent() != other.isSilent()
                ? other.isSilent()
                : isUp != other.isUp ? isUp : load() < other.load();
    }

    /** Updates the silence measured so far after something ended without an answer. */
    void noLongerAwaited() {
        if (unansweredSince != null && isIdle()) {
            earlierSilence = earlierSilence.plus(client.loop.enterPass().since(unansweredSince));
            unansweredSince = null;
        }
    }

    /** Reads the socket if an answer is awaited on it and the selector may not watch it. */
    void pollIfUnwatched() {
        if (!isIdle() && channel instanceof ResilientSocketChannel socket) {
            socket.pollIfUnwatched();
        }
    }

    private void frameReceived() {
        earlierSilence = Span.ZERO;
        unansweredSince = isIdle() ? null : client.loop.enterPass();
    }

    /**
     * Whether a call can be sent on this connection: it is open, or coming up in time, and not
     * blocked, at most maxParts parts and probes are in flight with the call, and none of the
     * call's part ids is in flight or withdrawn here, as the answers could not be told apart.
     */
    boolean hasRoom(List<InFlightTransmission> call, int maxParts) {
        return !isClosed
                && !isComingUpLate
                && !isBlocked()
                && load() + call.size() <= maxParts
                && call.stream()
                        .noneMatch(
                                part ->
                                        inFlight.containsKey(part.id)
                                                || withdrawn.containsKey(part.id));
    }

    void send(List<InFlightTransmission> call) {
        for (InFlightTransmission part : call) {
            part.connection = this;
            inFlight.put(part.id, part);
            awaitedTransmissions++;
        }
        whenUp(() -> writeCall(call));
    }

    void send(Probe probe, char frameType) {
        probes.add(probe);
        probe.connection = this;
        whenUp(() -> probe.frameWrite = write(NodeFrames.probe(channel.alloc(), frameType)));
    }

    private void whenUp(Runnable write) {
        if (isUp) {
            write.run();
        } else {
            writesOnceUp.add(write);
        }
    }

    /**
     * Writes a call, which may have waited for the connection to come up. Parts that have ended in
     * the meantime are left out. So are, even where withdrawals are not allowed, the parts of a
     * multiget that has its final answer, and all parts if the node takes nothing new any more.
     */
    private void writeCall(List<InFlightTransmission> call) {
        Time now = client.loop.enterPass();
        call.stream().filter(part -> !maySend(part)).forEach(client::notSent);
        List<InFlightTransmission> remaining = call.stream().filter(part -> !part.isEnded).toList();
        if (!remaining.isEmpty()) {
            List<NodeFrames.CallPart> parts =
                    remaining.stream().map(part -> part.callPart(now)).toList();
            ChannelFuture frameWrite = write(NodeFrames.call(channel.alloc(), parts));
            frameWrite.addListener(done -> checkSent(frameWrite, now));
            for (InFlightTransmission part : remaining) {
                part.frameWrite = frameWrite;
                client.events.record(Event.TRANSMISSION_SENT, part.id, this);
            }
        }
    }

    private boolean maySend(InFlightTransmission part) {
        return client.rules.maySend(
                part.transmission.multiget.hasEnded(), !pool.takesNew(incarnation));
    }

    private void checkSent(ChannelFuture frameWrite, Time decidedAt) {
        if (frameWrite.isSuccess()) {
            client.rules.checkSent(Loop.readClock().since(decidedAt));
        }
    }

    private ChannelFuture write(ByteBuf frame) {
        lastUsedAt = client.loop.enterPass();
        lastWriteAt = lastUsedAt;
        if (unansweredSince == null && !isIdle()) {
            unansweredSince = lastUsedAt;
        }
        client.loop.flushAfterPass(channel);
        lastWrite = channel.write(frame);
        return lastWrite;
    }

    /**
     * Stops awaiting a transmission that ended without an answer. Tells the node to give it up if
     * withdrawals are allowed and its frame was written; where they are not, it occupies its place
     * until the node answers.
     */
    void drop(InFlightTransmission dropped, boolean withdrawalsAllowed) {
        awaitedTransmissions--;
        if (dropped.frameWrite == null) {
            inFlight.remove(dropped.id, dropped);
        } else if (withdrawalsAllowed) {
            inFlight.remove(dropped.id, dropped);
            withdrawn.put(dropped.id, dropped);
            write(NodeFrames.giveUp(channel.alloc(), dropped.id));
        }
        noLongerAwaited();
    }

    /**
     * Forgets withdrawn transmissions whose multiget has its final answer, and whose time-out or
     * withdrawal lies before the given times: the part is not sent again, and late answers have
     * arrived by then.
     */
    void forgetWithdrawn(Time timedOutBefore, Time withdrawnBefore) {
        if (lastAnswered != null && lastAnswered.transmission.multiget.hasEnded()) {
            lastAnswered = null;
        }
        withdrawn
                .values()
                .removeIf(
                        part ->
                                part.transmission.multiget.hasEnded()
                                        && (part.sentAt
                                                        .plus(part.transmission.timeout)
                                                        .before(timedOutBefore)
                                                || part.endedAt.before(withdrawnBefore)));
    }

    /** How many withdrawn transmissions are remembered. */
    int withdrawnCount() {
        return withdrawn.size();
    }

    private void countMemory() {
        client.memory.adjust(frames.heldBytes() - countedBytes);
        countedBytes = frames.heldBytes();
        incompleteSince =
                !frames.hasIncompleteFrame()
                        ? null
                        : incompleteSince == null ? lastUsedAt : incompleteSince;
    }

    @Override
    public long releasableBytes() {
        return isClosed ? 0 : frames.heldBytes();
    }

    @Override
    public Time heldSince() {
        return incompleteSince == null ? lastUsedAt : incompleteSince;
    }

    /** Closes the connection, which gives back what it has received of an incomplete frame. */
    @Override
    public void giveWay() {
        closeOnError("connections to data nodes hold too much memory");
    }

    void close() {
        if (channel != null) {
            ConnectionAttempt.close(channel);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        // Not before the pass has ended: it may still read that clients of what waits have left.
        client.loop.runInLaterPass(this::writeWaiting);
    }

    private void writeWaiting() {
        if (!isClosed) {
            isUp = true;
            isComingUpLate = false;
            lastUsedAt = client.loop.enterPass();
            writesOnceUp.forEach(Runnable::run);
            writesOnceUp.clear();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastUsedAt = client.loop.enterPass();
        frames.read((ByteBuf) message);
        if (!isSecondReadDue && frames.isAnyInDoubt()) {
            isSecondReadDue = true;
            client.loop.runAfterEvents(this::readAgain);
        }
        countMemory();
        client.limitMemory();
    }

    /**
     * Reads what has arrived since the socket was read in this pass. What a frame lacks because its
     * length is too short may have come in a segment of its own.
     */
    private void readAgain() {
        readSocket();
        isSecondReadDue = false;
        frames.socketEmptied();
        countMemory();
    }

    @Override
    public void readSocket() {
        if (channel instanceof ResilientSocketChannel socket) {
            socket.readNow();
        }
    }

    @Override
    public Span quietTimeBehind(PartAnswer answer) {
        InFlightTransmission answered = inFlight.get(answer.id());
        Time now = client.loop.enterPass();
        return answered == null || answered.isEnded
                ? Span.ZERO
                : client.spoiltAnswers.quietTime(now, answered.timeLeft(now));
    }

    @Override
    public boolean awaitsAnswer(String partId) {
        return inFlight.containsKey(partId) || withdrawn.containsKey(partId);
    }

    @Override
    public int awaitedProbes() {
        return probes.size();
    }

    @Override
    public void answerReceived(PartAnswer answer) {
        incompleteSince = null;
        lastAnswered = null;
        InFlightTransmission answered = inFlight.remove(answer.id());
        withdrawn.remove(answer.id());
        if (answered != null && !answered.isEnded) {
            awaitedTransmissions--;
            client.answered(answered, answer);
            lastAnswered = answer.status().equals(PartAnswer.OK) ? answered : null;
        }
        frameReceived();
    }

    @Override
    public void probeAnswerReceived(String report) {
        incompleteSince = null;
        lastAnswered = null;
        Probe probe = probes.poll();
        if (probe != null) {
            client.probeAnswered(probe, report);
        }
        frameReceived();
    }

    @Override
    public PartAnswer takeBackLastAnswer() {
        InFlightTransmission reopened = lastAnswered;
        lastAnswered = null;
        if (reopened == null || inFlight.containsKey(reopened.id)) {
            return null;
        }
        String value = client.reopen(reopened);
        if (value == null) {
            return null;
        }
        reopened.connection = this;
        inFlight.put(reopened.id, reopened);
        awaitedTransmissions++;
        return new PartAnswer(reopened.id, PartAnswer.OK, null, value);
    }

    @Override
    public void framesFailed(String reason) {
        client.spoiltAnswers.seen(client.loop.enterPass());
        closeOnError(reason);
    }

    private void closeOnError(String reason) {
        if (!isClosed) {
            client.events.record(Event.NODE_PROTOCOL_ERROR, this, reason);
            LOG.warning("connection to data node " + incarnation.address() + " closed: " + reason);
            frames.close();
            close();
            connectionLost();
        }
    }

    /**
     * Ends all that is in flight on the connection; how each ends depends on whether its frame was
     * written.
     */
    void connectionLost() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        client.loop.enterPass();
        frames.connectionEnded();
        client.remove(this, awaitedTransmissions > 0);
        endAllInFlight();
        lastAnswered = null;
        countMemory();
    }

    /**
     * Ends all that waits for the connection, as it has not come up in time. It goes on coming up
     * for later calls: a handshake that is slow each time would else never end.
     */
    void connectTimeoutExceeded() {
        isComingUpLate = true;
        if (awaitedTransmissions > 0) {
            pool.connectionBroke(client.loop.enterPass());
        }
        endAllInFlight();
        awaitedTransmissions = 0;
    }

    private void endAllInFlight() {
        new ArrayList<>(inFlight.values()).forEach(client::connectionLost);
        probes.forEach(client::connectionLost);
        inFlight.clear();
        probes.clear();
        writesOnceUp.clear();
    }

    /** The name and the address of the node. */
    @Override
    public String toString() {
        return pool.node + " at " + incarnation.address();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!isClosed) {
            client.events.record(Event.NODE_CLOSED_BY_NODE, this, awaitedTransmissions);
        }
        connectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        client.events.record(Event.NODE_CLOSED_ON_ERROR, this, cause);
        // I/O errors, such as a reset by the node, are not logged. Any other exception is a fault
        // of this program; it ends this connection only.
        if (!(cause instanceof IOException)) {
            LOG.log(
                    Level.SEVERE,
                    "connection to data node " + incarnation.address() + " closed",
                    cause);
        }
        close();
        connectionLost();
    }
}
