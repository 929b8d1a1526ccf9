package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients send requests behind others on one connection. Guards against answers that come after
 * their client's time because an earlier request has more of it.
 */
class PipelinedRequestTest extends ServeTestHarness {
    private static final int LONG_MILLIS = 5000;
    private static final int SHORT_MILLIS = 600;

    /** The protocol page's slack on sockets, and that of an answer. */
    private static final int SLACK_MILLIS = 70;

    /** More than are kept behind an open request. */
    private static final int TOO_MANY = 400;

    /** Together they make a pass longer than a short one. */
    private static final int SENDING_CLIENTS = 60;

    private static final String HEAD_END = "\r\n\r\n";
    private static final int CHECKS_AT_ONCE = 2000;
    private static final int LARGE_TEXT = 20_000;

    private final List<RecordingNode> recordings = new ArrayList<>();

    @AfterEach
    void stopNodes() {
        recordings.forEach(RecordingNode::close);
    }

    private void startWithNodes(int delayMillis) throws Exception {
        startWithList();
        recordings.add(new RecordingNode(nodeA, delayMillis, "ok"));
        recordings.add(new RecordingNode(nodeB, delayMillis, "ok"));
    }

    private static String multiget(String id, int timeoutMillis) {
        return multiget(id, timeoutMillis, "x".repeat(100));
    }

    private static String multiget(String id, int timeoutMillis, String text) {
        String body = "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"" + text + "\"}";
        return "POST /report HTTP/1.1\r\nX-Request-ID: "
                + id
                + "\r\nX-Timeout-Ms: "
                + timeoutMillis
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /**
     * Sends all at once; returns the status of each answer, none of which has a body. The last byte
     * must come in time.
     */
    private List<String> answersInTime(String requests, int count, int millis) throws Exception {
        long sentAt = System.nanoTime();
        Client client = new Client().send(requests);
        StringBuilder received = new StringBuilder();
        byte[] bytes = new byte[64 * 1024];
        List<String> answers = new ArrayList<>();
        while (answers.size() < count) {
            int length = client.socket.getInputStream().read(bytes);
            assertTrue(length > 0, "the connection ended after " + answers.size() + " answers");
            received.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
            for (int end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
                answers.add(received.substring(9, 12));
                received.delete(0, end + HEAD_END.length());
            }
        }
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        assertTrue(
                elapsed <= millis + SLACK_MILLIS, "the last answer came after " + elapsed + " ms");
        client.close();
        return answers;
    }

    /** The request behind an open one was answered when that one's longer time was over. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void answersARequestWithinItsTimeBehindOthersThatHaveMore(int before) throws Exception {
        startWithNodes(-1);
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < before; i++) {
            requests.append(multiget("long-" + i, LONG_MILLIS));
        }
        requests.append(multiget("short", SHORT_MILLIS));
        List<String> answers = answersInTime(requests.toString(), before + 1, SHORT_MILLIS);
        assertTrue(answers.stream().allMatch(status -> status.matches("50[34]")), "" + answers);
    }

    /** As above, where there are too many to be kept. */
    @Test
    void answersRefusedRequestsWithinTheirTime() throws Exception {
        startWithNodes(-1);
        StringBuilder requests = new StringBuilder(multiget("long", LONG_MILLIS));
        for (int i = 0; i < TOO_MANY; i++) {
            requests.append(multiget("short-" + i, SHORT_MILLIS));
        }
        answersInTime(requests.toString(), TOO_MANY + 1, SHORT_MILLIS);
    }

    /** The time of a request counts from when it arrived, not from when the first one did. */
    @Test
    void servesARequestThatArrivesLaterForItsWholeTime() throws Exception {
        startWithNodes(400);
        Client client = new Client().send(multiget("first", LONG_MILLIS));
        Thread.sleep(100);
        client.send(multiget("second", 2 * SHORT_MILLIS));
        assertTrue(client.readResponse().startsWith("200"));
        assertTrue(client.readResponse().startsWith("200"));
        client.close();
    }

    /**
     * A long pass has read as much of a socket as it may, and nothing is left in it: the request
     * was not begun, as its client could have left, and got 408 after 2.4 s.
     */
    @Test
    void beginsARequestThatALongPassHasReadToItsLastByte() throws Exception {
        startWithNodes(5);
        byte[] checks =
                "GET /health/ready HTTP/1.1\r\n\r\n"
                        .repeat(CHECKS_AT_ONCE)
                        .getBytes(StandardCharsets.ISO_8859_1);
        List<Client> others = new ArrayList<>();
        for (int i = 0; i < SENDING_CLIENTS; i++) {
            others.add(new Client());
        }
        Client sound = new Client();
        Thread.sleep(100);
        signal("STOP");
        for (Client other : others) {
            other.socket.getOutputStream().write(checks);
        }
        sound.send(multiget("large", LONG_MILLIS, "x".repeat(LARGE_TEXT)));
        signal("CONT");
        sound.socket.setSoTimeout(LONG_MILLIS);
        assertTrue(sound.readResponse().startsWith("200"));
    }

    /** What follows a request that may be upgraded is not read as HTTP at first. */
    @Test
    void answersAnOpenRequestBeforeMuchBehindAnUpgrade() throws Exception {
        startWithNodes(300);
        Client client = new Client().send(multiget("open", LONG_MILLIS));
        client.send("GET /live HTTP/1.1\r\nUpgrade: websocket\r\n\r\n");
        byte[] piece = new byte[LARGE_TEXT];
        for (int i = 0; i < 15; i++) {
            client.socket.getOutputStream().write(piece);
            Thread.sleep(5);
        }
        assertTrue(client.readResponse().startsWith("200"));
        assertEquals("503", client.readResponse());
        assertEquals("431 close", client.readResponse());
    }

    /** A request that waits has nothing sent for it once its time is over. */
    @Test
    void sendsNothingForARequestThatWasRefusedWhileItWaited() throws Exception {
        startWithNodes(-1);
        String requests = multiget("long", LONG_MILLIS) + multiget("short", SHORT_MILLIS);
        answersInTime(requests, 2, SHORT_MILLIS);
        Thread.sleep(300);
        List<String> sent = new ArrayList<>();
        for (RecordingNode recording : recordings) {
            recording.receipts.forEach(receipt -> sent.add(receipt.requestId()));
        }
        assertEquals(List.of(), sent.stream().filter("short"::equals).toList());
    }
}
