package gladewing.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladewing.buffer.ConnectionBuffer;
import gladewing.decisions.AcceptedMultiget;
import gladewing.http.MessageReader;
import gladewing.router.Settings;
import gladewing.router.Span;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestReaderTest {
    @Test
    void readsAllFieldsOfAMultiget() {
        String body =
                "{\"shards\":[{\"shard\":3,\"weight\":0.25,\"cost\":9000,\"key\":\"00\"},"
                        + "{\"shard\":1,\"weight\":0.75}],"
                        + "\"q\":\"z\\u00e9\"}";
        RequestReader reader =
                new RequestReader(
                        new ServedCatalog(
                                List.of("report", "sheet"),
                                List.of(Settings.Effect.REPEATABLE, Settings.Effect.REPEATABLE),
                                List.of("x", "y"),
                                4));
        ConnectionBuffer in = new ConnectionBuffer(1000);
        in.append(
                Unpooled.copiedBuffer(
                        "POST /sheet/any?x=1 HTTP/1.1\r\n"
                                + "x-request-id: 9b\r\n"
                                + "X-Priority-Class: sheet\r\n"
                                + "X-TIMEOUT-MS: 480\r\n"
                                + "X-Retried: 1\r\n"
                                + "X-Tenant-Id: y\r\n"
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body,
                        StandardCharsets.ISO_8859_1));
        MessageReader message = new MessageReader();
        assertEquals(MessageReader.Progress.MESSAGE, message.read(in));
        assertEquals(0, reader.read(message));
        AcceptedMultiget multiget = newMultiget(reader, reader.timeLeft());
        assertEquals(
                "9b 1 of tenant 1 480.0 again [Part[shard=3, weight=0.25,"
                        + " workHint=Span[micros=9000]], Part[shard=1, weight=0.75,"
                        + " workHint=Span[micros=0]]] z\u00e9",
                multiget.id
                        + " "
                        + multiget.product
                        + " of tenant "
                        + multiget.tenant
                        + " "
                        + multiget.timeLeft.millis()
                        + (multiget.isClientRetry ? " again " : " ")
                        + multiget.parts
                        + " "
                        + new String(multiget.payload(), StandardCharsets.UTF_8));
        // The time that a request has waited to be read is subtracted, but some is always left.
        assertEquals(
                400,
                newMultiget(reader, reader.timeLeft().minus(Span.ofMillis(80))).timeLeft.millis());
        assertEquals(
                0.001,
                newMultiget(reader, reader.timeLeft().minus(Span.ofMillis(900))).timeLeft.millis());
    }

    private static AcceptedMultiget newMultiget(RequestReader reader, Span timeLeft) {
        return reader.newMultiget(null, timeLeft, reader.product(), reader.tenant(), null);
    }
}
