package gladewing.serve;

import gladewing.buffer.ConnectionBuffer;
import gladewing.config.Config;
import gladewing.discovery.NodeListUpdate;
import gladewing.frames.FrameReader;
import gladewing.frames.NodeFrames;
import gladewing.json.Json;
import gladewing.loop.Loop;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Warms up the JVM before the router listens: sends generated multigets through a separate router
 * over embedded channels, without sockets. The first few hundred multigets of a JVM cost ten times
 * as much as later ones; with only part of a CPU core they would queue for seconds, and the module
 * would dismiss multigets of clients. The separate router is discarded; what remains is the
 * compiled code.
 */
final class WarmUp {
    private static final int MULTIGETS = 240;
    private static final Span MAX_DURATION = Span.ofMillis(2000);
    private static final int CLIENTS = 3;
    private static final int PARTS = 5;
    private static final int CELLS = 24;

    private final Config config;
    private final EmbeddedChannel base = new EmbeddedChannel();
    private final List<EmbeddedChannel> nodes = new ArrayList<>();
    private final List<EmbeddedChannel> clients = new ArrayList<>();
    private int sent;
    private int answered;

    private WarmUp(Config config) {
        this.config = config;
    }

    /**
     * Runs until enough multigets are answered or the time is over.
     *
     * @return the number of multigets that were answered
     */
    static int run(Config config) {
        return new WarmUp(config).run();
    }

    private int run() {
        Time deadline = Loop.readClock().plus(MAX_DURATION);
        RouterRuntime router = new RouterRuntime(base.eventLoop(), config, this::connect, null);
        int cells = config.settings().shards().cells();
        router.nodeListUpdated(
                NodeListUpdate.parse(
                        Json.fields(
                                "list",
                                nodeList(Math.min(cells, CELLS)).getBytes(StandardCharsets.UTF_8)),
                        cells));
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new EmbeddedChannel(router.newClientHandler()));
        }
        while (answered < MULTIGETS && Loop.readClock().before(deadline)) {
            for (EmbeddedChannel client : clients) {
                if (sent - answered < CLIENTS) {
                    client.writeInbound(
                            Unpooled.copiedBuffer(request(), StandardCharsets.US_ASCII));
                }
            }
            base.runPendingTasks();
            new ArrayList<>(nodes).forEach(this::answerAsNode);
            base.runPendingTasks();
            for (EmbeddedChannel client : clients) {
                for (ByteBuf out = client.readOutbound();
                        out != null;
                        out = client.readOutbound()) {
                    out.release();
                    answered++;
                }
            }
        }
        return answered;
    }

    private ChannelFuture connect(ChannelHandler handler, InetSocketAddress address) {
        EmbeddedChannel node = new EmbeddedChannel(handler);
        nodes.add(node);
        return node.newSucceededFuture();
    }

    /** A list in the format of discovery, with one data node for each cell. */
    private static String nodeList(int cells) {
        StringBuilder targets = new StringBuilder();
        for (int cell = 0; cell < cells; cell++) {
            targets.append(cell == 0 ? "" : ",")
                    .append("{\"uid\":\"warm-up-")
                    .append(cell)
                    .append(
                            "\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"\",\"model\":\"\",\"pod_group\":")
                    .append(cell)
                    .append(",\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
    }

    private String request() {
        int product = sent % config.products().size();
        Settings.Product productSettings = config.settings().products().get(product);
        int parts = Math.min(PARTS, config.shards());
        StringBuilder body = new StringBuilder("{\"shards\":[");
        for (int i = 0; i < parts; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"shard\":")
                    .append((sent + i) % Math.min(CELLS / 2, config.shards()))
                    .append(",\"weight\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        body.append("],\"q\":\"warm-up\"}");
        String name = config.products().get(product);
        return "POST /"
                + name
                + " HTTP/1.1\r\nHost: warm-up\r\nX-Request-ID: warm-up-"
                + sent++
                + "\r\nX-Priority-Class: "
                + name
                + "\r\nX-Timeout-Ms: "
                + (long) productSettings.timeLimit().millis()
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Answers everything that the router has sent on a connection, as a data node would. */
    private void answerAsNode(EmbeddedChannel node) {
        ByteBuf answers = Unpooled.buffer();
        for (ByteBuf out = node.readOutbound(); out != null; out = node.readOutbound()) {
            ConnectionBuffer received = new ConnectionBuffer(FrameReader.MAX_FRAME_LENGTH);
            received.append(out);
            out.release();
            FrameReader frames = new FrameReader();
            while (frames.read(received) == FrameReader.Progress.FRAME) {
                if (frames.type() == NodeFrames.LOAD_PROBE || frames.type() == NodeFrames.PROBE) {
                    writeFrame(answers, frames.type(), "inflight=1,util=0.5");
                } else if (frames.type() == NodeFrames.CALL) {
                    answerCall(answers, frames.payloadText());
                }
            }
        }
        if (answers.isReadable()) {
            node.writeInbound(answers);
        }
    }

    /** Answers each part of a call; a part is a line, followed by as many bytes as it says. */
    private void answerCall(ByteBuf answers, String call) {
        for (int at = 0; at < call.length(); ) {
            int end = call.indexOf('\n', at);
            String[] line = call.substring(at, end).split(" ");
            writeFrame(
                    answers,
                    NodeFrames.ANSWER,
                    line[0] + " ok 1 inflight=1,util=0.5\n0123456789abcdef");
            at = end + 1 + Integer.parseInt(line[3]);
        }
    }

    private static void writeFrame(ByteBuf output, char letter, String text) {
        output.writeIntLE(text.length() + 1)
                .writeByte(letter)
                .writeCharSequence(text, StandardCharsets.US_ASCII);
    }
}
