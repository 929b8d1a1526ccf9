package gladewing.serve;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Answers all calls to a fake data node by itself, and keeps when each part arrived. */
final class RecordingNode implements AutoCloseable {
    /**
     * One receipt of a part.
     *
     * @param id of the part
     * @param at of the monotonic clock, in nanoseconds
     */
    record Receipt(String id, long at) {
        String requestId() {
            return id.substring(0, id.lastIndexOf('.'));
        }
    }

    final List<Receipt> receipts = new CopyOnWriteArrayList<>();
    private final ServeTestHarness.FakeDataNode node;
    private final ScheduledExecutorService answers = Executors.newScheduledThreadPool(1);
    private volatile int delayMillis;
    private volatile String result;
    private volatile String answeredPrefix = "";

    /**
     * @param delayMillis after which each part is answered; negative for never
     * @param result of each part: ok, err or busy
     */
    RecordingNode(ServeTestHarness.FakeDataNode node, int delayMillis, String result) {
        this.node = node;
        this.delayMillis = delayMillis;
        this.result = result;
        ServeTestHarness.startDaemon(this::serve);
    }

    /** Sets how parts that arrive from now on are answered. */
    void answerBy(int newDelayMillis, String newResult) {
        delayMillis = newDelayMillis;
        result = newResult;
    }

    /** Leaves all parts of requests without an answer whose ids do not begin with a prefix. */
    void answerOnly(String prefix) {
        answeredPrefix = prefix;
    }

    private void serve() throws IOException {
        try {
            while (true) {
                ServeTestHarness.FakeDataNode.Frame frame = node.frames.take();
                if (frame.letter == 'Q') {
                    receive(frame, System.nanoTime());
                } else if (frame.letter == 'P') {
                    frame.write('P', "ok");
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void receive(ServeTestHarness.FakeDataNode.Frame frame, long now) {
        String call = frame.text;
        for (int at = 0; at < call.length(); ) {
            int end = call.indexOf('\n', at);
            String[] line = call.substring(at, end).split(" ");
            at = end + 1 + Integer.parseInt(line[3]);
            receipts.add(new Receipt(line[0], now));
            String answer = result;
            if (delayMillis >= 0 && line[0].startsWith(answeredPrefix)) {
                answers.schedule(
                        () -> answer(frame, line[0], answer), delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static void answer(
            ServeTestHarness.FakeDataNode.Frame frame, String partId, String result) {
        try {
            frame.answer(partId, result, result.equals("ok") ? "value of " + partId : "");
        } catch (IOException closed) {
            // The router has closed the connection.
        }
    }

    @Override
    public void close() {
        answers.shutdownNow();
    }
}
