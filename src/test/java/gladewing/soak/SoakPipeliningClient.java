package gladewing.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A client that sends several requests at once on one connection, each with a time of its own, and
 * waits for all answers.
 */
final class SoakPipeliningClient implements Runnable {
    private static final String[] PRODUCTS = {"report", "sheet", "order"};
    private static final int MAX_AT_ONCE = 8;
    private static final int MIN_TIMEOUT_MILLIS = 200;
    private static final int MAX_TIMEOUT_MILLIS = 2500;

    /** How long after the longest time it still waits, to see a late answer as such. */
    private static final int PATIENCE_MILLIS = 1500;

    private final SoakTarget target;
    private final Random random;
    private int count;

    SoakPipeliningClient(SoakTarget target, long seed) {
        this.target = target;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (target.isRunning().getAsBoolean()) {
            try {
                if (target.mayConnect().getAsBoolean()) {
                    askAtOnce();
                }
                Thread.sleep(random.nextInt(100));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void askAtOnce() {
        List<SoakRequest> sent = new ArrayList<>();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 1 + random.nextInt(MAX_AT_ONCE); i > 0; i--) {
            sent.add(newRequest());
            all.writeBytes(sent.get(sent.size() - 1).bytes());
        }
        try (Socket socket = new Socket(target.address(), target.port())) {
            long now = System.nanoTime();
            sent.forEach(request -> request.sentAt = now);
            socket.getOutputStream().write(all.toByteArray());
            socket.setSoTimeout(MAX_TIMEOUT_MILLIS + PATIENCE_MILLIS);
            receive(socket, sent);
        } catch (IOException refused) {
            endRest(sent, SoakRequest.End.NOT_ACCEPTED);
        }
        target.requests().addAll(sent);
    }

    private SoakRequest newRequest() {
        int timeoutMillis =
                MIN_TIMEOUT_MILLIS + random.nextInt(MAX_TIMEOUT_MILLIS - MIN_TIMEOUT_MILLIS);
        return new SoakRequest(
                target.client() + "-" + ++count,
                target.router(),
                PRODUCTS[random.nextInt(PRODUCTS.length)],
                1 + random.nextInt(4),
                timeoutMillis);
    }

    private static void receive(Socket socket, List<SoakRequest> sent) {
        try {
            for (SoakRequest request : sent) {
                SoakResponse response = SoakResponse.read(socket.getInputStream());
                request.status = response.status();
                request.body = response.body();
                request.ended(SoakRequest.End.ANSWERED);
            }
        } catch (SocketTimeoutException none) {
            endRest(sent, SoakRequest.End.SILENCE);
        } catch (SoakResponse.CutException cut) {
            endRest(sent, SoakRequest.End.CUT);
        } catch (IOException ended) {
            endRest(sent, SoakRequest.End.CLOSED);
        }
    }

    /** Ends the first request without an answer in a way, and those behind it as closed. */
    private static void endRest(List<SoakRequest> sent, SoakRequest.End first) {
        SoakRequest.End end = first;
        for (SoakRequest request : sent) {
            if (request.end == null) {
                request.ended(end);
                end = first == SoakRequest.End.CUT ? SoakRequest.End.CLOSED : first;
            }
        }
    }
}
