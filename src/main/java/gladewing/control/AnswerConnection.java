package gladewing.control;

import gladewing.buffer.ConnectionBuffer;
import gladewing.http.MessageReader;
import gladewing.loop.Loop;
import gladewing.sockets.ConnectionAttempt;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/**
 * One connection that posts answers about versions to the control service and reads the HTTP
 * response. It is closed after that response.
 */
final class AnswerConnection extends ChannelInboundHandlerAdapter {
    private final Loop loop;
    private final byte[] request;

    /** Called once: with null if the service accepted the answers, else with the reason. */
    private final Consumer<String> onEnd;

    private final ConnectionBuffer received =
            new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
    private final MessageReader responseReader = new MessageReader();
    private Channel channel;
    private boolean ended;

    AnswerConnection(Loop loop, byte[] request, Consumer<String> onEnd) {
        this.loop = loop;
        this.request = request;
        this.onEnd = onEnd;
    }

    /** Must be called before any other event can end the connection. */
    void setChannel(Channel connecting) {
        channel = connecting;
    }

    /**
     * Closes the connection and reports its outcome; later calls do nothing.
     *
     * @param failure null if the service accepted the answers
     */
    void end(String failure) {
        if (!ended) {
            ended = true;
            ConnectionAttempt.close(channel);
            onEnd.accept(failure);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.channel().writeAndFlush(Unpooled.wrappedBuffer(request));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        loop.enterPass();
        ByteBuf bytes = (ByteBuf) read;
        boolean fitsBuffer;
        try {
            fitsBuffer = received.append(bytes);
        } finally {
            bytes.release();
        }
        MessageReader.Progress progress =
                fitsBuffer ? responseReader.read(received) : MessageReader.Progress.INVALID;
        if (progress == MessageReader.Progress.MESSAGE) {
            end(
                    responseReader.startLine().contains(" 200 ")
                            ? null
                            : "the control service responded with " + responseReader.startLine());
        } else if (progress == MessageReader.Progress.INVALID) {
            end("the response is not valid HTTP or is too large");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        loop.enterPass();
        end("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        loop.enterPass();
        end("the connection failed: " + cause.getMessage());
    }
}
