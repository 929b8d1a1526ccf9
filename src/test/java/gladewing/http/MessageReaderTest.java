package gladewing.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.buffer.ConnectionBuffer;
import gladewing.router.Trace;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessageReaderTest {
    /**
     * The result must not depend on how the bytes are split into reads. Each case of the file is
     * what one connection receives; a line that ends with a backslash has no CRLF.
     */
    @Test
    void readsTheSameHoweverTheBytesAreSplit() throws IOException {
        String[] cases = Trace.expected("http-in.txt").split("(?m)^== ");
        StringBuilder results = new StringBuilder();
        Random random = new Random(5);
        for (int i = 1; i < cases.length; i++) {
            int end = cases[i].indexOf('\n');
            String name = cases[i].substring(0, end);
            byte[] bytes =
                    cases[i].substring(end + 1)
                            .replace("\\\n", "\0")
                            .replace("\n", "\r\n")
                            .replace("\0", "")
                            .getBytes(StandardCharsets.ISO_8859_1);
            String expected = read(bytes, bytes.length, null);
            results.append("== ").append(name).append('\n').append(expected);
            assertEquals(expected, read(bytes, 1, null), name + ", byte by byte");
            for (int cut = 0; cut < 20; cut++) {
                assertEquals(
                        expected,
                        read(bytes, 1 + random.nextInt(40), random),
                        name + ", cut at random");
            }
        }
        assertEquals(Trace.expected("http-out.txt"), results.toString());
    }

    @Test
    void limitsTheSizeOfHeadAndBody() {
        String post = "POST / HTTP/1.1\r\n";
        int max = MessageReader.MAX_BODY_BYTES;
        assertEquals(
                "POST / HTTP/1.1, " + max + " bytes\n",
                read(
                        (post + "Content-Length: " + max + "\r\n\r\n" + "x".repeat(max)).getBytes(),
                        4000,
                        null));
        assertEquals(
                "unusable 413\n",
                read((post + "Content-Length: " + (max + 1) + "\r\n\r\n").getBytes(), 50, null));
        assertEquals(
                "unusable 413\n",
                read((post + "Content-Length: 99999999999999999999\r\n\r\n").getBytes(), 50, null));
        assertEquals(
                "unusable 413\n",
                read(
                        (post
                                        + "Transfer-Encoding: chunked\r\n\r\n8000\r\n"
                                        + "x".repeat(32768)
                                        + "\r\n8001\r\n")
                                .getBytes(),
                        4000,
                        null));
        assertEquals(
                "unusable 431\n",
                read(
                        (post + "A: " + "x".repeat(MessageReader.MAX_HEAD_BYTES)).getBytes(),
                        900,
                        null));
        assertEquals(
                "unusable 431\n",
                read(("GET /" + "x".repeat(MessageReader.MAX_HEAD_BYTES)).getBytes(), 900, null));
    }

    /**
     * An unfinished head takes no more than four times its bytes, its buffer included. Guards
     * against heads of many short lines that use up the heap; as a string for each name and value
     * they took 27 times their bytes.
     */
    @Test
    void headOfManyShortLinesTakesLittleMoreMemoryThanItsBytes() {
        int heads = 1000;
        byte[] head = ("POST / HTTP/1.1\r\n" + "a:b\n".repeat(2000)).getBytes();
        List<Object> held = new ArrayList<>();
        long usedBefore = usedHeapBytes();
        for (int i = 0; i < heads; i++) {
            ConnectionBuffer in = new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
            MessageReader reader = new MessageReader();
            in.append(Unpooled.wrappedBuffer(head));
            assertEquals(MessageReader.Progress.INCOMPLETE, reader.read(in));
            assertEquals(2000, reader.headerCount());
            held.add(in);
            held.add(reader);
        }
        long perHead = (usedHeapBytes() - usedBefore) / heads;
        assertTrue(perHead < 4L * head.length, perHead + " bytes for a head of " + head.length);
        assertEquals(2 * heads, held.size());
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static String read(byte[] bytes, int step, Random random) {
        ConnectionBuffer in = new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
        MessageReader reader = new MessageReader();
        StringBuilder result = new StringBuilder();
        for (int at = 0; at < bytes.length; ) {
            int length =
                    Math.min(random == null ? step : 1 + random.nextInt(step), bytes.length - at);
            in.append(Unpooled.wrappedBuffer(bytes, at, length));
            at += length;
            MessageReader.Progress progress = reader.read(in);
            while (progress == MessageReader.Progress.MESSAGE) {
                byte[] body = reader.body();
                result.append(reader.startLine())
                        .append(", ")
                        .append(
                                body.length < 40 && body.length > 0
                                        ? new String(body, StandardCharsets.ISO_8859_1)
                                        : body.length + " bytes")
                        .append(reader.isKeepAlive() ? "" : ", then it closes")
                        .append(
                                reader.header("x-note") == null
                                        ? ""
                                        : ", note " + reader.header("x-note"))
                        .append('\n');
                reader.startNextMessage();
                progress = reader.read(in);
            }
            if (progress == MessageReader.Progress.INVALID) {
                return result.append("unusable ")
                        .append(reader.errorStatus())
                        .append('\n')
                        .toString();
            }
        }
        return result.append(reader.isMidMessage() ? "waits for more\n" : "").toString();
    }
}
