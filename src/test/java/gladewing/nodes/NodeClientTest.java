package gladewing.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.decisions.AcceptedMultiget;
import gladewing.decisions.Decisions;
import gladewing.decisions.Transmission;
import gladewing.lifecycle.MemoryLimit;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.router.Trace;
import gladewing.serve.ServeTestHarness.FakeDataNode;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Transmissions and probes over real connections to a data node that the test plays. */
class NodeClientTest extends NodeClientHarness {
    private static final int PARTIAL_ANSWER_BYTES = 32 * 1024;

    /**
     * Answers name the part and not the transmission. An answer that crosses the withdrawal must
     * not end the next transmission of the same part.
     */
    @Test
    void answerToWithdrawnTransmissionDoesNotEndALaterOne() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0);
            Transmission first = to("n", multiget, 0, LONG);
            transmit(first);
            FakeDataNode.Frame call = node.nextFrame();
            addToTrace("connection " + call.connection, call.letter);
            run(() -> client.withdraw(first));
            recordNextEnd();
            addToTrace("connection " + call.connection, node.nextFrame());
            transmit(to("n", multiget, 0, LONG));
            FakeDataNode.Frame again = node.nextFrame();
            addToTrace("connection " + again.connection, again.letter);
            call.answer("1.0", "ok", "old");
            again.answer("1.0", "ok", "new");
            recordNextEnd();
            assertEquals(Trace.expected("nodes-crossed.txt"), trace.toString());
        }
    }

    /**
     * A machine that vanished and came back closes none of its old connections. After a new start
     * time is listed, new parts must not be sent on them.
     */
    @Test
    void connectionsFromBeforeARestartGetNothingNew() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port(), 0);
            transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, LONG));
            FakeDataNode.Frame old = node.nextFrame();
            putNode("n", node.port(), 1_700_000_000_000L);
            transmit(to("n", Trace.silentMultiget("2", 2, 0), 0, LONG));
            addToTrace("after the restart, connection", node.nextFrame().connection);
            old.answer("1.0", "ok", "what was out still ends");
            recordNextEnd();
            addToTrace("then the old one is closed", old.awaitClosed());
            assertEquals(Trace.expected("nodes-restart.txt"), trace.toString());
        }
    }

    /**
     * The path of a connection may break with both ends open while the node is well. New parts must
     * then go over another connection instead of timing out on the silent one.
     */
    @Test
    void silentConnectionIsReplaced() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, Span.ofMillis(60_000), Span.ofMillis(100));
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, Span.ofMillis(300)));
            FakeDataNode.Frame silent = node.nextFrame();
            recordNextEnd();
            addToTrace("withdrawn on connection " + silent.connection, node.nextFrame());
            transmit(to("n", Trace.silentMultiget("2", 2, 0), 0, Span.ofMillis(210)));
            FakeDataNode.Frame second = node.nextFrame();
            addToTrace("the next on connection", second.connection);
            recordNextEnd();
            addToTrace("withdrawn", node.nextFrame());
            transmit(to("n", Trace.silentMultiget("3", 2, 0), 0, LONG));
            FakeDataNode.Frame third = node.nextFrame();
            addToTrace("both are silent, and no third one is opened so soon", third.connection < 3);
            third.answer("3.0", "ok", "three");
            recordNextEnd();
            transmit(to("n", Trace.silentMultiget("4", 2, 0), 0, LONG));
            addToTrace(
                    "the one that answered is used again",
                    node.nextFrame().connection == third.connection);
            addToTrace(
                    "the silent one is closed",
                    (third.connection == 1 ? second : silent).awaitClosed());
            assertEquals(Trace.expected("nodes-silent.txt"), trace.toString());
        }
    }

    /**
     * A break ends everything in flight on the connection. After one, a call to that node must not
     * share a connection with others.
     */
    @Test
    void callsDoNotShareConnectionsAfterABreak() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            for (int i = 1; i < 6; i++) {
                transmit(to("n", Trace.silentMultiget("" + i, 2, 0), 0, LONG));
                FakeDataNode.Frame call = node.nextFrame();
                addToTrace("call " + i + " on connection", call.connection);
                if (i == 2) {
                    call.close();
                    recordNextEnd();
                    recordNextEnd();
                } else if (i == 4) {
                    call.answer("4.0", "ok", "four");
                    recordNextEnd();
                }
            }
            assertEquals(Trace.expected("nodes-alone.txt"), trace.toString());
        }
    }

    /**
     * A connection that is never accepted must end its probe as NOT_WRITTEN. TIMED_OUT would look
     * like a node that is up and has not answered.
     */
    @Test
    void probeEndsAsNotWrittenWhenItsConnectionNeverComesUp() throws Exception {
        start(10, true, LONG);
        try (ServerSocket unaccepting = new ServerSocket(0, 1);
                Socket first = new Socket("127.0.0.1", unaccepting.getLocalPort());
                Socket second = new Socket("127.0.0.1", unaccepting.getLocalPort())) {
            assertTrue(first.isConnected() && second.isConnected(), "the listener's queue is full");
            putNode("deaf", unaccepting.getLocalPort());
            run(() -> client.probe("deaf"));
            recordNextEnd();
        }
        assertEquals("end: probe of deaf NOT_WRITTEN\n", trace.toString());
    }

    /**
     * Nothing may be sent for a multiget after its final answer. A part that still waits for its
     * connection then must not be sent, even where withdrawals are not allowed.
     */
    @Test
    void waitingPartIsNotSentAfterTheFinalAnswer() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, false, LONG);
            putNode("n", node.port());
            AcceptedMultiget ended = Trace.silentMultiget("1", 2, 0);
            AcceptedMultiget open = Trace.silentMultiget("2", 2, 0);
            Decisions decisions = new Decisions(new Trace().settings(), 7, new Time(0));
            run(
                    () -> {
                        decisions.beginTurn(new Time(0));
                        decisions.accept(ended);
                        client.transmit(List.of(to("n", ended, 0, LONG), to("n", open, 0, LONG)));
                        decisions.clientLeft(ended);
                    });
            recordNextEnd();
            FakeDataNode.Frame call = node.nextFrame();
            addToTrace("sent", call);
            assertEquals("end: 1.0 NOT_SENT\nsent: Q 2.0 0 2|\0\0\n", trace.toString());
        }
    }

    /**
     * A call that waited for its connection was still sent when its node had gone from the list, or
     * had a new incarnation, meanwhile.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void waitingPartIsNotSentToANodeThatIsGone(boolean isReplaced) throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, false, LONG);
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0);
            run(
                    () -> {
                        client.transmit(List.of(to("n", multiget, 0, LONG)));
                        if (isReplaced) {
                            client.putNode("n", new InetSocketAddress("127.0.0.1", 1), 1);
                        } else {
                            client.removeNode("n");
                        }
                    });
            recordNextEnd();
            assertEquals("end: 1.0 NOT_SENT\n", trace.toString());
            assertTrue(node.hasNoFrames());
        }
    }

    /**
     * Guards against answers that begin, do not end and together use up the heap, over all
     * connections: what has held its memory longest gives way, and its parts end as broken.
     */
    @Test
    void incompleteAnswersGiveWayWhenTheyHoldTooMuchMemory() throws Exception {
        memory = new MemoryLimit(3 * PARTIAL_ANSWER_BYTES - 1);
        start(10, true, LONG, LONG);
        try (FakeDataNode node = new FakeDataNode()) {
            for (int i = 1; i <= 3; i++) {
                putNode("n" + i, node.port());
                transmit(to("n" + i, Trace.silentMultiget("" + i, 2, 0), 0, LONG));
                byte[] answer = new byte[PARTIAL_ANSWER_BYTES];
                byte[] start = "\0\0\1\0Ax ok 1 -\n".getBytes(StandardCharsets.ISO_8859_1);
                System.arraycopy(start, 0, answer, 0, start.length);
                node.nextFrame().writeBytes(answer);
                Thread.sleep(50);
            }
            putNode("sound", node.port());
            recordNextEnd();
            transmit(to("sound", Trace.silentMultiget("4", 2, 0), 0, LONG));
            node.nextFrame().answer("4.0", "ok", "value");
            recordNextEnd();
            assertEquals("end: 1.0 BROKEN\nend: 4.0 ANSWERED value\n", trace.toString());
            run(() -> assertTrue(memory.heldBytes() <= memory.maxBytes()));
        }
    }

    /**
     * Guards against a table that grows with clients that set a time limit of minutes and leave at
     * once: a withdrawn part is remembered for some seconds, and not for the whole time limit.
     */
    @Test
    void withdrawnPartsAreForgottenBeforeALongTimeLimit() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, LONG);
            putNode("n", node.port());
            AcceptedMultiget ended = Trace.silentMultiget("1", 2, 0);
            Decisions decisions = new Decisions(new Trace().settings(), 7, new Time(0));
            Transmission part = to("n", ended, 0, Span.ofMillis(600_000));
            run(
                    () -> {
                        decisions.beginTurn(new Time(0));
                        decisions.accept(ended);
                        client.transmit(List.of(part));
                    });
            node.nextFrame();
            run(
                    () -> {
                        decisions.clientLeft(ended);
                        client.withdraw(part);
                    });
            recordNextEnd();
            int remembered = thread.submit(() -> client.withdrawnCount()).get();
            assertEquals(1, remembered);
            for (int i = 0; i < 150 && remembered > 0; i++) {
                Thread.sleep(100);
                remembered = thread.submit(() -> client.withdrawnCount()).get();
            }
            assertEquals(0, remembered);
        }
    }

    /**
     * Where withdrawals are not allowed, the node still works on a part that timed out. It must
     * count towards the limit of parts on the connection until the node has answered it.
     */
    @Test
    void timedOutPartTakesUpRoomUntilAnswered() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, false, LONG);
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0, 1, 2, 3, 4);
            transmit(
                    to("n", multiget, 0, Span.ofMillis(400)),
                    to("n", multiget, 1, LONG),
                    to("n", multiget, 2, LONG),
                    to("n", multiget, 3, LONG));
            FakeDataNode.Frame first = node.nextFrame();
            FakeDataNode.Frame second = node.nextFrame();
            addToTrace(
                    "connection " + first.connection,
                    (first.text.split(" d=").length - 1) + " parts");
            addToTrace(
                    "connection " + second.connection,
                    (second.text.split(" d=").length - 1) + " parts");
            recordNextEnd();
            transmit(to("n", multiget, 4, LONG));
            addToTrace("full, so connection", node.nextFrame().connection);
            first.answer("1.0", "ok", "late");
            first.answer("1.1", "ok", "in time");
            recordNextEnd();
            transmit(
                    to("n", Trace.silentMultiget("2", 2, 0), 0, LONG),
                    to("n", Trace.silentMultiget("3", 2, 0), 0, LONG));
            addToTrace("two more, on connection", node.nextFrame().connection);
            transmit(
                    to("n", Trace.silentMultiget("4", 2, 0), 0, LONG),
                    to("n", Trace.silentMultiget("5", 2, 0), 0, LONG));
            addToTrace(
                    "two more, where there is room again, connection", node.nextFrame().connection);
            run(() -> client.probe("n"));
            FakeDataNode.Frame probe = node.nextFrame();
            probe.write('L', "pending=3,served_ps=1.5");
            recordNextEnd();
            assertEquals(Trace.expected("nodes-places.txt"), trace.toString());
        }
    }

    /**
     * Reaching the limit of connections is a condition of this program. It must not end calls at
     * once, nor be reported as a failure of the node.
     */
    @Test
    void callsWaitWhenTheConnectionLimitIsReached() throws Exception {
        try (FakeDataNode a = new FakeDataNode();
                FakeDataNode b = new FakeDataNode()) {
            start(1, true, LONG, Span.ofMillis(300));
            putNode("a", a.port());
            putNode("b", b.port());
            transmit(to("a", Trace.silentMultiget("1", 2, 0), 0, LONG));
            FakeDataNode.Frame first = a.nextFrame();
            transmit(to("b", Trace.silentMultiget("2", 2, 0), 0, LONG));
            run(() -> client.probe("b"));
            recordNextEnd();
            first.answer("1.0", "ok", "one");
            recordNextEnd();
            FakeDataNode.Frame toB = b.nextFrame();
            addToTrace("b, once a's connection is closed", toB.letter);
            transmit(to("a", Trace.silentMultiget("3", 2, 0), 0, LONG));
            recordNextEnd();
            transmit(to("a", Trace.silentMultiget("4", 2, 0), 0, LONG));
            run(() -> client.markDraining("a"));
            toB.answer("2.0", "ok", "two");
            recordNextEnd();
            recordNextEnd();
            assertTrue(a.hasNoFrames(), "nothing is sent to a while it drains");
            assertEquals(Trace.expected("nodes-descriptors.txt"), trace.toString());
        }
    }

    /**
     * How a part may be repeated depends on whether the node may have run it. A part must end as
     * BROKEN if its whole frame was written, and otherwise as NOT_WRITTEN.
     */
    @Test
    void endTellsWhetherTheFrameWasWritten() throws Exception {
        start(2, true, LONG);
        int refusingPort;
        try (ServerSocket closed = new ServerSocket(0)) {
            refusingPort = closed.getLocalPort();
        }
        putNode("refuses", refusingPort);
        transmit(to("refuses", Trace.silentMultiget("1", 2, 0), 0, LONG));
        recordNextEnd();
        transmit(to("unknown", Trace.silentMultiget("2", 2, 0), 0, LONG));
        recordNextEnd();
        try (ServerSocket unread = new ServerSocket(0)) {
            putNode("deaf", unread.getLocalPort());
            AcceptedMultiget large = Trace.silentMultiget("3", 32 * 1024 * 1024, 0);
            transmit(to("deaf", large, 0, LONG));
            Socket socket = unread.accept();
            assertTrue(socket.getInputStream().read() >= 0, "part of the frame has arrived");
            socket.close();
            recordNextEnd();
        }
        try (FakeDataNode node = new FakeDataNode()) {
            putNode("n", node.port());
            transmit(
                    to("n", Trace.silentMultiget("4", 2, 0), 0, LONG),
                    to("n", Trace.silentMultiget("5", 2, 0), 0, LONG));
            node.nextFrame().close();
            recordNextEnd();
            recordNextEnd();
        }
        assertEquals(Trace.expected("nodes-how-far.txt"), trace.toString());
    }

    /**
     * Connections must stay within their limit, closing idle ones in favour of new ones, and idle
     * ones must be closed before their timeout.
     */
    @Test
    void idleConnectionsAreClosedForNewOnesAndBeforeTheirTimeout() throws Exception {
        try (FakeDataNode a = new FakeDataNode();
                FakeDataNode b = new FakeDataNode()) {
            start(1, true, Span.ofMillis(2200));
            putNode("a", a.port());
            putNode("b", b.port());
            transmit(to("a", Trace.silentMultiget("1", 2, 0), 0, LONG));
            FakeDataNode.Frame toA = a.nextFrame();
            transmit(to("b", Trace.silentMultiget("2", 2, 0), 0, LONG));
            recordNextEnd();
            toA.answer("1.0", "ok", "one");
            recordNextEnd();
            transmit(to("b", Trace.silentMultiget("3", 2, 0), 0, LONG));
            b.nextFrame().answer("3.0", "ok", "three");
            recordNextEnd();
            addToTrace("a's idle connection is closed", toA.awaitClosed());
            transmit(to("b", Trace.silentMultiget("4", 2, 0), 0, LONG));
            FakeDataNode.Frame toB = b.nextFrame();
            toB.answer("4.0", "ok", "four");
            recordNextEnd();
            addToTrace("b's idle connection is closed", toB.awaitClosed());
            assertEquals(Trace.expected("nodes-connections.txt"), trace.toString());
        }
    }

    /**
     * Answers to probes carry no id and are matched by their order. A late answer to a probe that
     * timed out must not end the next probe.
     */
    @Test
    void probesEndByAnswerTimeOutOrLostConnection() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            run(() -> client.probe("n"));
            FakeDataNode.Frame timedOut = node.nextFrame();
            recordNextEnd();
            run(() -> client.probe("n"));
            FakeDataNode.Frame next = node.nextFrame();
            timedOut.write('L', "pending=7");
            next.write('L', "err");
            recordNextEnd();
            run(() -> client.probe("n"));
            node.nextFrame().close();
            recordNextEnd();
            assertEquals(Trace.expected("nodes-probes.txt"), trace.toString());
        }
    }

    /** A value whose end looks like the head of a frame, and one that ends in plain text. */
    private static final String HEAD_LIKE_END = "plain text\4\0\0\0A1.0";

    private static byte[] answerLacking(int lengthLacks, String id, String value) {
        byte[] frame = answer(id, value);
        frame[0] -= lengthLacks;
        return frame;
    }

    private static byte[] answer(String id, String value) {
        byte[] payload = ("A" + id + " ok 17 -\n" + value).getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(4 + payload.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(payload.length)
                .put(payload)
                .array();
    }

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /**
     * Guards against a value that is passed on without its last bytes, as the length of its frame
     * is too short: what is cut off comes right behind the frame, and is no frame.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9})
    void answerWithATooShortLengthIsBroken(int lacking) throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, Span.ofMillis(200));
            putNode("n", node.port());
            for (String value : List.of("a value of plain text", HEAD_LIKE_END)) {
                transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, LONG));
                node.nextFrame().writeBytes(answerLacking(lacking, "1.0", value));
                recordNextEnd();
            }
            assertEquals("end: 1.0 BROKEN\n".repeat(2), trace.toString());
        }
    }

    /** Guards the answers in front of a spoilt one: each is confirmed by the next frame's line. */
    @Test
    void lastOfSeveralAnswersInAReadIsBrokenAlone() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0, 1);
            transmit(to("n", multiget, 0, LONG), to("n", multiget, 1, LONG));
            node.nextFrame()
                    .writeBytes(joined(answer("1.0", "one"), answerLacking(5, "1.1", "second")));
            recordNextEnd();
            recordNextEnd();
            assertEquals("end: 1.0 ANSWERED one\nend: 1.1 BROKEN\n", trace.toString());
        }
    }

    /**
     * Guards against a cut value that is used although what it lacks arrives, in a read of its own,
     * while the multiget is open: its part is in flight again, and ends as broken.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4, 8})
    void answerIsTakenBackWhenWhatItLacksArrivesLater(int lacking) throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, Span.ofMillis(200));
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0);
            transmit(to("n", multiget, 0, LONG));
            byte[] frame = answerLacking(lacking, "1.0", "a value of plain text");
            FakeDataNode.Frame call = node.nextFrame();
            call.writeBytes(Arrays.copyOf(frame, frame.length - lacking));
            assertTrue(endsReported.poll(30, TimeUnit.SECONDS).startsWith("1.0 ANSWERED a val"));
            call.writeBytes(Arrays.copyOfRange(frame, frame.length - lacking, frame.length));
            recordNextEnd();
            recordNextEnd();
            assertEquals("end: 1.0 reopened\nend: 1.0 BROKEN\n", trace.toString());
        }
    }

    /**
     * Guards against cut values whose end comes a few milliseconds later, when they would have been
     * used: once a spoilt answer was seen, the next ones wait for that long.
     */
    @Test
    void cutAnswersAreNotHandedOnWhileAnswersAreSpoilt() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, Span.ofMillis(200));
            putNode("n", node.port());
            for (int i = 0; i < 6; i++) {
                transmit(to("n", Trace.silentMultiget("" + i, 2, 0), 0, LONG));
                FakeDataNode.Frame call = node.nextFrame();
                byte[] frame = answerLacking(5, i + ".0", "a value of plain text");
                int firstWrite = i == 0 ? frame.length : frame.length - 5;
                call.writeBytes(Arrays.copyOf(frame, firstWrite));
                Thread.sleep(5);
                call.writeBytes(Arrays.copyOfRange(frame, firstWrite, frame.length));
                recordNextEnd();
            }
            transmit(to("n", Trace.silentMultiget("6", 2, 0), 0, LONG));
            node.nextFrame().answer("6.0", "ok", "sound");
            recordNextEnd();
            assertEquals(
                    "end: 0.0 BROKEN\nend: 1.0 BROKEN\nend: 2.0 BROKEN\nend: 3.0 BROKEN\n"
                            + "end: 4.0 BROKEN\nend: 5.0 BROKEN\nend: 6.0 ANSWERED sound\n",
                    trace.toString());
        }
    }

    /** Guards against a sound answer that is lost as the frame behind it arrives in pieces. */
    @Test
    void answerThatWasTakenBackCountsAgainOnceTheFrameBehindItIsSound() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            AcceptedMultiget multiget = Trace.silentMultiget("1", 2, 0, 1);
            transmit(to("n", multiget, 0, LONG), to("n", multiget, 1, LONG));
            FakeDataNode.Frame call = node.nextFrame();
            call.writeBytes(answer("1.0", "one"));
            recordNextEnd();
            byte[] second = answer("1.1", "two");
            call.writeBytes(Arrays.copyOf(second, 3));
            recordNextEnd();
            call.writeBytes(Arrays.copyOfRange(second, 3, second.length));
            recordNextEnd();
            recordNextEnd();
            assertEquals(
                    "end: 1.0 ANSWERED one\nend: 1.0 reopened\n"
                            + "end: 1.0 ANSWERED one\nend: 1.1 ANSWERED two\n",
                    trace.toString());
        }
    }

    /** A second answer to a part costs the connection, and not the first answer, which is good. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4, 12, 16})
    void secondAnswerConfirmsTheFirst(int bytesInTheSameRead) throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, LONG));
            FakeDataNode.Frame call = node.nextFrame();
            byte[] first = answer("1.0", "one");
            byte[] both = joined(first, answer("1.0", "one"));
            int firstRead = first.length + bytesInTheSameRead;
            call.writeBytes(Arrays.copyOf(both, firstRead));
            Thread.sleep(20);
            call.writeBytes(Arrays.copyOfRange(both, firstRead, both.length));
            recordNextEnd();
            assertTrue(call.awaitClosed());
            assertEquals("end: 1.0 ANSWERED one\n", trace.toString());
            assertTrue(endsReported.isEmpty());
        }
    }

    /** Guards against the load of a probe whose answer is cut, such as 1 for 1234. */
    @Test
    void probeAnswerWithATooShortLengthIsBroken() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG, Span.ofMillis(200));
            putNode("n", node.port());
            run(() -> client.probe("n"));
            node.nextFrame()
                    .writeBytes("\12\0\0\0Lpending=1234".getBytes(StandardCharsets.US_ASCII));
            recordNextEnd();
            assertEquals("end: probe of n BROKEN\n", trace.toString());
        }
    }

    /**
     * Guards against a part that is sent again because its node said, in a spoilt frame, "busy".
     */
    @Test
    void spoiltBusyAnswerDoesNotProveThatThePartHasNotRun() throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, LONG));
            byte[] busy = "\17\0\0\0A1.0 busy 17 -\nnoise".getBytes(StandardCharsets.US_ASCII);
            node.nextFrame().writeBytes(busy);
            recordNextEnd();
            assertEquals("end: 1.0 BROKEN\n", trace.toString());
        }
    }

    /**
     * A connection that ends behind a whole answer ends it; one that ends within a tail does not.
     */
    @ParameterizedTest
    @CsvSource({"0, ANSWERED one", "1, BROKEN"})
    void endOfTheConnectionConfirmsOnlyWhatHasNothingBehindIt(int lacking, String end)
            throws Exception {
        try (FakeDataNode node = new FakeDataNode()) {
            start(10, true, LONG);
            putNode("n", node.port());
            transmit(to("n", Trace.silentMultiget("1", 2, 0), 0, LONG));
            FakeDataNode.Frame call = node.nextFrame();
            call.writeBytes(answerLacking(lacking, "1.0", "one"));
            call.close();
            recordNextEnd();
            assertEquals("end: 1.0 " + end + "\n", trace.toString());
        }
    }
}
