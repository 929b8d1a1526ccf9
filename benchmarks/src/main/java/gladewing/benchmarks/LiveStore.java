package gladewing.benchmarks;

import gladewing.buffer.ConnectionBuffer;
import gladewing.frames.FrameReader;
import gladewing.frames.NodeFrames;
import gladewing.http.MessageReader;
import gladewing.websocket.Handshake;
import gladewing.websocket.MessageDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * A data node of the rig: answers multigets' parts at once, and keeps live legs, whose messages it
 * acks and echoes.
 */
final class LiveStore {
    final String id;
    final int cell;
    final int port;
    final long startedMillis;
    String state = "up";

    /** When the router was told that it drains, on the clock of System.nanoTime. */
    long drainTold;

    int legs;
    int handshakes;
    int lateFrames;
    int peak;
    int peakCold;
    private long second;
    private int inSecond;

    LiveStore(String id, int cell, int port, long startedMillis) {
        this.id = id;
        this.cell = cell;
        this.port = port;
        this.startedMillis = startedMillis;
    }

    String target() {
        return "{\"uid\":\""
                + id
                + "\",\"endpoint\":\"127.0.0.1:"
                + port
                + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":"
                + cell
                + ",\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                + startedMillis
                + "}";
    }

    private void shookHands() {
        handshakes++;
        long now = System.nanoTime() / 1_000_000_000L;
        inSecond = now == second ? inSecond + 1 : 1;
        second = now;
        peak = Math.max(peak, inSecond);
        if (startedMillis > 0 && System.currentTimeMillis() - startedMillis < 2000) {
            peakCold = Math.max(peakCold, inSecond);
        }
    }

    ChannelInboundHandlerAdapter connection() {
        return new Connection();
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final ConnectionBuffer in = new ConnectionBuffer(256 * 1024);
        private final MessageReader head = new MessageReader();
        private final MessageDecoder stream = new MessageDecoder(true, 65_536);
        private final FrameReader frames = new FrameReader();
        private final Map<Integer, Long> said = new HashMap<>();
        private boolean live;
        private boolean up;

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            ByteBuf bytes = (ByteBuf) read;
            in.append(bytes);
            bytes.release();
            live |= in.size() > 0 && !up && in.byteAt(0) == 'G';
            if (!live) {
                multigets(context.channel());
            } else if (up || shakeHands(context.channel())) {
                messages(context.channel());
            }
            context.flush();
        }

        private boolean shakeHands(Channel channel) {
            if (head.read(in) != MessageReader.Progress.MESSAGE) {
                return false;
            }
            shookHands();
            legs++;
            up = true;
            channel.write(
                    Unpooled.copiedBuffer(
                            Handshake.response(head, null), StandardCharsets.US_ASCII));
            return true;
        }

        private void messages(Channel channel) {
            for (MessageDecoder.Event e = stream.read(in);
                    e != MessageDecoder.Event.INCOMPLETE;
                    e = stream.read(in)) {
                if (e == MessageDecoder.Event.CLOSE || e == MessageDecoder.Event.VIOLATION) {
                    channel.writeAndFlush(
                                    Unpooled.wrappedBuffer(
                                            gladewing.websocket.FrameEncoder.close(
                                                    stream.code(), "", null)))
                            .addListener(done -> channel.close());
                    return;
                }
                if (drainTold != 0 && System.nanoTime() - drainTold > 2_000_000_000L) {
                    lateFrames++;
                }
                if (e == MessageDecoder.Event.TEXT) {
                    message(channel, stream.text());
                }
            }
        }

        /**
         * A message of a client is acked and sent back, numbered by this node; after a resume the
         * numbers go on.
         */
        private void message(Channel channel, String text) {
            int shard = (int) number(text, "\"shard\":");
            long resume = number(text, "\"resume\":");
            if (resume >= 0) {
                said.put(shard, resume);
                return;
            }
            long n = said.merge(shard, 1L, Long::sum);
            String data = text.substring(text.indexOf("\"data\":"), text.length());
            channel.write(
                    Unpooled.wrappedBuffer(
                            gladewing.websocket.FrameEncoder.text(
                                    "{\"shard\":"
                                            + shard
                                            + ",\"ack\":"
                                            + number(text, "\"n\":")
                                            + "}",
                                    null)));
            channel.write(
                    Unpooled.wrappedBuffer(
                            gladewing.websocket.FrameEncoder.text(
                                    "{\"shard\":" + shard + ",\"n\":" + n + "," + data, null)));
        }

        private void multigets(Channel channel) {
            while (frames.read(in) == FrameReader.Progress.FRAME) {
                if (frames.type() == NodeFrames.CALL) {
                    String call = frames.payloadText();
                    for (int at = 0; at < call.length(); ) {
                        int end = call.indexOf('\n', at);
                        String[] line = call.substring(at, end).split(" ");
                        frame(channel, NodeFrames.ANSWER, line[0] + " ok 1 -\n0123456789abcdef");
                        at = end + 1 + Integer.parseInt(line[3]);
                    }
                } else if (frames.type() == NodeFrames.PROBE
                        || frames.type() == NodeFrames.LOAD_PROBE) {
                    frame(channel, frames.type(), frames.type() == NodeFrames.PROBE ? "ok" : "-");
                }
            }
        }

        private void frame(Channel channel, char letter, String rest) {
            ByteBuf out = channel.alloc().buffer(rest.length() + 5);
            out.writeIntLE(rest.length() + 1)
                    .writeByte(letter)
                    .writeCharSequence(rest, StandardCharsets.US_ASCII);
            channel.write(out);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            legs -= up ? 1 : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** The number behind a field's name, or -1. */
    static long number(String text, String field) {
        int at = text.indexOf(field);
        if (at < 0) {
            return -1;
        }
        long number = 0;
        for (int i = at + field.length();
                i < text.length() && Character.isDigit(text.charAt(i));
                i++) {
            number = number * 10 + text.charAt(i) - '0';
        }
        return number;
    }
}
