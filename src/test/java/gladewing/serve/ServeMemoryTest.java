package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What others send must not use up the heap of a running router, whoever of them sends it. */
public class ServeMemoryTest extends ServeTestHarness {
    private static final int DESCRIPTORS = 1024;

    /** As in the run line of the deploy file; the heap of the harness is smaller than there. */
    private static final String DIRECT_MEMORY = "-XX:MaxDirectMemorySize=8m";

    /** Within this time a client that sends no complete request is owed an error or a close. */
    private static final int BAD_CLIENT_ANSWER_MILLIS = 3000;

    /** The router's heap has 48 MB; 600 unfinished requests of 73 KB are 44 MB. */
    private static final int UNFINISHED_REQUESTS = 600;

    private static final int OPEN_MULTIGETS = 700;

    /** Less than a long pass reads of a connection, so that each piece is read to its end. */
    private static final int PIECE_BYTES = 3500;

    /** Enough for all of them, so that the module does not dismiss any for their number. */
    private static final int MAX_OPEN = 10_000;

    private static final String LARGE_TEXT = "x".repeat(65_000);

    /**
     * Guards against the end or a stand still of the router when many clients stop in the middle of
     * a large request and stay: nothing bounded what all connections hold together.
     */
    @Test
    void unfinishedRequestsOfManyClientsDoNotUseUpTheHeap() throws Exception {
        jvmOptions.add(DIRECT_MEMORY);
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
        assertServesLargeRequest("large");
        assertRuns();
    }

    /**
     * Guards against bytes that wait behind open requests and use up the heap: each connection kept
     * up to 72 KB of them. The open request gets its answer, and its connection is closed then. The
     * bytes come in pieces: an open request ends early where its client's socket stays unread.
     */
    @Test
    void bytesBehindOpenRequestsDoNotUseUpTheHeap() throws Exception {
        jvmOptions.add(DIRECT_MEMORY);
        maxOpen = MAX_OPEN;
        startWithList(DESCRIPTORS);
        List<Client> clients = connect(OPEN_MULTIGETS);
        for (int i = 0; i < OPEN_MULTIGETS; i++) {
            sendMultiget(clients.get(i), "o" + i, 3000, "c4", 1);
        }
        awaitReady("200");
        byte[] further = unfinishedRequest();
        for (int sent = 0; sent < further.length; sent += PIECE_BYTES) {
            int length = Math.min(PIECE_BYTES, further.length - sent);
            for (Client client : clients) {
                client.socket.getOutputStream().write(further, sent, length);
            }
            // Answered once the router has read what was sent before.
            awaitReady("200");
        }
        assertServes("r1");
        int closed = 0;
        for (Client client : clients) {
            String response = client.readResponse();
            assertTrue(response.matches("(429|503|504).*"), response);
            closed += response.contains("close") ? 1 : 0;
            client.close();
        }
        assertTrue(closed > 0, "no connection had to give way");
        assertServesLargeRequest("r2");
        assertRuns();
    }

    /**
     * Guards against parts that keep the texts of clients that have left: a data node may still
     * answer a part that was withdrawn, so the part was kept, and with it all that its client had
     * asked.
     */
    @Test
    void multigetsOfClientsThatLeaveKeepNoText() throws Exception {
        jvmOptions.add(DIRECT_MEMORY);
        startWithList(DESCRIPTORS);
        for (int i = 0; i < 1000; i++) {
            Client leaving = new Client();
            sendMultiget(leaving, "l" + i, 60_000, LARGE_TEXT, 0);
            awaitCall("l" + i + ".0");
            leaving.close();
            if (i % 10 == 0) {
                // Keeps the connections to the node in use.
                assertServes("s" + i);
            }
        }
        assertRuns();
    }

