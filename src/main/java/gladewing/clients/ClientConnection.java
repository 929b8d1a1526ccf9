package gladewing.clients;

import gladewing.events.Event;
import gladewing.http.MessageReader;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryHolder;
import gladewing.lifecycle.ReadAllowance;
import gladewing.lifecycle.RequestIds;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ReadEvent;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One client's connection. It serves one request at a time: the next one is parsed only after the
 * response to the one before.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements MemoryHolder {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

    /**
     * How long a request may take to arrive. Clients send a request all at once, so one that is
     * still incomplete after this time will not be completed.
     */
    private static final Span REQUEST_READ_TIMEOUT = Span.ofMillis(2400);

    /** How long a client may read nothing of its responses. */
    private static final Span RESPONSE_READ_TIMEOUT = REQUEST_READ_TIMEOUT;

    /** How many requests of a connection are answered or begun in a row. */
    private static final int MAX_REQUESTS_PER_TURN = 64;

    /** A connection counts as new, and is the last to be closed for another, for this long. */
    private static final Span NEW_CONNECTION_PERIOD = Span.ofMillis(500);

    private final HttpServer server;
    private final RequestBuffer requests = new RequestBuffer();
    private Channel channel;

    /** The multiget that is being served, or null. */
    private ClientMultiget openMultiget;

    /** What handles the connection after an upgrade; null while it speaks HTTP. */
    private UpgradedConnection upgraded;

    /** Whether the client keeps the connection after the response to its last request. */
    private boolean keepAlive = true;

    /** Whether the connection is closed as soon as what has been read is answered. */
    private boolean closesOnceAnswered;

    /** Whether nothing more is read or sent: the connection is closed, or will be soon. */
    private boolean isClosing;

    /**
     * Whether what the client sends is dropped until its open multiget is answered, and the
     * connection is closed after that.
     */
    private boolean isDiscarding;

    private boolean continueSent;
    private ResponseWriter responses;

    /** What this connection is counted with in the memory of all connections of clients. */
    private long countedBytes;

    /**
     * When the client began to owe a complete request: when the connection was opened, and after
     * that at the first byte of each request. Null between requests.
     */
    private Time requestDueSince;

    private RequestTurns turns;
    private EndWatch endWatch;
    private WaitingDeadline waitingDeadline;

    Time lastReadAt;

    ClientConnection(HttpServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        responses = new ResponseWriter(server.loop, channel, this::countMemory);
        endWatch = new EndWatch(server.loop, channel, this::giveUpUnseen);
        waitingDeadline = new WaitingDeadline(server.loop, this::refuseDue);
        turns = new RequestTurns(server.loop, this::startRequests, this::processScheduled);
        lastReadAt = server.loop.enterPass();
        requestDueSince = lastReadAt;
        server.events.record(Event.CLIENT_CONNECTED, this, "");
        if (channel instanceof ResilientSocketChannel socket) {
            socket.setReadLimiter(this::readAllowance);
        }
        server.connectionOpened(this);
    }

    private int readAllowance(boolean wasExceeded, int readInTurn) {
        boolean isWaiting = upgraded != null || requests.hasComplete() || requests.hasRefusals();
        return ReadAllowance.bytes(server.loop.passDuration(), wasExceeded, readInTurn, isWaiting);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        lastReadAt = server.loop.enterPass();
        if (requestDueSince == null) {
            requestDueSince = lastReadAt;
        }
        Time readArrivedAt = earliestArrival();
        ByteBuf bytes = (ByteBuf) read;
        try {
            if (upgraded != null) {
                readUpgraded(bytes);
            } else if (!isClosing && !isDiscarding && !requests.append(bytes, readArrivedAt)) {
                // Bytes that arrive while the connection is closing are discarded.
                fail("more bytes at once than any request has");
            }
        } finally {
            bytes.release();
        }
        countMemory();
        server.limitMemory();
    }

    private void readUpgraded(ByteBuf bytes) {
        if (!isClosing && !requests.rest().append(bytes)) {
            fail("more bytes at once than any message has");
        }
        upgraded.read(requests.rest());
    }

    /** All that was to be read in this pass has been read, unless the socket says otherwise. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (upgraded == null) {
            server.loop.enterPass();
            processRequests();
            endWatch.turnEnded(openMultiget != null || requests.hasComplete());
        }
    }

    /**
     * Ends what is open and refuses what waits: the socket was not read to its end for long, so it
     * is not known whether the client is still there.
     */
    private void giveUpUnseen() {
        if (isClosing || upgraded != null) {
            return;
        }
        if (endWatch.isReadFailing()) {
            requests.refuseComplete();
        }
        if (openMultiget != null) {
            ClientMultiget unknown = openMultiget;
            server.events.record(Event.REQUEST_ABANDONED, unknown.id, "the socket can't be read");
            server.listener.clientDisconnected(unknown);
            unknown.givenUp();
        } else {
            processRequests();
        }
    }

    /** The earliest time at which bytes that were just read may have arrived. */
    private Time earliestArrival() {
        Time beforeStall = lastReadAt.minus(server.loop.stallBeforePass());
        Time unreadSince =
                channel instanceof ResilientSocketChannel socket ? socket.takeUnreadSince() : null;
        return unreadSince != null && unreadSince.before(beforeStall) ? unreadSince : beforeStall;
    }

    private void processRequests() {
        if (upgraded != null) {
            return;
        }
        turns.runNow();
        limitWaiting();
        countMemory();
    }

    /** Sees to it that requests that wait behind others are answered within their clients' time. */
    private void limitWaiting() {
        Time deadline = requests.earliestDeadline();
        if (openMultiget != null && deadline != null) {
            server.listener.limitDeadline(openMultiget, LifecycleRules.latestWait(deadline));
        }
        Time waiting = isClosing || upgraded != null ? null : requests.earliestWaitingDeadline();
        waitingDeadline.set(waiting == null ? null : LifecycleRules.latestWait(waiting));
    }

    private void refuseDue() {
        int refused = requests.refuseDue(server.loop.enterPass());
        server.events.record(Event.REQUEST_OVERDUE, this, refused);
        limitWaiting();
        turns.runInLaterPass();
    }

    private void processScheduled() {
        if (upgraded == null && requests.hasComplete()) {
            // Its client may have left since the socket was last read.
            endWatch.readNow();
        }
        processRequests();
    }

    private void startRequests() {
        int started = 0;
        // Nothing is answered or begun while the client does not read its responses.
        while (server.rules.mayAnswerNext(openMultiget != null, isClosing, channel.isWritable())) {
            if (started++ == MAX_REQUESTS_PER_TURN) {
                turns.runSoon();
                return;
            }
            if (requests.hasRefusals()) {
                requests.refusalAnswered();
                server.events.record(Event.REQUEST_SENT_AHEAD, this, requests.refusals());
                respond(Responses.UNAVAILABLE, "", "");
                if (requests.isEmpty()) {
                    requestDueSince = null;
                }
                continue;
            }
            MessageReader.Progress progress = requests.read();
            if (progress == MessageReader.Progress.INCOMPLETE) {
                sendContinueIfExpected();
                return;
            }
            if (!server.rules.mayBegin(endWatch.isUnread())) {
                return;
            }
            startNextRequest(progress == MessageReader.Progress.MESSAGE);
            if (upgraded != null) {
                return;
            }
        }
    }

    /**
     * Begins or answers the request that was read last.
     *
     * @param isValid whether it is a complete message; if it is not, nothing more can be read
     */
    private void startNextRequest(boolean isValid) {
        MessageReader message = requests.message();
        continueSent = false;
        requestDueSince = requests.hasFurther() ? lastReadAt : null;
        upgraded = isValid ? server.upgrade(this, channel, message) : null;
        if (upgraded != null) {
            upgraded.read(requests.rest());
            return;
        }
        keepAlive = !isValid || message.isKeepAlive();
        String page = isValid ? server.versionPage(message) : null;
        int status =
                page != null
                        ? RequestReader.READY
                        : isValid ? server.reader.read(message) : message.errorStatus();
        if (status == 0 && server.ids.begin(server.reader.id())) {
            startMultiget();
            return;
        }
        if (isValid) {
            requests.startNext();
        } else {
            requests.dropRest();
        }
        if (status == 0) {
            server.events.record(Event.REQUEST_ID_REPEATED, server.reader.id(), this);
            rejectAndClose(Responses.CONFLICT);
        } else if (page != null) {
            respond(status, "", page);
        } else if (status == RequestReader.READY) {
            respond(server.isReady() ? status : Responses.UNAVAILABLE, "", "");
        } else {
            rejectAndClose(status);
        }
    }

    /**
     * Routes the multiget that was read last, once, and accepts or rejects it before any of its
     * parts is sent.
     */
    private void startMultiget() {
        RequestReader reader = server.reader;
        // The client's time has been running while the request waited to be read, or waited for
        // the end of the one before it.
        Span waited = server.loop.enterPass().since(requests.arrivedAt());
        Span timeLeft = server.limitToDeadline(reader.timeLeft().minus(waited));
        RequestAdmission.Admission admission =
                server.admission.admit(reader, timeLeft, server.loop.enterPass());
        requests.startNext();
        if (admission.isRefused()) {
            server.ids.refused(reader.id());
            respond(admission.refusalStatus(), admission.refusalHeaders(), "");
            return;
        }
        openMultiget =
                reader.newMultiget(
                        this,
                        timeLeft,
                        admission.product(),
                        admission.tenant(),
                        admission.retryPolicy());
        server.events.record(Event.REQUEST_ACCEPTED, reader.id(), acceptance(timeLeft, waited));
        endWatch.requestBegan();
        server.listener.multigetReceived(openMultiget);
    }

    /** Describes the acceptance of a request for the log of events. */
    private Object acceptance(Span timeLeft, Span waited) {
        if (!server.events.isLogged()) {
            return timeLeft;
        }
        return timeLeft.millis() + " ms left, waited " + waited.millis() + " ms, from " + this;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (upgraded != null) {
            upgraded.writabilityChanged(channel.isWritable());
        } else {
            turns.runSoon();
        }
    }

    /**
     * Withdraws the open multiget in the pass that reads the end of the connection, so that nothing
     * is sent for it.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ReadEvent read && read.isEnd()) {
            server.loop.enterPass();
            server.events.record(Event.CLIENT_ENDED, this, ending(read));
            boolean wasOpen = abandonMultiget();
            if (read == ReadEvent.CLOSED && upgraded == null) {
                answerBeforeEnd(wasOpen);
            }
            requests.clear();
        }
    }

    /**
     * Ends everything with an answer, as far as the socket takes it at once: a client may have
     * closed its sending half alone, and still be there to read.
     *
     * @param wasOpen whether a multiget was open
     */
    private void answerBeforeEnd(boolean wasOpen) {
        if (isClosing) {
            requests.clear();
        }
        isClosing = true;
        requests.refuseComplete();
        if (wasOpen) {
            responses.write(Responses.GIVEN_UP, "", "", !requests.hasRefusals());
        }
        while (requests.hasRefusals() && channel.isWritable()) {
            requests.refusalAnswered();
            responses.write(Responses.UNAVAILABLE, "", "", !requests.hasRefusals());
        }
        channel.flush();
    }

    /** Describes the end of the connection for the log of events. */
    private Object ending(ReadEvent read) {
        if (!server.events.isLogged()) {
            return read;
        }
        return read
                + ", "
                + (openMultiget == null ? "nothing" : openMultiget.id)
                + " open, "
                + requests.refusals()
                + " requests refused and "
                + requests.rest().size()
                + " bytes not begun, "
                + responses.unwrittenBytes()
                + " bytes not written";
    }

    /** Withdraws the open multiget, as its client has left; returns whether there was one. */
    private boolean abandonMultiget() {
        if (openMultiget == null) {
            return false;
        }
        ClientMultiget abandoned = openMultiget;
        openMultiget = null;
        endWatch.requestEnded();
        server.events.record(Event.REQUEST_ABANDONED, abandoned.id, this);
        server.listener.clientDisconnected(abandoned);
        return true;
    }

    private void sendContinueIfExpected() {
        if (requests.message().expectsContinue() && !continueSent) {
            continueSent = true;
            channel.write(Unpooled.copiedBuffer(Responses.CONTINUE, StandardCharsets.ISO_8859_1));
            server.loop.flushAfterPass(channel);
        }
    }

    /** Decides what becomes of the id of a multiget of which nothing is awaited any more. */
    void multigetSettled(ClientMultiget multiget) {
        server.ids.ended(
                multiget.id,
                server.reader.catalog().isRepeatable(multiget.product),
                multiget.mayStillRun()
                        ? RequestIds.Trace.MAY_RUN
                        : multiget.mayHaveRun() ? RequestIds.Trace.RUN : RequestIds.Trace.NOT_RUN);
    }

    /** Sends the final answer to a multiget, unless it has had one. */
    void answer(ClientMultiget multiget, int status, String headers, String body) {
        boolean isOpen = multiget == openMultiget;
        server.rules.checkAnswered(isOpen);
        if (isOpen) {
            respond(status, headers, body);
        }
    }

    /**
     * Sends the response to the request that was read last.
     *
     * @param headers further header lines, each ended by CRLF
     */
    void respond(int status, String headers, String body) {
        boolean wasOpen = openMultiget != null;
        if (wasOpen) {
            server.events.record(Event.REQUEST_ANSWERED, openMultiget.id, status);
            openMultiget = null;
            endWatch.requestEnded();
        } else {
            server.events.record(Event.REQUEST_REFUSED, this, status);
        }
        if (isClosing) {
            return;
        }
        isClosing = !keepAlive || isLastResponse();
        responses.write(status, headers, body, isClosing);
        if (isClosing) {
            responses.closeOnceWritten();
        } else if (wasOpen) {
            turns.runInLaterPass();
        }
    }

    /**
     * Whether the connection is closed after the next response. If that is due, what has been read
     * and can't be served any more is refused first.
     */
    private boolean isLastResponse() {
        closesOnceAnswered |= server.closesAfterResponse();
        if (closesOnceAnswered) {
            requests.refuseComplete();
        }
        return closesOnceAnswered && !requests.hasRefusals();
    }

    /** Updates what this connection is counted with; after an upgrade it counts elsewhere. */
    private void countMemory() {
        long bytes = upgraded != null ? 0 : heldBytes();
        server.memory.adjust(bytes - countedBytes);
        countedBytes = bytes;
    }

    private long heldBytes() {
        return requests.heldBytes() + responses.unwrittenBytes();
    }

    @Override
    public long releasableBytes() {
        if (!channel.isOpen()) {
            return 0;
        }
        return requests.heldBytes() + (isBlocked() ? responses.unwrittenBytes() : 0);
    }

    @Override
    public Time heldSince() {
        return requestDueSince == null ? lastReadAt : requestDueSince;
    }

    /**
     * Gives back the memory of what the client has sent, and of responses that it does not read. A
     * request that is not complete is refused; what follows an open one is dropped.
     */
    @Override
    public void giveWay() {
        server.events.record(Event.CLIENT_OVER_MEMORY, this, heldBytes());
        requests.refuseComplete();
        boolean isIncomplete = requests.dropRest();
        if (openMultiget != null) {
            isDiscarding |= isIncomplete;
            closesOnceAnswered |= isIncomplete;
        } else if (isBlocked()) {
            close();
        } else if (!isClosing) {
            rejectAndClose(Responses.UNAVAILABLE);
        }
        countMemory();
    }

    /** Whether the client does not read its responses, and waits for none. */
    private boolean isBlocked() {
        return openMultiget == null && responses.isBlocked();
    }

    /** Responds with an error status, and closes the connection once all is answered. */
    private void rejectAndClose(int status) {
        closesOnceAnswered = true;
        respond(status, "", "");
    }

    /** Reads the socket again if a multiget is open, as its client may have left meanwhile. */
    void readAgainIfOpen() {
        if (openMultiget != null) {
            endWatch.readNow();
        }
    }

    /** Reads the socket if the selector may not watch it. */
    void pollIfUnwatched() {
        endWatch.pollIfUnwatched();
    }

    /**
     * Answers 408 and closes the connection if the client has not completed a request in time, even
     * if it keeps sending single bytes; closes it with no answer if the client does not read. An
     * idle connection between requests may stay.
     */
    void closeIfStalled(Time now) {
        if (openMultiget == null && responses.stall(now).longerThan(RESPONSE_READ_TIMEOUT)) {
            server.events.record(Event.CLIENT_NOT_READING, this, responses.unwrittenBytes());
            close();
        } else if (openMultiget == null
                && !isClosing
                && requestDueSince != null
                && now.since(requestDueSince).longerThan(REQUEST_READ_TIMEOUT)) {
            rejectAndClose(Responses.TIMED_OUT);
        }
    }

    /**
     * Rank of this connection when one has to be closed to make room for another: the lowest is
     * closed first, and a negative one never is.
     */
    int evictionRank(Time now) {
        if (!mayClose()) {
            return -1;
        }
        if (isClosing) {
            return 1;
        }
        // A client that has had a response asks again over a new connection. One that has not would
        // see its first request fail, so a new connection goes last.
        return requestDueSince == null
                ? 0
                : now.since(requestDueSince).longerThan(NEW_CONNECTION_PERIOD) ? 2 : 3;
    }

    private boolean mayClose() {
        return server.rules.mayClose(openMultiget != null, responses.isResponding());
    }

    boolean isIdle() {
        return mayClose() && requests.isEmpty();
    }

    void close() {
        server.rules.checkClosed(openMultiget != null);
        isClosing = true;
        channel.close();
    }

    /** The address of the client. */
    @Override
    public String toString() {
        return String.valueOf(channel == null ? null : channel.remoteAddress());
    }

    private void fail(String reason) {
        server.events.record(Event.CLIENT_CLOSED_ON_ERROR, this, reason);
        LOG.warning("connection to a client closed: " + reason);
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.loop.enterPass();
        isClosing = true;
        server.events.record(Event.CLIENT_CLOSED, this, "");
        server.connectionClosed(this);
        if (upgraded != null) {
            upgraded.connectionClosed();
        }
        abandonMultiget();
        requests.clear();
        endWatch.stop();
        waitingDeadline.set(null);
        countMemory();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.events.record(Event.CLIENT_CLOSED_ON_ERROR, this, cause);
        // An IOException means that the client has reset its connection. Anything else is a fault
        // of this program; it ends with this connection.
        if (!(cause instanceof IOException)) {
            LOG.log(Level.SEVERE, "connection to a client closed", cause);
        }
        context.close();
    }
}
