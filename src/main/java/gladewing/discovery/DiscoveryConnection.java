package gladewing.discovery;

import gladewing.http.ResponseReader;
import gladewing.lifecycle.ListRevision;
import gladewing.sockets.ConnectionAttempt;
import gladewing.sockets.ResilientSocketChannel;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/** One HTTP connection to discovery's agent; carries one request at a time. */
final class DiscoveryConnection extends ChannelInboundHandlerAdapter {
    /**
     * Enough for 1,024 data nodes at 2 KiB each; some 500 bytes a node are usual where the list is
     * indented and names are long.
     */
    private static final int MAX_LIST_BYTES = 1024 * 2048;

    private final DiscoveryWatcher watcher;
    private final String host;
    private final ResponseReader responses = new ResponseReader(MAX_LIST_BYTES);
    private Channel channel;
    private boolean isUp;

    /** Whether what has arrived is still to be read in this pass. */
    private boolean isReadDue;

    /** Path and query of the latest request. */
    private String path;

    private ListRevision.Question question;

    DiscoveryConnection(DiscoveryWatcher watcher, String host) {
        this.watcher = watcher;
        this.host = host;
    }

    /** Sets the channel, which may not be connected yet. */
    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    /** Sends a request, at once or when the connection is up. */
    void request(String newPath, ListRevision.Question newQuestion) {
        path = newPath;
        question = newQuestion;
        if (isUp) {
            send();
        }
    }

    private void send() {
        String request = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    /** What the latest request asks for. */
    ListRevision.Question question() {
        return question;
    }

    /** Reads the socket if the selector may not watch it. */
    void pollIfUnwatched() {
        if (channel instanceof ResilientSocketChannel socket) {
            socket.pollIfUnwatched();
        }
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
        responses.append((ByteBuf) read);
        watcher.progressed(this, responses.heldBytes());
        if (!isReadDue) {
            isReadDue = true;
            watcher.loop.runAfterEvents(this::readResponse);
        }
    }

    /** Reads what has arrived, once the socket holds nothing that belongs to no response. */
    private void readResponse() {
        if (channel instanceof ResilientSocketChannel socket) {
            socket.readNow();
        }
        isReadDue = false;
        switch (responses.read()) {
            case OK -> {
                byte[] body = responses.body();
                boolean isKeptAlive = responses.isKeepAlive();
                responses.startNextResponse();
                watcher.answered(this, body, isKeptAlive);
            }
            case FAILED -> watcher.failed(this, responses.failure());
            default -> {}
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        watcher.loop.enterPass();
        if (isReadDue) {
            readResponse();
        }
        watcher.failed(this, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        watcher.failed(this, "connection error: " + cause.getMessage());
        context.close();
    }
}