    /**
     * Guards against texts that use up the heap: nothing bounded what all open multigets ask
     * together, and each part was given a copy.
     */
    @Test
    void textsOfManyOpenMultigetsDoNotUseUpTheHeap() throws Exception {
        maxOpen = MAX_OPEN;
        jvmOptions.add(DIRECT_MEMORY);
        startWithList(DESCRIPTORS);
        List<Client> clients = connect(OPEN_MULTIGETS);
        signal("STOP");
        for (int i = 0; i < OPEN_MULTIGETS; i++) {
            sendMultiget(clients.get(i), "t" + i, 3000, LARGE_TEXT, 0, 1, 2, 3);
        }
        signal("CONT");
        for (Client client : clients) {
            assertTrue(client.readResponse().matches("(429|503|504).*"));
            client.close();
        }
        assertServesLargeRequest("r1");
        assertRuns();
    }

    /**
     * Guards against node lists that use up the heap: a value of two bytes takes a hundred, and
     * changes may go on naming further data nodes.
     */
    @Test
    void nodeListsDoNotUseUpTheHeap() throws Exception {
        jvmOptions.add(DIRECT_MEMORY);
        startWithList(DESCRIPTORS);
        String smallObjects = "{\"\":0},".repeat(250_000);
        String body = "{\"rev\":8,\"all\":true,\"targets\":[],\"more\":[" + smallObjects + "0]}";
        discovery.setAnswer(
                8, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        awaitLog("discovery failed, the last list is kept: not JSON");
        assertServes("r1");
        int nodesPerChange = 4000;
        for (int change = 0; change < 3; change++) {
            String[] targets = new String[nodesPerChange];
            for (int i = 0; i < nodesPerChange; i++) {
                targets[i] =
                        target("further-" + (change * nodesPerChange + i), "127.0.0.1:9", 1, "up");
            }
            discovery.setList(9 + change, false, targets);
            if (change < 2) {
                assertTrue(discovery.awaitWatch(9 + change, 1000 * TIMEOUT_S));
            }
        }
        awaitLog("a list of more than 8192 data nodes");
        assertServes("r2");
        assertRuns();
    }

    private void awaitLog(String text) throws InterruptedException {
        for (int i = 0; i < 100 * TIMEOUT_S; i++) {
            if (log.stream().anyMatch(line -> line.contains(text))) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not logged: " + text + " in " + log);
    }

    private List<Client> connect(int count) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new Client());
        }
        return clients;
    }

    private static void sendMultiget(
            Client client, String id, int timeoutMillis, String text, int... shards)
            throws IOException {
        client.send(multiget(id, timeoutMillis, text, shards));
    }

    private static String multiget(String id, int timeoutMillis, String text, int... shards) {
        String parts =
                Arrays.stream(shards)
                        .mapToObj(
                                s -> "{\"shard\":" + s + ",\"weight\":" + 1.0 / shards.length + "}")
                        .collect(Collectors.joining(","));
        String body = "{\"shards\":[" + parts + "],\"q\":\"" + text + "\"}";
        return "POST /report HTTP/1.1\r\nX-Request-ID: "
                + id
                + "\r\nX-Timeout-Ms: "
                + timeoutMillis
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Waits until node A gets a call with this part. */
    private FakeDataNode.Frame awaitCall(String partId) throws Exception {
        FakeDataNode.Frame frame = nodeA.nextFrame();
        while (frame.letter != 'Q' || !frame.text.startsWith(partId + " ")) {
            frame = nodeA.nextFrame();
        }
        return frame;
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

    /**
     * A client that sends a large request in two pieces is served, once all others have left. It is
     * refused where the memory that they held is still counted.
     */
    private void assertServesLargeRequest(String id) throws Exception {
        Client sound = new Client();
        String request = multiget(id, 3000, LARGE_TEXT, 0);
        sound.send(request.substring(0, request.length() / 2));
        Thread.sleep(100);
        sound.send(request.substring(request.length() / 2));
        awaitCall(id + ".0").answer(id + ".0", "ok", "zero");
        assertTrue(sound.readResponse().startsWith("200 {\"complete\":true"));
        sound.close();
    }

    /** A client that asks now is served. */
    private void assertServes(String id) throws Exception {
        Client sound = new Client().sendMultiget("report", id, 0);
        awaitCall(id + ".0").answer(id + ".0", "ok", "zero");
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
