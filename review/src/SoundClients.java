import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that follow the protocol page: one request at a time on a connection that they keep. A
 * request that meets the end of a resting connection is sent once more on a new one.
 */
final class SoundClients {
    private final Rig.Record record;
    private final int port;
    private final String prefix;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    volatile boolean isOver;

    /** Requests by what became of them. */
    final AtomicInteger answered = new AtomicInteger();

    final AtomicInteger refusedOrFailed = new AtomicInteger();
    final AtomicInteger notConnected = new AtomicInteger();

    /** Written whole, and the connection ended without an answer, also the second time. */
    final AtomicInteger cutOff = new AtomicInteger();

    /** Written whole, and nothing came by half a second after its time. */
    final AtomicInteger unanswered = new AtomicInteger();

    SoundClients(Rig.Record record, int port, String prefix) {
        this.record = record;
        this.port = port;
        this.prefix = prefix;
    }

    void start(int count, double pauseMillis, int timeoutMillis, int shards) {
        for (int i = 0; i < count; i++) {
            int first = i;
            threads.add(
                    Rig.start("client", () -> run(first, pauseMillis, timeoutMillis, shards)));
        }
    }

    void stop() throws InterruptedException {
        isOver = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void run(int first, double pause, int timeoutMillis, int shardCount)
            throws IOException {
        Rig.Client client = null;
        int[] shards = new int[shardCount];
        for (int i = 0; i < shardCount; i++) {
            shards[i] = (first + i) % 12;
        }
        while (!isOver) {
            String id = prefix + ids.incrementAndGet();
            double sentAt = Rig.now();
            int status = -2;
            for (int attempt = 0; attempt < 2 && (status == -2 || status == 0); attempt++) {
                boolean isNew = client == null;
                try {
                    client = isNew ? new Rig.Client(port) : client;
                    client.write(Rig.request("sheet", id, timeoutMillis, shards, "x"));
                    status = client.read(timeoutMillis + 550).status;
                } catch (IOException e) {
                    status = -2;
                }
                if (status <= 0 && client != null) {
                    client.close();
                    client = null;
                }
                if (isNew) {
                    break;
                }
            }
            record.line(
                    String.format(
                            "%s sent at %.1f: %s after %.0f ms",
                            id, sentAt, text(status), Rig.now() - sentAt));
            count(status).incrementAndGet();
            Rig.sleep(pause);
        }
        if (client != null) {
            client.close();
        }
    }

    private AtomicInteger count(int status) {
        return status == 200
                ? answered
                : status > 0
                        ? refusedOrFailed
                        : status == 0 ? cutOff : status == -1 ? unanswered : notConnected;
    }

    private static String text(int status) {
        return status > 0
                ? "status " + status
                : status == 0
                        ? "connection ended without an answer"
                        : status == -1 ? "no answer in its time" : "could not be sent";
    }

    String summary() {
        return "requests of sound clients: answered "
                + answered
                + ", refused or failed "
                + refusedOrFailed
                + ", cut off "
                + cutOff
                + ", without an answer "
                + unanswered
                + ", could not be sent "
                + notConnected;
    }
}
