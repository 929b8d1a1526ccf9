package gladewing.discovery;

import gladewing.buffer.ConnectionBuffer;
import gladewing.http.MessageReader;
import gladewing.sockets.ConnectionAttempt;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/** One HTTP connection to discovery's agent; carries one request at a time. */
final class DiscoveryConnection extends ChannelInboundHandlerAdapter {
    private static final String OK = " 200 ";

    /**
     * Enough for 1,024 data nodes at 2 KiB each; some 500 bytes a node are usual where the list is
     * indented and names are long.
     */
    private static final int MAX_LIST_BYTES = 1024 * 2048;

    private final DiscoveryWatcher watcher;
    private final String host;
    private final ConnectionBuffer in =
            new ConnectionBuffer(MessageReader.maxBufferedBytes(MAX_LIST_BYTES));
    private final MessageReader response = new MessageReader(MAX_LIST_BYTES);
    private Channel channel;
    private boolean isUp;

    /** Path and query of the latest request. */
    private String path;

    DiscoveryConnection(DiscoveryWatcher watcher, String host) {
        this.watcher = watcher;
        this.host = host;
    }

    /** Sets the channel, which may not be connected yet. */
    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    /** Sends a request, at once or when the connection is up. */
    void request(String newPath) {
        path = newPath;
        if (isUp) {
            send();
        }
    }

    private void send() {
        String request = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    void close() {
        ConnectionAttempt.close(channel);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        isUp = true;
        send();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        watcher.loop.enterPass();
        ByteBuf bytes = (ByteBuf) read;
        boolean fits;
        try {
            fits = in.append(bytes);
        } finally {
            bytes.release();
        }
        MessageReader.Progress progress = fits ? response.read(in) : MessageReader.Progress.INVALID;
        if (progress == MessageReader.Progress.MESSAGE && !response.startLine().contains(OK)) {
            watcher.failed(this, "unexpected response: " + response.startLine());
        } else if (progress == MessageReader.Progress.MESSAGE) {
            byte[] body = response.body();
            boolean isKeptAlive = response.isKeepAlive();
            response.startNextMessage();
            watcher.answered(this, body, isKeptAlive);
        } else if (progress == MessageReader.Progress.INVALID) {
            watcher.failed(this, "malformed or oversized response");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        watcher.failed(this, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        watcher.failed(this, "connection error: " + cause.getMessage());
        context.close();
    }
}
