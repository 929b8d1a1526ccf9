package gladewing.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses to requests that are sent one at a time. */
class ResponseReaderTest {
    private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    private static ResponseReader reading(String bytes) {
        ResponseReader reader = new ResponseReader(1000);
        reader.append(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        return reader;
    }

    /**
     * Guards against a response that is used although its length is too short, or that comes twice,
     * so that the second copy is taken for the response to the next request; and against bytes in
     * front of a status line, which are the rest of the response before it.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                SOUND + "}",
                SOUND + SOUND,
                "}" + SOUND,
                "HTTP/1.1 404 no 200 here\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n"
            })
    void responsesWithOtherBytesAroundThemFail(String bytes) {
        assertEquals(ResponseReader.Progress.FAILED, reading(bytes).read());
    }

    @Test
    void responsesOneAfterTheOtherAreRead() {
        ResponseReader reader = reading(SOUND + "\r\n");
        assertEquals(ResponseReader.Progress.OK, reader.read());
        assertEquals("{}", new String(reader.body(), StandardCharsets.US_ASCII));
        reader.startNextResponse();
        assertEquals(ResponseReader.Progress.INCOMPLETE, reader.read());
        reader.append(Unpooled.copiedBuffer(SOUND, StandardCharsets.ISO_8859_1));
        assertEquals(ResponseReader.Progress.OK, reader.read());
    }
}
