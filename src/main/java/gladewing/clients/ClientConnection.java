package gladewing.clients;

import gladewing.buffer.ConnectionBuffer;
import gladewing.events.Event;
import gladewing.http.MessageReader;
import gladewing.lifecycle.LifecycleRules;
import gladewing.lifecycle.MemoryHolder;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.routes.RoutingDecision;
import gladewing.sockets.ReadEvent;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
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

    /** How long a connection that is closed for writing stays open for reading. */
    private static final Span LINGER = Span.ofMillis(1000);

    /**
     * How long a request may take to arrive. Clients send a request all at once, so one that is
     * still incomplete after this time will not be completed.
     */
    private static final Span REQUEST_READ_TIMEOUT = Span.ofMillis(2400);

    /** A connection counts as new, and is the last to be closed for another, for this long. */
    private static final Span NEW_CONNECTION_PERIOD = Span.ofMillis(500);

    private final HttpServer server;
    private final ConnectionBuffer received =
            new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
    private final MessageReader message = new MessageReader();
    private Channel channel;

    /** The multiget that is being served, or null. */
    private ClientMultiget openMultiget;

    /** The time of the pass in which the open multiget began; its parts are sent at the end. */
    private Time openedAt;

    /** What handles the connection after an upgrade; null while it speaks HTTP. */
    private UpgradedConnection upgraded;

    private boolean keepAlive = true;

    /** Whether nothing more is read or sent: the connection is closed, or will be soon. */
    private boolean isClosing;

    /**
     * Whether what the client sends is dropped until its open multiget is answered, and the
     * connection is closed after that.
     */
    private boolean isDiscarding;

    private boolean continueSent;
    private ChannelFuture lastResponse;
    private Time lastResponseAt;

    /** Bytes of responses that the socket has not taken. */
    private int unwrittenBytes;

    /** What this connection is counted with in the memory of all connections of clients. */
    private long countedBytes;

    /**
     * When the client began to owe a complete request: when the connection was opened, and after
     * that at the first byte of each request. Null between requests.
     */
    private Time requestDueSince;

    /**
     * The earliest time at which the bytes in {@link #received} may have arrived at this machine;
     * null while they are the start of a single request.
     */
    private Time arrivedAt;

    Time lastReadAt;

    ClientConnection(HttpServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReadAt = server.loop.enterPass();
        requestDueSince = lastReadAt;
        server.events.record(Event.CLIENT_CONNECTED, this, "");
        server.connectionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        lastReadAt = server.loop.enterPass();
        if (requestDueSince == null) {
            requestDueSince = lastReadAt;
        }
        Time readArrivedAt = earliestArrival();
        if (arrivedAt == null) {
            arrivedAt = readArrivedAt;
        }
        ByteBuf bytes = (ByteBuf) read;
        try {
            // Bytes that arrive while the connection is closing are discarded.
            if (!isClosing && !isDiscarding && !received.append(bytes)) {
                fail("more bytes at once than any request has");
            }
        } finally {
            bytes.release();
        }
        if (upgraded != null) {
            upgraded.read(received);
        } else {
            processRequests();
            server.limitMemory();
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
        startRequests();
        countMemory();
    }

    private void startRequests() {
        // No more requests are processed while the client does not read its responses.
        while (server.rules.mayStart(openMultiget != null, isClosing, channel.isWritable())) {
            MessageReader.Progress progress = message.read(received);
            if (progress == MessageReader.Progress.INCOMPLETE) {
                arrivedAt = null;
                sendContinueIfExpected();
                break;
            }
            continueSent = false;
            requestDueSince = received.size() == 0 ? null : lastReadAt;
            boolean isValid = progress == MessageReader.Progress.MESSAGE;
            upgraded = isValid ? server.upgrade(this, channel, message) : null;
            if (upgraded != null) {
                upgraded.read(received);
                return;
            }
            keepAlive = isValid && message.isKeepAlive();
            String page = isValid ? server.versionPage(message) : null;
            if (page != null) {
                respond(RequestReader.READY, "", page);
                message.startNextMessage();
                continue;
            }
            int status = isValid ? server.reader.read(message) : message.errorStatus();
            if (status == 0 && !server.reserveId(server.reader.id())) {
                rejectAndClose(Responses.CONFLICT);
            } else if (status == 0) {
                startMultiget();
            } else if (status == RequestReader.READY) {
                respond(server.isReady() ? status : Responses.UNAVAILABLE, "", "");
            } else {
                rejectAndClose(status);
            }
            message.startNextMessage();
        }
        // Reading stops only when the buffer is half full, because a close by the client must be
        // noticed while its multiget is open. What it sends beyond that waits in the socket.
        channel.config().setAutoRead(received.size() < MessageReader.MAX_BUFFERED_BYTES / 2);
    }

    /**
     * Routes the multiget that was read last, once, and accepts or rejects it before any of its
     * parts is sent.
     */
    private void startMultiget() {
        RequestReader reader = server.reader;
        // The client's time has been running while the request waited to be read, or waited for
        // the end of the one before it.
        Span waited = server.loop.enterPass().since(arrivedAt);
        Span timeLeft = server.limitToDeadline(reader.timeLeft().minus(waited));
        openedAt = server.loop.enterPass();
        RoutingDecision decision = server.route(timeLeft);
        if (decision != null && decision.isDismissed()) {
            server.releaseId(reader.id());
            respond(
                    Responses.TOO_MANY,
                    Responses.retryAfter(new Span(decision.retryAfterMicros())),
                    "");
            return;
        }
        if (!server.listener.mayAccept(reader.textSize())) {
            server.releaseId(reader.id());
            respond(Responses.UNAVAILABLE, "", "");
            return;
        }
        int product =
                decision == null ? reader.product() : decision.servedProduct(reader.product());
        if (server.isProductClosed(product)) {
            server.releaseId(reader.id());
            respond(Responses.UNAVAILABLE, "", "");
            return;
        }
        int tenant = decision == null ? reader.tenant() : decision.servedTenant(reader.tenant());
        openMultiget =
                reader.newMultiget(
                        this, timeLeft, product, tenant, server.retryPolicyFor(product, decision));
        server.events.record(Event.REQUEST_ACCEPTED, reader.id(), acceptance(timeLeft, waited));
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
            server.loop.runInLaterPass(this::processRequests);
        }
    }

    /**
     * Withdraws the open multiget in the pass that reads the end of the connection, so that nothing
     * is sent for it, and gives it up if reads keep failing: it is not known then whether the
     * client is still there.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ReadEvent read && read.isEnd()) {
            server.loop.enterPass();
            server.events.record(Event.CLIENT_ENDED, this, ending(read));
            abandonMultiget();
        } else if (event == ReadEvent.FAILED && openMultiget != null) {
            ClientMultiget unknown = openMultiget;
            if (server.loop.enterPass().equals(openedAt)) {
                // Its client may have left long ago, and nothing has been sent for it yet.
                giveUpIfUnread(unknown);
            } else {
                server.loop.schedule(
                        LifecycleRules.MAX_READ_FAILURE, () -> giveUpIfUnread(unknown));
            }
        }
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
                + received.size()
                + " bytes not begun, "
                + unwrittenBytes
                + " bytes not written";
    }

    private void giveUpIfUnread(ClientMultiget multiget) {
        if (multiget == openMultiget
                && channel instanceof ResilientSocketChannel socket
                && socket.isReadFailing()) {
            server.events.record(Event.REQUEST_ABANDONED, multiget.id, ReadEvent.FAILED);
            server.listener.clientDisconnected(multiget);
            multiget.givenUp();
        }
    }

    /** Withdraws the open multiget, as its client has left. */
    private void abandonMultiget() {
        if (openMultiget != null) {
            ClientMultiget abandoned = openMultiget;
            openMultiget = null;
            server.releaseId(abandoned.id);
            server.events.record(Event.REQUEST_ABANDONED, abandoned.id, this);
            server.listener.clientDisconnected(abandoned);
        }
    }

    private void sendContinueIfExpected() {
        if (message.expectsContinue() && !continueSent) {
            continueSent = true;
            channel.write(Unpooled.copiedBuffer(Responses.CONTINUE, StandardCharsets.ISO_8859_1));
            server.loop.flushAfterPass(channel);
        }
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
            server.releaseId(openMultiget.id);
            openMultiget = null;
        } else {
            server.events.record(Event.REQUEST_REFUSED, this, status);
        }
        if (isClosing) {
            return;
        }
        keepAlive &= !isDiscarding && !server.closesAfterResponse();
        isClosing = !keepAlive;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteBuf out = channel.alloc().buffer(256 + bytes.length);
        String head = Responses.head(status, headers, bytes.length, keepAlive);
        out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        out.writeBytes(bytes);
        int length = out.readableBytes();
        unwrittenBytes += length;
        ChannelFuture written = channel.write(out);
        written.addListener(done -> responseWritten(length));
        lastResponse = written;
        lastResponseAt = server.loop.enterPass();
        server.loop.flushAfterPass(channel);
        if (isClosing) {
            written.addListener(done -> closeAfterLinger());
        } else if (wasOpen) {
            // Requests that arrived in the meantime are processed in a pass of their own.
            server.loop.runInLaterPass(this::processRequests);
        }
    }

    private void responseWritten(int length) {
        unwrittenBytes -= length;
        countMemory();
    }

    /** Updates what this connection is counted with; after an upgrade it counts elsewhere. */
    private void countMemory() {
        long bytes = upgraded != null ? 0 : heldBytes();
        server.memory.adjust(bytes - countedBytes);
        countedBytes = bytes;
    }

    private long heldBytes() {
        return received.capacity() + message.heldBytes() + unwrittenBytes;
    }

    @Override
    public long releasableBytes() {
        if (!channel.isOpen()) {
            return 0;
        }
        return received.capacity() + message.heldBytes() + (isBlocked() ? unwrittenBytes : 0);
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
        received.clear();
        message.startNextMessage();
        if (openMultiget != null) {
            isDiscarding = true;
            channel.config().setAutoRead(true);
        } else if (isBlocked()) {
            close();
        } else if (!isClosing) {
            rejectAndClose(Responses.UNAVAILABLE);
        }
        countMemory();
    }

    /** Whether the client does not read its responses: one of an earlier pass is not written. */
    private boolean isBlocked() {
        return openMultiget == null
                && isResponding()
                && lastResponseAt.before(server.loop.enterPass());
    }

    /**
     * Closes the sending side now and the rest after the linger time. Closing a socket that has
     * unread bytes would reset the connection, and the response could be lost.
     */
    private void closeAfterLinger() {
        ((SocketChannel) channel).shutdownOutput();
        server.loop.schedule(LINGER, channel::close);
    }

    /** Responds with an error status, and closes the connection after it. */
    private void rejectAndClose(int status) {
        keepAlive = false;
        respond(status, "", "");
    }

    /** Reads the socket if the selector may not watch it. */
    void pollIfUnwatched() {
        if (channel instanceof ResilientSocketChannel socket) {
            socket.pollIfUnwatched();
        }
    }

    /**
     * Answers 408 and closes the connection if the client has not completed a request in time, even
     * if it keeps sending single bytes. An idle connection between requests may stay.
     */
    void closeIfStalled(Time now) {
        if (openMultiget == null
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

    /**
     * Whether a response is not written out yet: it leaves at the end of its pass, or later if the
     * client is slow to read. Closing the connection would lose it.
     */
    private boolean isResponding() {
        return lastResponse != null && !lastResponse.isDone();
    }

    private boolean mayClose() {
        return server.rules.mayClose(openMultiget != null, isResponding());
    }

    boolean isIdle() {
        return mayClose() && !message.isMidMessage() && received.size() == 0;
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
        received.clear();
        message.startNextMessage();
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
