package gladewing.control;

import gladewing.http.MessageReader;
import gladewing.http.ResponseReader;
import gladewing.loop.Loop;
import gladewing.sockets.ConnectionAttempt;
import gladewing.sockets.ResilientSocketChannel;
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

    private final ResponseReader response = new ResponseReader(MessageReader.MAX_BODY_BYTES);
    private Channel channel;

    /** Whether what has arrived is still to be read in this pass. */
    private boolean isReadDue;

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

    boolean hasEnded() {
        return ended;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.channel().writeAndFlush(Unpooled.wrappedBuffer(request));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        response.append((ByteBuf) read);
        if (!isReadDue) {
            isReadDue = true;
            loop.runAfterEvents(this::readResponse);
        }
    }

    /** Reads what has arrived, once the socket holds nothing that belongs to no response. */
    private void readResponse() {
        if (channel instanceof ResilientSocketChannel socket) {
            socket.readNow();
        }
        isReadDue = false;
        switch (response.read()) {
            case OK -> end(null);
            case FAILED ->
                    end("the control service sent no usable response: " + response.failure());
            default -> {}
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        loop.enterPass();
        if (isReadDue) {
            readResponse();
        }
        end("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        loop.enterPass();
        end("the connection failed: " + cause.getMessage());
    }
}
