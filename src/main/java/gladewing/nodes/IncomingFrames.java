package gladewing.nodes;

import gladewing.buffer.ConnectionBuffer;
import gladewing.frames.FrameReader;
import gladewing.frames.NodeFrames;
import gladewing.frames.PartAnswer;
import gladewing.loop.Loop;
import gladewing.loop.Timer;
import gladewing.router.Span;
import io.netty.buffer.ByteBuf;

/**
 * Reads the frames that a data node sends on one connection, and hands each on only once the bytes
 * behind it agree with its length. A frame whose length is too short looks whole, but what it lacks
 * follows it and is no frame.
 *
 * <p>A frame is confirmed by the next one, as soon as that is known to be one that the connection
 * waits for, or by a socket that holds nothing behind it, and that stays quiet for a moment while
 * answers are known to be spoilt. If bytes arrive behind an answer that was confirmed by an empty
 * socket, they are judged in the same way, and the answer is taken back while that can still be
 * done.
 */
final class IncomingFrames {
    /** The connection whose frames are read. */
    interface Receiver {
        /** Whether an answer to the part may arrive. */
        boolean awaitsAnswer(String partId);

        /** How many answers to probes may arrive. */
        int awaitedProbes();

        void answerReceived(PartAnswer answer);

        void probeAnswerReceived(String report);

        /**
         * Takes back the last answer that was handed on; returns it, or null if it has been used.
         */
        PartAnswer takeBackLastAnswer();

        /** How long the socket has to stay quiet behind an answer before that counts. */
        Span quietTimeBehind(PartAnswer answer);

        /** Reads what the socket holds; that comes back by {@link IncomingFrames#read}. */
        void readSocket();

        /** Nothing more can be read; frames that were not handed on are spoilt. */
        void framesFailed(String reason);
    }

    /**
     * A frame that was read and is not confirmed.
     *
     * @param answer null for the answer to a probe
     * @param report what a probe was answered; null for the answer to a part
     */
    private record Frame(PartAnswer answer, String report) {
        static Frame ofAnswer(PartAnswer answer) {
            return new Frame(answer, null);
        }

        static Frame ofProbe(String report) {
            return new Frame(null, report);
        }

        boolean isAnswer() {
            return answer != null;
        }

        int heldBytes() {
            return Character.BYTES * (isAnswer() ? answer.value().length() : report.length());
        }
    }

    private final Loop loop;
    private final Span incompleteFrameTimeout;
    private final Receiver receiver;
    private final ConnectionBuffer buffer =
            new ConnectionBuffer(FrameReader.MAX_FRAME_LENGTH + 64 * 1024);
    private final FrameReader reader = new FrameReader();

    /** The frame that was read last, if it is not confirmed; otherwise null. */
    private Frame unconfirmed;

    /**
     * The part that the last frame was an answer to, confirmed or not; null if that was another
     * frame, or if one has begun behind it that the connection waits for.
     */
    private String lastAnsweredPart;

    /** Whether a frame has begun that the connection is known to wait for. */
    private boolean isStartedFrameAwaited;

    private boolean isClosed;

    /** Runs while the socket has to stay quiet behind the frame that is not confirmed, or null. */
    private Timer quietTimer;

    /** Fails the frames if the rest of one that has begun to arrive does not follow. */
    private Timer incompleteFrameTimer;

    IncomingFrames(Loop loop, Span incompleteFrameTimeout, Receiver receiver) {
        this.loop = loop;
        this.incompleteFrameTimeout = incompleteFrameTimeout;
        this.receiver = receiver;
    }

    /** Reads what has arrived; the bytes are released. */
    void read(ByteBuf bytes) {
        boolean fits;
        try {
            fits = isClosed || buffer.append(bytes);
        } finally {
            bytes.release();
        }
        if (!fits) {
            fail("receive buffer overflow");
        }
        if (!isClosed) {
            readFrames();
        }
    }

    private void readFrames() {
        FrameReader.Progress progress = reader.read(buffer);
        while (progress == FrameReader.Progress.FRAME) {
            stopIncompleteFrameTimer();
            isStartedFrameAwaited = false;
            frameRead();
            if (isClosed) {
                return;
            }
            progress = reader.read(buffer);
        }
        if (progress == FrameReader.Progress.MALFORMED) {
            fail("malformed frame");
        } else if (buffer.size() == 0) {
            stopIncompleteFrameTimer();
        } else {
            startIncompleteFrameTimer();
            judgeStartedFrame();
        }
    }

    /** Handles a frame that was read as its length says. */
    private void frameRead() {
        switch (reader.type()) {
            case NodeFrames.ANSWER -> answerRead();
            case NodeFrames.PROBE, NodeFrames.LOAD_PROBE -> probeAnswerRead();
            case NodeFrames.ERROR -> fail("the node reported an error: " + reader.payloadText());
            default -> fail("unknown frame type " + (int) reader.type());
        }
    }

    private void answerRead() {
        PartAnswer answer = PartAnswer.parse(reader.payload());
        if (answer == null) {
            fail("malformed answer");
            return;
        }
        if (isOfLastAnsweredPart(answer.id())) {
            // A node answers once; but nothing is wrong with the first answer.
            confirm();
            receiver.framesFailed("a second answer to a part");
        } else if (!receiver.awaitsAnswer(answer.id())) {
            fail("answer to a part that is not in flight");
        } else {
            confirmBefore(Frame.ofAnswer(answer), answer.id());
        }
    }

