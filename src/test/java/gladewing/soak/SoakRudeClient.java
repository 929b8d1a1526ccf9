package gladewing.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A client that keeps to no manners: it sends much at once and leaves, uses ids again, sends
 * rubbish at full speed, or holds connections with requests that it never completes.
 */
final class SoakRudeClient implements Runnable {
    private enum Manner {
        SEND_MUCH_AND_LEAVE,
        USE_AN_ID_AGAIN,
        FLOOD,
        HOLD_UNFINISHED_REQUESTS
    }

    private static final int TIMEOUT_MILLIS = 2000;
    private static final int MAX_AT_ONCE = 300;
    private static final int MAX_HELD = 12;
    private static final String[] RUBBISH = {
        "GET /health/ready HTTP/1.1\r\n\r\n",
        "POST /nothing-%d HTTP/1.1\r\n\r\n",
        "POST /report HTTP/1.1\r\nX-Request-ID: rubbish-%d\r\nContent-Length: 2\r\n\r\n{]",
        "noise %d\r\n"
    };

    private final SoakTarget target;
    private final Random random;
    private int count;

    SoakRudeClient(SoakTarget target, long seed) {
        this.target = target;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (target.isRunning().getAsBoolean()) {
            try {
                if (target.mayConnect().getAsBoolean()) {
                    act(Manner.values()[random.nextInt(Manner.values().length)]);
                }
                Thread.sleep(100 + random.nextInt(300));
            } catch (IOException ended) {
                // The router has closed the connection, or is down.
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void act(Manner manner) throws IOException, InterruptedException {
        switch (manner) {
            case SEND_MUCH_AND_LEAVE -> sendMuchAndLeave();
            case USE_AN_ID_AGAIN -> useAnIdAgain();
            case FLOOD -> flood();
            default -> holdUnfinishedRequests();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(target.address(), target.port());
        socket.setTcpNoDelay(true);
        return socket;
    }

    private SoakRequest newRequest(String product) {
        return new SoakRequest(
                target.client() + "-" + ++count,
                target.router(),
                product,
                1 + random.nextInt(4),
                TIMEOUT_MILLIS);
    }

    private void sendMuchAndLeave() throws IOException, InterruptedException {
        List<SoakRequest> sent = new ArrayList<>();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 1 + random.nextInt(MAX_AT_ONCE); i > 0; i--) {
            sent.add(newRequest(random.nextInt(4) == 0 ? "order" : "report"));
            all.writeBytes(sent.get(sent.size() - 1).bytes());
        }
        long now = System.nanoTime();
        sent.forEach(request -> request.sentAt = now);
        Socket socket = connect();
        try {
            socket.getOutputStream().write(all.toByteArray());
            Thread.sleep(random.nextInt(300));
        } finally {
            leave(socket);
            sent.forEach(request -> request.ended(SoakRequest.End.LEFT));
            target.requests().addAll(sent);
        }
    }

    /** Ends a connection: by a close, a reset, or the end of the sending half alone at first. */
    private void leave(Socket socket) throws IOException {
        switch (random.nextInt(3)) {
            case 0 -> socket.setSoLinger(true, 0);
            case 1 -> socket.shutdownOutput();
            default -> {
                // Closed below.
            }
        }
        socket.close();
    }

    private void useAnIdAgain() throws IOException, InterruptedException {
        SoakRequest request = newRequest(random.nextBoolean() ? "order" : "report");
        request.sentAt = System.nanoTime();
        try {
            Socket first = connect();
            first.getOutputStream().write(request.bytes());
            Thread.sleep(random.nextInt(60));
            first.close();
            Thread.sleep(random.nextInt(3) * random.nextInt(200));
            request.uses++;
            try (Socket second = connect()) {
                second.setSoTimeout(2 * TIMEOUT_MILLIS);
                second.getOutputStream().write(request.bytes());
                SoakResponse response = SoakResponse.read(second.getInputStream());
                request.status = response.status();
                request.body = response.body();
            }
        } finally {
            // What became of the second use may be anything; what the nodes got is checked.
            request.ended(SoakRequest.End.LEFT);
            target.requests().add(request);
        }
    }

    private void flood() throws IOException, InterruptedException {
        String rubbish = RUBBISH[random.nextInt(RUBBISH.length)];
        boolean readsAnswers = random.nextBoolean();
        long end = System.nanoTime() + (200 + random.nextInt(1000)) * 1_000_000L;
        try (Socket socket = connect()) {
            if (readsAnswers) {
                SoakThreads.start(
                        () -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
            }
            while (System.nanoTime() < end) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < 100; i++) {
                    text.append(String.format(rubbish, ++count));
                }
                byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(bytes);
            }
        }
    }

    private void holdUnfinishedRequests() throws IOException, InterruptedException {
        List<Socket> held = new ArrayList<>();
        byte[] fields = "a:\n".repeat(500).getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = new byte[8000];
        boolean isHead = random.nextBoolean();
        try {
            for (int i = 1 + random.nextInt(MAX_HELD); i > 0; i--) {
                Socket socket = connect();
                held.add(socket);
                String start =
                        "POST /report HTTP/1.1\r\n"
                                + (isHead ? "" : "Content-Length: 65000\r\n\r\n");
                socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
            }
            for (int piece = 0; piece < 4; piece++) {
                for (Socket socket : held) {
                    socket.getOutputStream().write(isHead ? fields : bytes);
                }
                Thread.sleep(random.nextInt(500));
            }
        } finally {
            for (Socket socket : held) {
                socket.close();
            }
        }
    }
}
