package gladewing.sessionsockets;

import gladewing.buffer.ConnectionBuffer;
import gladewing.clients.UpgradedConnection;
import gladewing.http.MessageReader;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.router.Span;
import gladewing.sessionpolicy.MessageTracker;
import gladewing.sessionpolicy.Session;
import gladewing.sessionpolicy.UpstreamConnection;
import gladewing.sockets.ResilientSocketChannel;
import gladewing.websocket.CloseCode;
import gladewing.websocket.FrameEncoder;
import gladewing.websocket.Handshake;
import gladewing.websocket.MessageDecoder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;

/**
 * The connection of a session to its client: the handshake, the messages and the close. Each wait
 * has a time limit.
 */
final class ClientSocket implements UpgradedConnection {
    private enum State {
        HANDSHAKE,
        OPEN,
        CLOSING,
        CLOSED
    }

    private final SessionServer server;
    private final Channel channel;
    private final String response;
    private final MessageDecoder decoder;
    Session session;
    private int[] shards;
    MessageTracker tracker;
    private State state = State.HANDSHAKE;

    /** Input that arrives before the upgrade is answered; it is read afterwards. */
    private ConnectionBuffer unreadInput;

    final PartialMessage partialMessage;
    private long lastReceivedAt;
    private long lastPingAt;
    private long closeDeadline;

    ClientSocket(SessionServer server, Channel channel, MessageReader request) {
        this.server = server;
        this.channel = channel;
        response =
                Handshake.validate(request) == Handshake.SWITCHING_PROTOCOLS
                        ? Handshake.response(request, null)
                        : "";
        decoder = new MessageDecoder(true, server.settings.maxMessageBytes());
        partialMessage = new PartialMessage(server.partialMessages, this::dropPartialMessage);
        lastReceivedAt = server.now();
    }

    /** Sets the shards of the session before it is requested. */
    void start(int[] requestedShards) {
        shards = requestedShards;
        tracker =
                new MessageTracker(
                        requestedShards.length,
                        server.settings.maxBufferedBytes(),
                        server.bufferBudget);
    }

    int shard(int shardIndex) {
        return shards[shardIndex];
    }

    private int shardIndex(long shard) {
        for (int i = 0; i < shards.length; i++) {
            if (shards[i] == shard) {
                return i;
            }
        }
        throw new InvalidInputException("no shard of this session");
    }

    /** Answers the upgrade request, then reads what the client has sent meanwhile. */
    void accept() {
        state = State.OPEN;
        lastReceivedAt = server.now();
        SessionMessages.write(server.loop, channel, response.getBytes(StandardCharsets.US_ASCII));
        server.loop.runInLaterPass(() -> read(unreadInput));
    }

    /** Answers an upgrade request that is not valid. */
    void rejectRequest(int status) {
        writeResponse(
                status,
                status == 426 ? "Sec-WebSocket-Version: " + Handshake.VERSION + "\r\n" : "");
    }

    /** Answers 503; the delay until the client may try again is in microseconds. */
    void refuse(long reconnectDelay) {
        writeResponse(503, "Retry-After: " + (reconnectDelay + 999) / 1000 / 1000.0 + "\r\n");
    }

    private void writeResponse(int status, String headers) {
        state = State.CLOSED;
        String reason =
                status == 426
                        ? "Upgrade Required"
                        : status == 503
                                ? "Service Unavailable"
                                : status == 405 ? "Method Not Allowed" : "Bad Request";
        channel.write(
                        Unpooled.copiedBuffer(
                                "HTTP/1.1 "
                                        + status
                                        + ' '
                                        + reason
                                        + "\r\nContent-Length: 0\r\n"
                                        + headers
                                        + "Connection: close\r\n\r\n",
                                StandardCharsets.US_ASCII))
                .addListener(ChannelFutureListener.CLOSE);
        server.loop.flushAfterPass(channel);
    }

    @Override
    public void read(ConnectionBuffer in) {
        readMessages(in);
        if (state == State.CLOSED) {
            partialMessage.clear();
        } else {
            partialMessage.update(in, decoder, server.loop.enterPass());
            server.limitMemory();
        }
    }

    /** Ends the session, and drops the message that its client has not completed. */
    private void dropPartialMessage() {
        unreadInput.clear();
        closeSession(CloseCode.TRY_AGAIN_LATER, "no room to hold more");
        closeAfterFlush();
    }

    private void readMessages(ConnectionBuffer in) {
        lastReceivedAt = server.now();
        unreadInput = in;
        if (state == State.CLOSED) {
            in.skip(in.size());
        }
        while (state == State.OPEN || state == State.CLOSING) {
            switch (decoder.read(in)) {
                case INCOMPLETE:
                    return;
                case TEXT:
                    if (state == State.OPEN) {
                        handleMessage();
                    }
                    break;
                case BINARY:
                    closeSession(CloseCode.UNSUPPORTED_DATA, "messages are texts");
                    break;
                case PING:
                    // RFC 6455 lets pings be passed over for a later one.
                    if (channel.isWritable()) {
                        SessionMessages.write(
                                server.loop, channel, FrameEncoder.pong(decoder.payload(), null));
                    }
                    break;
                case CLOSE:
                    handleClose();
                    return;
                case VIOLATION:
                    closeSession(decoder.code(), decoder.reason());
                    closeAfterFlush();
                    return;
                default:
            }
        }
    }

