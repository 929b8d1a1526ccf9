package gladewing.frames;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The frame types of the data node protocol, and the encoding of the frames that nodes are sent.
 */
public final class NodeFrames {
    /** To a node: one or more parts to be answered. */
    public static final char CALL = 'Q';

    /** To a node: the id of a part that is no longer needed. */
    public static final char GIVE_UP = 'X';

    /** Both ways: a probe without a load report, and its answer. */
    public static final char PROBE = 'P';

    /** Both ways: a probe that asks for a load report, and its answer. */
    public static final char LOAD_PROBE = 'L';

    /** From a node: the end of one part, see {@link PartAnswer}. */
    public static final char ANSWER = 'A';

    /** From a node: the text of an error that concerns the whole connection. */
    public static final char ERROR = 'E';

    /** All types. */
    static final String TYPES = "QXPLAE";

    /** The types that a node sends. */
    public static final String TYPES_OF_NODES = "PLAE";

    /**
     * One part of a call.
     *
     * @param timeLimitMillis how long its answer will be waited for
     * @param text what the part's shard is asked
     */
    public record CallPart(String id, int shard, long timeLimitMillis, byte[] text) {}

    /**
     * Texts up to this size are copied into their frame. A larger one is shared by the frames of
     * all its parts, as one text may be asked of every shard.
     */
    private static final int MAX_COPIED_TEXT_BYTES = 1024;

    private NodeFrames() {}

    /** Encodes a call. */
    public static ByteBuf call(ByteBufAllocator allocator, List<CallPart> parts) {
        CompositeByteBuf withTexts = null;
        ByteBuf lines = begin(allocator, CALL);
        for (CallPart part : parts) {
            lines.writeCharSequence(line(part), StandardCharsets.UTF_8);
            if (part.text.length <= MAX_COPIED_TEXT_BYTES) {
                lines.writeBytes(part.text);
            } else {
                if (withTexts == null) {
                    withTexts = allocator.compositeBuffer(2 * parts.size() + 1);
                }
                withTexts.addComponent(true, lines);
                withTexts.addComponent(true, Unpooled.wrappedBuffer(part.text));
                lines = allocator.buffer();
            }
        }
        return end(withTexts == null ? lines : withTexts.addComponent(true, lines));
    }

    private static String line(CallPart part) {
        return part.id
                + " "
                + part.shard
                + " d="
                + part.timeLimitMillis
                + " "
                + part.text.length
                + "\n";
    }

    /** Encodes the withdrawal of a part. */
    public static ByteBuf giveUp(ByteBufAllocator allocator, String id) {
        ByteBuf frame = begin(allocator, GIVE_UP);
        frame.writeCharSequence(id, StandardCharsets.UTF_8);
        return end(frame);
    }

    /** Encodes a probe, of type {@link #PROBE} or {@link #LOAD_PROBE}. */
    public static ByteBuf probe(ByteBufAllocator allocator, char type) {
        return end(begin(allocator, type));
    }

    private static ByteBuf begin(ByteBufAllocator allocator, char type) {
        return allocator.buffer().writeIntLE(0).writeByte(type);
    }

    /** Fills in the frame's length. */
    private static ByteBuf end(ByteBuf frame) {
        return frame.setIntLE(0, frame.readableBytes() - FrameReader.LENGTH_BYTES);
    }
}