    /** Whether an answer to the part would be the second one to the same transmission. */
    private boolean isOfLastAnsweredPart(String partId) {
        return partId.equals(lastAnsweredPart)
                && (unconfirmed != null || !receiver.awaitsAnswer(partId));
    }

    private void probeAnswerRead() {
        if (!awaitsProbeAnswer()) {
            fail("answer to a probe that was not sent");
            return;
        }
        confirmBefore(Frame.ofProbe(reader.payloadText().strip()), null);
    }

    /** Takes a frame that the connection waits for, which confirms the one before it. */
    private void confirmBefore(Frame next, String answeredPart) {
        confirm();
        if (!isClosed) {
            unconfirmed = next;
            lastAnsweredPart = answeredPart;
        }
    }

    private boolean awaitsProbeAnswer() {
        int unconfirmedProbes = unconfirmed == null || unconfirmed.isAnswer() ? 0 : 1;
        return receiver.awaitedProbes() > unconfirmedProbes;
    }

    /**
     * Judges a frame of which a part has arrived: its first line tells whether the connection waits
     * for it.
     */
    private void judgeStartedFrame() {
        char type = FrameReader.startedType(buffer);
        if (type != 0 && NodeFrames.TYPES_OF_NODES.indexOf(type) < 0) {
            fail("unknown frame type " + (int) type);
            return;
        }
        byte[] line =
                type == NodeFrames.ANSWER && !isStartedFrameAwaited
                        ? FrameReader.startedLine(buffer)
                        : null;
        PartAnswer.Line started = line == null ? null : PartAnswer.Line.parse(line);
        if (started != null
                && (isOfLastAnsweredPart(started.id()) || receiver.awaitsAnswer(started.id()))) {
            isStartedFrameAwaited = true;
            lastAnsweredPart = null;
            confirm();
        }
    }

    /** Whether it matters what else the socket holds: a frame, or an answer, is still in doubt. */
    boolean isAnyInDoubt() {
        return unconfirmed != null || buffer.size() > 0 && lastAnsweredPart != null;
    }

    /**
     * Called when all that the socket held has been read: what has nothing behind it is handed on,
     * and an answer that was handed on earlier is taken back if it has something behind it that is
     * not known to be a frame.
     */
    void socketEmptied() {
        if (isClosed) {
            return;
        }
        if (buffer.size() > 0) {
            takeBackLastAnswer();
        } else if (unconfirmed != null && quietTimer == null) {
            confirmAfter(quietTime());
        }
    }

    private Span quietTime() {
        return unconfirmed.isAnswer() ? receiver.quietTimeBehind(unconfirmed.answer) : Span.ZERO;
    }

    private void confirmAfter(Span quietTime) {
        if (quietTime.longerThan(Span.ZERO)) {
            quietTimer = loop.schedule(quietTime, this::quietTimeEnded);
        } else {
            confirm();
        }
    }

    private void quietTimeEnded() {
        receiver.readSocket();
        // Without a timer the frame in question has been confirmed, or is another one.
        if (quietTimer != null && buffer.size() == 0) {
            confirm();
        }
        stopQuietTimer();
    }

    private void stopQuietTimer() {
        if (quietTimer != null) {
            quietTimer.cancel();
            quietTimer = null;
        }
    }

    /** Hands on the frame that is not confirmed, if there is one. */
    private void confirm() {
        Frame confirmed = unconfirmed;
        unconfirmed = null;
        stopQuietTimer();
        if (confirmed == null) {
            return;
        }
        if (confirmed.isAnswer()) {
            receiver.answerReceived(confirmed.answer);
        } else {
            receiver.probeAnswerReceived(confirmed.report);
        }
    }

    private void takeBackLastAnswer() {
        if (unconfirmed == null && lastAnsweredPart != null) {
            PartAnswer answer = receiver.takeBackLastAnswer();
            unconfirmed = answer == null ? null : Frame.ofAnswer(answer);
        }
    }

    private void fail(String reason) {
        takeBackLastAnswer();
        receiver.framesFailed(reason);
    }

    private void startIncompleteFrameTimer() {
        // With a wrong, too large length, everything that follows would count as part of the frame,
        // and nothing on the connection would ever end.
        if (incompleteFrameTimer == null) {
            incompleteFrameTimer =
                    loop.schedule(
                            incompleteFrameTimeout,
                            () -> fail("the rest of a frame did not arrive in time"));
        }
    }

    private void stopIncompleteFrameTimer() {
        if (incompleteFrameTimer != null) {
            incompleteFrameTimer.cancel();
            incompleteFrameTimer = null;
        }
    }

    /** Whether a part of a frame has been received. */
    boolean hasIncompleteFrame() {
        return buffer.size() > 0;
    }

    /** How much memory the received bytes and the frame that is not confirmed take, in bytes. */
    int heldBytes() {
        return buffer.capacity() + (unconfirmed == null ? 0 : unconfirmed.heldBytes());
    }

    /** The connection has ended: what has nothing behind it is handed on, and nothing else. */
    void connectionEnded() {
        if (buffer.size() == 0) {
            confirm();
        } else {
            takeBackLastAnswer();
        }
        close();
    }

    /** Drops what was received; nothing is handed on any more. */
    void close() {
        isClosed = true;
        unconfirmed = null;
        lastAnsweredPart = null;
        stopIncompleteFrameTimer();
        stopQuietTimer();
        buffer.clear();
    }
}
