package gladewing.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;

/** A client that sends one request after the other to one router, and keeps its connection. */
final class SoakClient implements Runnable {
    private static final String[] PRODUCTS = {"report", "sheet", "order"};
    private static final int MIN_TIMEOUT_MILLIS = 200;
    private static final int MAX_TIMEOUT_MILLIS = 2500;

    /** How long after its time a client still waits, to see a late answer as such. */
    private static final int PATIENCE_MILLIS = 1500;

    private static final int CONNECT_TIMEOUT_MILLIS = 3000;

    private final SoakTarget target;
    private final Random random;
    private Socket socket;
    private int count;

    SoakClient(SoakTarget target, long seed) {
        this.target = target;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (target.isRunning().getAsBoolean()) {
            try {
                if (socket == null && !target.mayConnect().getAsBoolean()) {
                    Thread.sleep(10);
                    continue;
                }
                ask();
                Thread.sleep(random.nextInt(60));
            } catch (InterruptedException stopped) {
                break;
            }
        }
        close();
    }

    private void ask() throws InterruptedException {
        int shards = 1 + random.nextInt(4);
        int timeoutMillis =
                MIN_TIMEOUT_MILLIS + random.nextInt(MAX_TIMEOUT_MILLIS - MIN_TIMEOUT_MILLIS);
        SoakRequest request =
                new SoakRequest(
                        target.client() + "-" + ++count,
                        target.router(),
                        PRODUCTS[random.nextInt(PRODUCTS.length)],
                        shards,
                        timeoutMillis);
        try {
            send(request);
        } catch (IOException refused) {
            request.ended(SoakRequest.End.NOT_ACCEPTED);
            target.requests().add(request);
            close();
            Thread.sleep(20);
            return;
        }
        if (random.nextInt(100) < 8) {
            Thread.sleep(random.nextInt(150));
            close();
            request.ended(SoakRequest.End.LEFT);
        } else {
            receive(request);
        }
        target.requests().add(request);
        if (socket != null && random.nextInt(100) < 10) {
            close();
        }
    }

    private void send(SoakRequest request) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(target.address(), target.port()), CONNECT_TIMEOUT_MILLIS);
        }
        request.sentAt = System.nanoTime();
        socket.getOutputStream().write(request.bytes());
        request.sentAt = System.nanoTime();
    }

    private void receive(SoakRequest request) {
        try {
            socket.setSoTimeout(request.timeoutMillis + PATIENCE_MILLIS);
            SoakResponse response = SoakResponse.read(socket.getInputStream());
            request.status = response.status();
            request.body = response.body();
            request.ended(SoakRequest.End.ANSWERED);
            if (response.closes()) {
                close();
            }
        } catch (SocketTimeoutException none) {
            request.ended(SoakRequest.End.SILENCE);
            close();
        } catch (SoakResponse.CutException cut) {
            request.ended(SoakRequest.End.CUT);
            close();
        } catch (IOException ended) {
            request.ended(SoakRequest.End.CLOSED);
            close();
        }
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException ignored) {
            // It is gone either way.
        }
        socket = null;
    }
}
