package gladewing.sessionsockets;

import gladewing.buffer.ConnectionBuffer;
import gladewing.http.MessageReader;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.lifecycle.ReadAllowance;
import gladewing.nodes.Connector;
import gladewing.sessionpolicy.MessageTracker;
import gladewing.sessionpolicy.UpstreamConnection;
import gladewing.sockets.ConnectionAttempt;
import gladewing.sockets.ResilientSocketChannel;
import gladewing.websocket.CloseCode;
import gladewing.websocket.FrameEncoder;
import gladewing.websocket.Handshake;
import gladewing.websocket.MessageDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.logging.Logger;

/**
 * The socket of an upstream connection: a WebSocket to a data node, with this router as its client.
 */
final class NodeSocket extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(NodeSocket.class.getName());

    /**
     * Payload of the ping before a close frame. A node that answers it has read everything before
     * it; one that has sent a close frame of its own answers no ping any more.
     */
    private static final byte[] PING_BEFORE_CLOSE = "close".getBytes(StandardCharsets.US_ASCII);

    private enum State {
        OPENING,
        OPEN,
        CLOSING,
        CLOSED
    }

    private final SessionServer server;
    final UpstreamConnection connection;
    private final ClientSocket client;
    private final byte[] nonce = new byte[16];
    private final MessageReader responseReader = new MessageReader();
    private final MessageDecoder decoder;
    private final ConnectionBuffer in;
    final PartialMessage partialMessage;
    private Channel channel;

    /** The node's address and port, which the handshake names; its name may have any character. */
    private String host;

    private State state = State.OPENING;

    /** Whether the messages of the shards are sent on this connection. */
    private boolean isSending;

    /**
     * Whether the node has read all that was sent to it, as it has answered the ping that was sent
     * before the close frame. Its own close proves nothing: it may have crossed what was sent.
     */
    private boolean hasReadAll;

    /** Whether reading is paused because the client does not read. */
    private boolean isPaused;

    /**
     * Whether messages of the node are dropped for the next connection to ask for: the client does
     * not read, and this connection is read for the end of the close handshake alone.
     */
    private boolean isDroppingData;

    /** When the opening or the closing handshake must have ended, in microseconds. */
    private long deadline;

    private long lastReceivedAt;
    private long lastPingAt;

    NodeSocket(SessionServer server, UpstreamConnection connection, ClientSocket client) {
        this.server = server;
        this.connection = connection;
        this.client = client;
        decoder = new MessageDecoder(false, server.settings.maxMessageBytes());
        in =
                new ConnectionBuffer(
                        MessageReader.MAX_HEAD_BYTES
                                + MessageDecoder.bufferSize(server.settings.maxMessageBytes()) * 2
                                + 65_536);
        partialMessage = new PartialMessage(server.partialMessages, this::dropPartialMessage);
        server.random.nextBytes(nonce);
        deadline = server.now() + server.planner.handshakeTimeLimit(connection.session);
    }

    void open(Connector connector, InetSocketAddress endpoint) {
        host = endpoint.getHostString() + ":" + endpoint.getPort();
        ChannelFuture opening = connector.connect(this, endpoint);
        channel = opening.channel();
        // Reported in a later pass, as the planner may still be opening this connection.
        ConnectionAttempt.onFailure(server.loop, opening, cause -> finish(true));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (context.channel() instanceof ResilientSocketChannel socket) {
            socket.setReadLimiter(
                    (wasExceeded, readInTurn) ->
                            ReadAllowance.bytes(
                                    server.loop.passDuration(), wasExceeded, readInTurn, true));
        }
        server.loop.enterPass();
        channel = context.channel();
        if (!maySend()) {
            return;
        }
        StringBuilder shards = new StringBuilder();
        for (int i = 0; i < connection.shardCount(); i++) {
            shards.append(i == 0 ? "" : ",").append(client.shard(connection.shardIndex(i)));
        }
        SessionMessages.write(
                server.loop,
                channel,
                Handshake.request("/live?shards=" + shards, host, nonce, null, "")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        readMessages((ByteBuf) message);
        if (state != State.CLOSED) {
            partialMessage.update(in, decoder, server.loop.enterPass());
            server.limitMemory();
        }
    }

    /** Ends the connection, and drops the message that its node has not completed. */
    private void dropPartialMessage() {
        fail("incomplete messages of sessions hold too much memory");
    }

    private void readMessages(ByteBuf bytes) {
        lastReceivedAt = server.now();
        try {
            if (state != State.CLOSED && !in.append(bytes)) {
                fail("input buffer overflow: more bytes than a message may have");
            }
        } finally {
            bytes.release();
        }
        if (state == State.OPENING) {
            handleResponse();
        }
        while (state == State.OPEN || state == State.CLOSING) {
            MessageDecoder.Event event = decoder.read(in);
            if (event == MessageDecoder.Event.INCOMPLETE) {
                return;
            }
            handleEvent(event);
        }
    }

    private void handleResponse() {
        MessageReader.Progress progress = responseReader.read(in);
        if (progress == MessageReader.Progress.INCOMPLETE) {
            return;
        }
        if (progress == MessageReader.Progress.MESSAGE
                && Handshake.isAccepted(responseReader, nonce, null)) {
            state = State.OPEN;
            server.planner.connectionOpened(connection, server.now());
        } else {
            finish(true);
        }
    }

    private void handleEvent(MessageDecoder.Event event) {
        switch (event) {
            case TEXT -> handleMessage();
            case PING -> {
                // Nothing may be sent after a close frame, not even a pong.
                if (state == State.OPEN && channel.isWritable() && maySend()) {
                    write(
                            FrameEncoder.pong(
                                    decoder.payload(), SessionMessages.maskingKey(server.random)));
                }
            }
            case PONG ->
                    hasReadAll |=
                            state == State.CLOSING
                                    && Arrays.equals(decoder.payload(), PING_BEFORE_CLOSE);
            case CLOSE -> {
                if (state == State.OPEN && maySend()) {
                    write(
                            FrameEncoder.close(
                                    decoder.code() == CloseCode.NO_STATUS
                                            ? CloseCode.NORMAL
                                            : decoder.code(),
                                    "",
                                    SessionMessages.maskingKey(server.random)));
                }
                finish(
                        state == State.OPEN
                                && decoder.code() != CloseCode.GOING_AWAY
                                && decoder.code() != CloseCode.NORMAL
                                && decoder.code() != CloseCode.SERVICE_RESTART);
            }
            case VIOLATION -> {
                if (state == State.OPEN && maySend()) {
                    write(
                            FrameEncoder.close(
                                    decoder.code(),
                                    decoder.reason(),
                                    SessionMessages.maskingKey(server.random)));
                }
                fail(decoder.reason());
            }
            default -> {}
        }
    }

    private void handleMessage() {
        try {
            Fields fields = Json.fields("message", decoder.payload());
            int shard = (int) fields.whole("shard");
            for (int i = 0; i < connection.shardCount(); i++) {
                int shardIndex = connection.shardIndex(i);
                if (client.shard(shardIndex) == shard) {
                    handleShardMessage(shardIndex, shard, fields);
                    return;
                }
            }
            throw new InvalidInputException(
                    "message for a shard that this connection does not serve");
        } catch (InvalidInputException invalid) {
            fail(invalid.getMessage());
        }
    }

    /**
     * Handles what the node says of a shard. Before it was told where to go on, it has nothing to
     * say: an earlier connection may still deliver, and the client may not have been accepted. What
     * is dropped is not counted, so the node is told to send it again.
     */
    private void handleShardMessage(int shardIndex, int shard, Fields fields) {
        if (!isSending || !client.isOpen()) {
            return;
        }
        if (fields.has("ack")) {
            if (!client.tracker.acknowledge(shardIndex, fields.whole("ack"))) {
                throw new InvalidInputException("acknowledgement of a message that was not sent");
            }
            client.send(SessionMessages.ack(shard, fields.whole("ack")));
            return;
        }
        long number = fields.whole("n");
        String data = fields.text("data");
        isDroppingData |= state == State.CLOSING && !client.isWritable();
        if (isDroppingData) {
            return;
        }
        MessageTracker.NodeMessageResult result = client.tracker.acceptFromNode(shardIndex, number);
        if (result == MessageTracker.NodeMessageResult.GAP) {
            client.send(SessionMessages.gap(shard, number - 1));
        }
        if (result != MessageTracker.NodeMessageResult.DUPLICATE) {
            client.send(SessionMessages.message(shard, number, data));
        }
    }

    /**
     * Starts to send on this connection: tells the node where to resume, then sends the buffered
     * messages.
     */
    void startSending() {
        isSending = true;
        setReading(client.isWritable());
        for (int i = 0; i < connection.shardCount(); i++) {
            int shardIndex = connection.shardIndex(i);
            int shard = client.shard(shardIndex);
            write(
                    SessionMessages.text(
                            SessionMessages.resume(
                                    shard,
                                    client.tracker.lastToClient(shardIndex),
                                    client.tracker.lastSent(shardIndex)),
                            SessionMessages.maskingKey(server.random)));
        }
        sendBuffered();
    }

    private void sendBuffered() {
        for (int i = 0; i < connection.shardCount(); i++) {
            for (MessageTracker.Message buffered :
                    client.tracker.takeBuffered(connection.shardIndex(i))) {
                sendMessage(connection.shardIndex(i), buffered.number(), buffered.text());
            }
        }
    }

    /**
     * Returns whether a message may be sent now: the node was told where to go on, earlier output
     * has left the buffer, and the drain grace of the node is not over.
     */
    boolean isWritable() {
        return isSending && channel.isWritable() && maySend();
    }

    private boolean maySend() {
        return server.planner.maySend(connection, server.now());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // Handled in a later pass, as the writability may change during a write.
        server.loop.runInLaterPass(
                () -> {
                    if (state == State.OPEN && isWritable()) {
                        sendBuffered();
                    }
                });
    }

    void sendMessage(int shardIndex, long number, String data) {
        write(
                SessionMessages.text(
                        SessionMessages.message(client.shard(shardIndex), number, data),
                        SessionMessages.maskingKey(server.random)));
    }

    private void write(byte[] frame) {
        SessionMessages.write(server.loop, channel, frame);
    }

    /**
     * Starts or pauses reading, as the client reads or does not. The end of a handshake is always
     * awaited.
     */
    void setReading(boolean isReading) {
        if (state == State.OPEN) {
            pauseReading(!isReading);
        }
    }

    private void pauseReading(boolean isToBePaused) {
        // While reading is paused nothing can arrive, so the idle time starts anew.
        isPaused = isToBePaused;
        lastReceivedAt = server.now();
        channel.config().setAutoRead(!isToBePaused);
    }

    /**
     * Starts a close handshake. The answer of the node is awaited, as it may still send messages
     * before it.
     */
    void closeGracefully() {
        if (state == State.OPEN) {
            state = State.CLOSING;
            pauseReading(false);
            deadline = server.now() + server.settings.closeTimeout();
            if (isSending) {
                write(
                        FrameEncoder.ping(
                                PING_BEFORE_CLOSE, SessionMessages.maskingKey(server.random)));
            }
            write(
                    FrameEncoder.close(
                            CloseCode.GOING_AWAY, "", SessionMessages.maskingKey(server.random)));
        } else if (state == State.OPENING) {
            state = State.CLOSED;
            partialMessage.clear();
            server.remove(this);
            channel.close();
        }
    }

    /** Closes the connection without sending a close frame. */
    void abort() {
        // Reported in a later pass, as the planner is in the middle of this call.
        server.loop.runInLaterPass(() -> finish(false));
    }

    private void fail(String reason) {
        LOG.warning("leg to " + connection.node + " closed: " + reason);
        finish(true);
    }

    /**
     * Closes the connection, once, and tells the client which messages may be lost: those that the
     * node has neither acknowledged nor been seen to have read.
     */
    private void finish(boolean isBroken) {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        partialMessage.clear();
        in.clear();
        ConnectionAttempt.close(channel);
        for (int i = 0; isSending && i < connection.shardCount(); i++) {
            int shardIndex = connection.shardIndex(i);
            MessageTracker.LostRange lost = client.tracker.takeLost(shardIndex);
            if (lost != null && !hasReadAll) {
                client.send(
                        SessionMessages.lost(client.shard(shardIndex), lost.after(), lost.to()));
            }
        }
        server.connectionEnded(this, isBroken);
    }

    /** Ends the connection if a handshake takes too long or nothing is received; sends pings. */
    void checkTimeouts(long now) {
        if ((state == State.OPENING || state == State.CLOSING) && now >= deadline) {
            finish(state == State.OPENING);
        } else if (state == State.OPEN
                && !isPaused
                && now - lastReceivedAt >= server.settings.idleTimeout()) {
            fail("nothing was received within the idle timeout");
        } else if (state == State.OPEN
                && maySend()
                && now - lastReceivedAt >= server.settings.idleTimeout() / 2
                && now - lastPingAt >= server.settings.idleTimeout() / 2) {
            lastPingAt = now;
            write(FrameEncoder.ping(new byte[0], SessionMessages.maskingKey(server.random)));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.loop.enterPass();
        finish(state != State.CLOSING);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
