package gladewing.discovery;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/** An agent of discovery over loopback sockets that can be slow, silent or crowded. */
public final class SlowAgent implements AutoCloseable {
    private record Entry(String json, int revision) {}

    private final ServerSocket listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final List<Socket> silent = new ArrayList<>();
    private final ReentrantLock turn = new ReentrantLock(true);
    private final Random random = new Random(56);
    private int revision;
    private int calls;
    private final Set<Integer> waiting = new HashSet<>();
    private int mostWaiting;
    private int mostOpen;

    /** How long each answer takes. */
    public volatile long delayMillis;

    /** How much longer an answer takes at the most; each takes a random share of it. */
    public volatile int jitterMillis;

    /** Whether what is answered is decided before the delay, so that it is old when it comes. */
    public volatile boolean looksBeforeDelay;

    /** Over how long the bytes of an answer are spread, in pieces; 0 for one write. */
    public volatile long spreadMillis;

    /** Whether one call is served at a time, as by a crowded agent. */
    public volatile boolean servesOneAtATime;

    /** How many calls may wait; any more get 503. */
    public volatile int maxWaiting = Integer.MAX_VALUE;

    /** Whether a new connection ends the earlier ones. */
    public volatile boolean closesEarlierConnections;

    /** Every call with a number that this divides is never answered; 0 for none. */
    public volatile int losesEvery;

    /** Opens the agent on a free port. */
    public SlowAgent() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    /** The port that the agent listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static void start(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException ended) {
                                // The connection or the test has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the state of a node: up, draining or removed. */
    public synchronized void put(String uid, String endpoint, int cell, String state) {
        revision++;
        String json =
                ("{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"x\",\"model\":\"m\",\"pod_group\":%d,"
                     + "\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}")
                        .formatted(uid, endpoint, cell, state);
        entries.put(uid, new Entry(json, revision));
        notifyAll();
    }

    /** Falls silent on all connections that are open; later ones are served. */
    public synchronized void silenceOpenConnections() {
        silent.addAll(sockets);
    }

    /** How many calls were made so far. */
    public synchronized int calls() {
        return calls;
    }

    /** The most calls that waited at once. */
    public synchronized int mostWaiting() {
        return mostWaiting;
    }

    /** The most connections that were open at once. */
    public synchronized int mostOpen() {
        return mostOpen;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            synchronized (this) {
                if (closesEarlierConnections) {
                    for (Socket earlier : sockets) {
                        earlier.close();
                    }
                }
                sockets.add(socket);
                mostOpen = Math.max(mostOpen, sockets.size());
            }
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        // What is written in small pieces has to leave as such.
        socket.setTcpNoDelay(true);
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String request = line;
            while (!line.isEmpty()) {
                line = in.readLine();
            }
            int number = begin();
            start(() -> answer(socket, request, number));
        }
        synchronized (this) {
            sockets.remove(socket);
        }
    }

    private synchronized int begin() {
        waiting.add(++calls);
        mostWaiting = Math.max(mostWaiting, waiting.size());
        return calls;
    }

    private void answer(Socket socket, String request, int number)
            throws IOException, InterruptedException {
        try {
            if (isRefused()) {
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            if (servesOneAtATime) {
                turn.lock();
            }
            try {
                String body = delayed(request);
                boolean isLost = losesEvery > 0 && number % losesEvery == 0;
                if (!isLost && !isSilent(socket)) {
                    write(socket.getOutputStream(), body, number);
                }
            } finally {
                if (servesOneAtATime) {
                    turn.unlock();
                }
            }
        } finally {
            end(number);
        }
    }

    private synchronized boolean isRefused() {
        return waiting.size() > maxWaiting;
    }

    /** A call waits until the last bytes of its answer are written. */
    private synchronized void end(int number) {
        waiting.remove(number);
    }

    private synchronized boolean isSilent(Socket socket) {
        return silent.contains(socket);
    }

    private String delayed(String request) throws InterruptedException {
        String early = looksBeforeDelay ? look(request) : null;
        Thread.sleep(delayMillis + (jitterMillis == 0 ? 0 : random.nextInt(jitterMillis)));
        return early == null ? look(request) : early;
    }

    private synchronized String look(String request) throws InterruptedException {
        boolean isWatch = request.contains("after=");
        int after = isWatch ? Integer.parseInt(request.replaceAll(".*after=(\\d+).*", "$1")) : -1;
        long holdMillis =
                isWatch ? Long.parseLong(request.replaceAll(".*wait_ms=(\\d+).*", "$1")) : 0;
        long until = System.nanoTime() + holdMillis * 1_000_000;
        while (revision <= after && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        List<String> told = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean isListed = isWatch || !entry.json.contains("\"removed\"");
            if (isListed && entry.revision > after) {
                told.add(entry.json);
            }
        }
        return "{\"rev\":%d,\"all\":%b,\"targets\":[%s]}"
                .formatted(revision, !isWatch, String.join(",", told));
    }

    private void write(OutputStream out, String body, int number)
            throws IOException, InterruptedException {
        byte[] response =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII);
        int pieces = spreadMillis == 0 ? 1 : (int) Math.min(response.length, spreadMillis / 20);
        for (int i = 0; i < pieces; i++) {
            int from = (int) ((long) response.length * i / pieces);
            int to = (int) ((long) response.length * (i + 1) / pieces);
            if (i == pieces - 1) {
                end(number);
            }
            out.write(response, from, to - from);
            out.flush();
            Thread.sleep(pieces == 1 ? 0 : 20);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
