package gladewing.clients;

import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Writes the responses of one client's connection, and knows what of them is not written yet. */
final class ResponseWriter {
    /** How long a connection that is closed for writing stays open for reading. */
    private static final Span LINGER = Span.ofMillis(1000);

    private final Loop loop;
    private final Channel channel;

    /** Is run whenever a response has been written, or will never be. */
    private final Runnable onWritten;

    private ChannelFuture lastResponse;
    private Time lastResponseAt;

    /** Bytes of responses that the socket has not taken. */
    private int unwrittenBytes;

    ResponseWriter(Loop loop, Channel channel, Runnable onWritten) {
        this.loop = loop;
        this.channel = channel;
        this.onWritten = onWritten;
    }

    /**
     * Writes a response, which leaves at the end of the pass.
     *
     * @param headers further header lines, each ended by CRLF
     * @param isLast whether the connection is closed after it
     */
    void write(int status, String headers, String body, boolean isLast) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteBuf out = channel.alloc().buffer(256 + bytes.length);
        String head = Responses.head(status, headers, bytes.length, !isLast);
        out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        out.writeBytes(bytes);
        int length = out.readableBytes();
        unwrittenBytes += length;
        lastResponse = channel.write(out);
        lastResponse.addListener(
                done -> {
                    unwrittenBytes -= length;
                    onWritten.run();
                });
        lastResponseAt = loop.enterPass();
        loop.flushAfterPass(channel);
    }

    /**
     * Closes the sending side once all is written, and the rest after the linger time. Closing a
     * socket that has unread bytes would reset the connection, and the response could be lost.
     */
    void closeOnceWritten() {
        lastResponse.addListener(
                done -> {
                    ((SocketChannel) channel).shutdownOutput();
                    loop.schedule(LINGER, channel::close);
                });
    }

    int unwrittenBytes() {
        return unwrittenBytes;
    }

    /**
     * Whether a response is not written out yet: it leaves at the end of its pass, or later if the
     * client is slow to read. Closing the connection would lose it.
     */
    boolean isResponding() {
        return lastResponse != null && !lastResponse.isDone();
    }

    /** Whether the client does not read its responses: one of an earlier pass is not written. */
    boolean isBlocked() {
        return isResponding() && lastResponseAt.before(loop.enterPass());
    }

    /** How long the client has read nothing of its responses; zero if it reads. */
    Span stall(Time now) {
        return channel instanceof ResilientSocketChannel socket
                ? socket.writeStall(now)
                : Span.ZERO;
    }
}