    private void handleMessage() {
        try {
            Fields fields = Json.fields("message", decoder.payload());
            int shardIndex = shardIndex(fields.whole("shard"));
            long number = fields.whole("n");
            String data = fields.text("data");
            UpstreamConnection connection = session.sendTarget(shardIndex);
            // Messages for a node whose connection is not writable are buffered, like those for a
            // shard without a connection. The buffer is limited.
            boolean isWritable = connection != null && server.nodeSocket(connection).isWritable();
            switch (tracker.acceptFromClient(shardIndex, number, data, isWritable)) {
                case SEND -> server.nodeSocket(connection).sendMessage(shardIndex, number, data);
                case BUFFER_FULL -> closeSession(CloseCode.TRY_AGAIN_LATER, "no room to hold more");
                case OUT_OF_ORDER ->
                        closeSession(CloseCode.POLICY_VIOLATION, "a number that does not follow");
                default -> {}
            }
        } catch (InvalidInputException invalid) {
            closeSession(CloseCode.POLICY_VIOLATION, invalid.getMessage());
        }
    }

    /** Whether the client has been accepted, and its session has not ended. */
    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Whether earlier output has left the buffer, so that the client seems to read. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** Sends a text to the client, unless the session is closing. */
    void send(String text) {
        if (state == State.OPEN) {
            SessionMessages.write(server.loop, channel, FrameEncoder.text(text, null));
        }
    }

    /**
     * While the client does not read, its nodes are not read either, so that nothing accumulates
     * here.
     */
    @Override
    public void writabilityChanged(boolean isWritable) {
        if (session != null) {
            server.setReading(session, isWritable);
        }
    }

    /**
     * Starts a close handshake because the planner ends the session.
     *
     * @param reconnectDelay microseconds after which the client may connect again
     */
    void close(int code, long reconnectDelay) {
        startClose(code, "{\"come_back_ms\":" + reconnectDelay / 1000 + "}");
    }

    /**
     * Starts a close handshake because of the behaviour of the client or a full buffer, and reports
     * the end to the planner.
     */
    private void closeSession(int code, String reason) {
        server.clientLeft(this);
        startClose(code, reason);
    }

    private void startClose(int code, String reason) {
        if (state == State.HANDSHAKE) {
            refuse(server.settings.maxReconnectDelay());
        } else if (state == State.OPEN) {
            state = State.CLOSING;
            closeDeadline = server.now() + server.settings.closeTimeout();
            SessionMessages.write(server.loop, channel, FrameEncoder.close(code, reason, null));
        }
        tracker.clear();
    }

    private void handleClose() {
        if (state == State.OPEN) {
            server.clientLeft(this);
            tracker.clear();
            int code = decoder.code();
            SessionMessages.write(server.loop, channel, FrameEncoder.close(code, "", null));
        }
        closeAfterFlush();
    }

    private void closeAfterFlush() {
        state = State.CLOSED;
        server.loop.flushAfterPass(channel);
        // The connection is closed 100 ms later, so that pending output can be sent first.
        server.loop.schedule(Span.ofMillis(100), channel::close);
    }

    /**
     * Closes the connection if the client sends or reads nothing, answers no ping, or does not
     * complete the close handshake.
     */
    void checkTimeouts(long now) {
        long idle = now - lastReceivedAt;
        if (state == State.OPEN && isNotRead()) {
            closeSession(CloseCode.POLICY_VIOLATION, "nothing was read");
        }
        if (state == State.OPEN && idle >= server.settings.idleTimeout()) {
            closeSession(CloseCode.POLICY_VIOLATION, "nothing was heard");
        } else if (state == State.OPEN
                && idle >= server.settings.idleTimeout() / 2
                && now - lastPingAt >= server.settings.idleTimeout() / 2) {
            lastPingAt = now;
            SessionMessages.write(server.loop, channel, FrameEncoder.ping(new byte[0], null));
        }
        if (state == State.CLOSING && now >= closeDeadline) {
            state = State.CLOSED;
            channel.close();
        }
    }

    /** Whether the client reads nothing of what it is sent. Its nodes are not read either then. */
    private boolean isNotRead() {
        Span silence = new Span(server.settings.idleTimeout());
        return channel instanceof ResilientSocketChannel socket
                && socket.writeStall(server.loop.enterPass()).longerThan(silence);
    }

    @Override
    public void connectionClosed() {
        state = State.CLOSED;
        partialMessage.clear();
        server.clientLeft(this);
        server.remove(this);
        if (tracker != null) {
            tracker.clear();
        }
    }
}
