package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What others send must not use up the heap of a running router, whoever of them sends it. */
public class MemoryLimitTest extends ServeTestHarness {
    private static final int DESCRIPTORS = 1024;

    /** Within this time a client that sends no complete request is owed an error or a close. */
    private static final int BAD_CLIENT_ANSWER_MILLIS = 3000;

    /** The router's heap has 48 MB; 600 unfinished requests of 73 KB are 44 MB. */
    private static final int UNFINISHED_REQUESTS = 600;

    /**
     * Guards against the end or a stand still of the router when many clients stop in the middle of
     * a large request and stay: nothing bounded what all connections hold together.
     */
    @Test
    void unfinishedRequestsOfManyClientsDoNotUseUpTheHeap() throws Exception {
        startWithList(DESCRIPTORS);
        byte[] unfinished = unfinishedRequest();
        for (int round = 0; round < 2; round++) {
            List<Client> badClients = new ArrayList<>();
            for (int i = 0; i < UNFINISHED_REQUESTS; i++) {
                Client bad = new Client();
                bad.socket.getOutputStream().write(unfinished);
                bad.socket.setSoTimeout(BAD_CLIENT_ANSWER_MILLIS);
                badClients.add(bad);
            }
            assertServes("r" + round);
            for (Client bad : badClients) {
                String end = endOf(bad);
                assertTrue(end.matches("(4|5).. close|end"), end);
                bad.close();
            }
        }
        assertRuns();
    }

    /** A head of 8 KB of short lines, and most of a chunk of 64 KB. */
    private static byte[] unfinishedRequest() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes("POST /sheet HTTP/1.1\r\nTransfer-Encoding:chunked\r\n".getBytes());
        bytes.writeBytes("a:b\n".repeat(2020).getBytes());
        bytes.writeBytes("\nFFFF\n".getBytes());
        bytes.writeBytes(new byte[65_000]);
        return bytes.toByteArray();
    }

    /** The response, or "end" where the connection ends without one. */
    private static String endOf(Client client) {
        try {
            return client.readResponse();
        } catch (IOException reset) {
            return "SocketTimeoutException".equals(reset.getClass().getSimpleName())
                    ? "nothing"
                    : "end";
        }
    }

    /** A client that asks now is served. */
    private void assertServes(String id) throws Exception {
        Client sound = new Client().sendMultiget("report", id, 0);
        nodeA.nextFrame().answer(id + ".0", "ok", "zero");
        assertEquals(
                "200 {\"complete\":true,\"hits\":[{\"shard\":0,\"doc\":\"zero\"}]}",
                sound.readResponse());
        sound.close();
    }

    private void assertRuns() {
        assertTrue(process.isAlive(), log.toString());
        assertTrue(log.stream().noneMatch(line -> line.contains("OutOfMemory")), log.toString());
    }
}
