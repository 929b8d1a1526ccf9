package gladewing.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladewing.buffer.ConnectionBuffer;
import gladewing.router.Trace;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Encoding, reading and parsing of the frames of the data node protocol. */
class NodeFramesTest {
    /** Frames must be read whole and in order no matter in what pieces their bytes arrive. */
    @Test
    void encodedFramesAreReadFromPiecesOfAnySize() throws IOException {
        UnpooledByteBufAllocator allocator = UnpooledByteBufAllocator.DEFAULT;
        byte[] text = "zw\u00f6lf".getBytes(StandardCharsets.UTF_8);
        ByteBuf all =
                Unpooled.wrappedBuffer(
                        NodeFrames.call(
                                allocator,
                                List.of(
                                        new NodeFrames.CallPart("9b.3", 3, 240, text),
                                        new NodeFrames.CallPart("9b.12", 12, 240, text))),
                        NodeFrames.giveUp(allocator, "9b.3"),
                        NodeFrames.probe(allocator, NodeFrames.LOAD_PROBE));
        byte[] bytes = new byte[all.readableBytes()];
        all.readBytes(bytes);
        for (int step : new int[] {bytes.length, 1, 2, 3, 7}) {
            assertEquals(Trace.expected("frames.txt"), read(bytes, step), "in steps of " + step);
        }
    }

    /** A length outside the bounds must be rejected at once, without waiting for its bytes. */
    @Test
    void lengthsOutOfBoundsAreMalformed() {
        assertEquals("malformed\n", read(new byte[] {0, 0, 0, 0, 'A'}, 5));
        assertEquals("malformed\n", read(new byte[] {-1, -1, -1, -1, 'A'}, 1));
        assertEquals("malformed\n", read(new byte[] {0, 0, 3, 0, 'A'}, 5));
    }

    /**
     * A large text is in the frame as it is, and the frame shares it. Guards against a copy for
     * each part, with which a text that is asked of every shard takes as much memory for each.
     */
    @Test
    void largeTextsAreSharedByTheFramesOfTheirParts() {
        byte[] text = "x".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
        ByteBuf frame =
                NodeFrames.call(
                        UnpooledByteBufAllocator.DEFAULT,
                        List.of(
                                new NodeFrames.CallPart("9b.3", 3, 240, text),
                                new NodeFrames.CallPart("9b.4", 4, 240, text)));
        Arrays.fill(text, (byte) 'y');
        String expected =
                "Q9b.3 3 d=240 10000\n"
                        + "y".repeat(10_000)
                        + "9b.4 4 d=240 10000\n"
                        + "y".repeat(10_000);
        assertEquals(expected.length(), frame.getIntLE(0));
        assertEquals(expected, frame.toString(4, expected.length(), StandardCharsets.US_ASCII));
        assertEquals(4 + expected.length(), frame.readableBytes());
    }

    private static String read(byte[] bytes, int step) {
        ConnectionBuffer in = new ConnectionBuffer(1000);
        FrameReader reader = new FrameReader();
        StringBuilder trace = new StringBuilder();
        for (int at = 0; at < bytes.length; at += step) {
            in.append(Unpooled.wrappedBuffer(bytes, at, Math.min(step, bytes.length - at)));
            FrameReader.Progress progress = reader.read(in);
            for (; progress == FrameReader.Progress.FRAME; progress = reader.read(in)) {
                trace.append(reader.type()).append(": ").append(reader.payloadText()).append('\n');
            }
            if (progress == FrameReader.Progress.MALFORMED) {
                return trace.append("malformed\n").toString();
            }
        }
        return trace.toString();
    }

    /**
     * A malformed answer must be rejected, while one with a malformed load report must be taken
     * without the report.
     */
    @Test
    void answersAndLoadReportsAreParsed() throws IOException {
        StringBuilder trace = new StringBuilder();
        for (String payload :
                new String[] {
                    "9b.3 ok 1840277719 -\nvalue",
                    "9b.3 ok 1 -\n",
                    "9b.3 err 1 inflight=7,util=0.61\n",
                    "9b.3 busy - pending=2,served_ps=3.5,cpu_share=0.5,other=9\n",
                    "9b.3 ok 1 pending=x\nvalue\nwith lines",
                    "9b.3 ok 1 pending=-1\n",
                    "9b.3 ok 1 pending=NaN\n",
                    "9b.3 maybe 1 -\n",
                    "9b.3 ok 1 -",
                    "9b.3 ok -\n",
                    " ok 1 -\n",
                    ""
                }) {
            trace.append(payload.replace("\n", "|"))
                    .append(" -> ")
                    .append(
                            String.valueOf(
                                            PartAnswer.parse(
                                                    payload.getBytes(StandardCharsets.UTF_8)))
                                    .replace("\n", "|"))
                    .append('\n');
        }
        assertEquals(Trace.expected("answers.txt"), trace.toString());
    }
}
