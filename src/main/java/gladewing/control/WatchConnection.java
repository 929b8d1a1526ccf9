package gladewing.control;

import gladewing.buffer.ConnectionBuffer;
import gladewing.lifecycle.GrowingTimeLimit;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ConnectionAttempt;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/**
 * One connection that watches the control service for versions. While a message is being handled,
 * nothing more is read from the socket, so the service can't push faster than the router checks.
 */
final class WatchConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Receives the connection's events, within a pass of the loop. */
    interface Listener {
        /** The next message is read only after {@link WatchConnection#messageHandled()}. */
        void messageReceived(WatchConnection from, byte[] line);

        /** Called at most once for each connection; no other event follows. */
        void connectionFailed(WatchConnection from, String why);
    }

    private final Loop loop;
    private final String request;
    private final Listener listener;
    private final ConnectionBuffer received = new ConnectionBuffer(MAX_BUFFERED_BYTES);
    private final ChunkedLineReader lines;
    private Channel channel;
    private boolean handlingMessage;
    private boolean ended;
    private Time lastReadAt;

    /** When the first bytes of the incomplete line were received; null if there is none. */
    private Time partialLineSince;

    WatchConnection(Loop loop, String request, int maxMessageBytes, Listener listener) {
        this.loop = loop;
        this.request = request;
        this.listener = listener;
        lines = new ChunkedLineReader(maxMessageBytes);
        lastReadAt = loop.enterPass();
    }

    /** Must be called before any other event can end the connection. */
    void setChannel(Channel connecting) {
        channel = connecting;
    }

    /** Closes the connection and tells the listener; later calls do nothing. */
    void fail(String why) {
        if (!ended) {
            ended = true;
            ConnectionAttempt.close(channel);
            listener.connectionFailed(this, why);
        }
    }

    /** Closes the connection without telling the listener. */
    void close() {
        ended = true;
        ConnectionAttempt.close(channel);
    }

    /** Called when the last message has been handled: reading resumes. */
    void messageHandled() {
        if (!ended) {
            handlingMessage = false;
            lastReadAt = loop.enterPass();
            partialLineSince = null;
            readLines();
            channel.config().setAutoRead(!handlingMessage);
        }
    }

    /**
     * Fails the connection if nothing has arrived for the silence timeout, or if a message has been
     * incomplete for longer than its time limit, which grows then: the message comes again on the
     * next connection. Called periodically.
     */
    void checkTimeouts(Time now, Span silenceTimeout, GrowingTimeLimit messageTimeLimit) {
        if (!ended && !handlingMessage && now.since(lastReadAt).longerThan(silenceTimeout)) {
            fail("nothing was received for " + Math.round(silenceTimeout.millis()) + " ms");
        } else if (!ended
                && !handlingMessage
                && partialLineSince != null
                && now.since(partialLineSince).longerThan(messageTimeLimit.current())) {
            double limitMillis = messageTimeLimit.current().millis();
            messageTimeLimit.exceeded();
            fail("a message was still incomplete after " + Math.round(limitMillis) + " ms");
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.channel().writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        lastReadAt = loop.enterPass();
        ByteBuf bytes = (ByteBuf) read;
        boolean fitsBuffer;
        try {
            fitsBuffer = ended || received.append(bytes);
        } finally {
            bytes.release();
        }
        if (!fitsBuffer) {
            fail("more than " + MAX_BUFFERED_BYTES + " bytes were waiting to be read");
        } else if (!ended && !handlingMessage) {
            readLines();
            channel.config().setAutoRead(!handlingMessage);
        }
    }

    private void readLines() {
        while (!ended && !handlingMessage) {
            ChunkedLineReader.Progress progress = lines.read(received);
            if (progress == ChunkedLineReader.Progress.LINE) {
                handlingMessage = true;
                partialLineSince = null;
                listener.messageReceived(this, lines.line());
            } else if (progress == ChunkedLineReader.Progress.MORE) {
                partialLineSince =
                        !lines.hasPartialLine()
                                ? null
                                : partialLineSince == null ? lastReadAt : partialLineSince;
                return;
            } else {
                fail(
                        progress == ChunkedLineReader.Progress.ENDED
                                ? "the control service ended the response"
                                : lines.fault());
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        loop.enterPass();
        fail("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        loop.enterPass();
        fail("the connection failed: " + cause.getMessage());
    }
}
