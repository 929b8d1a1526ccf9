package gladewing.serve;

import gladewing.buffer.ConnectionBuffer;
import gladewing.websocket.FrameEncoder;
import gladewing.websocket.Handshake;
import gladewing.websocket.MessageDecoder;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A data node that accepts the legs of live sessions: it queues and acknowledges each message that
 * it receives, and sends what a test tells it to.
 */
final class FakeSessionNode implements AutoCloseable {
    private static final int TIMEOUT_S = 20;
    private static final int MAX_MESSAGE_BYTES = 65_536;

    /** Messages received, and how connections have ended: "close CODE" or "cut". */
    final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    private final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();
    volatile int handshakes;
    volatile boolean acknowledges = true;

    /** Whether connections are closed instead of upgraded. */
    volatile boolean refusesHandshakes;

    volatile boolean stopsReading;

    /** How long a handshake takes. */
    volatile int handshakeMillis;

    /** Connections that it has sent a close frame on: it takes nothing more on them. */
    private final Set<Socket> closing = ConcurrentHashMap.newKeySet();

    /** When the last frame other than a close arrived, by System.nanoTime. */
    volatile long lastFrameAt;

    FakeSessionNode() throws IOException {
        listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        startDaemon(() -> serve(socket));
                    }
                });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException closed) {
                                // The other side has closed the connection, which is normal in
                                // tests.
                            }
                        },
                        "live");
        thread.setDaemon(true);
        thread.start();
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
        synchronized (sockets) {
            sockets.add(socket);
        }
        handshakes++;
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return;
            }
            head.append((char) c);
        }
        if (refusesHandshakes) {
            socket.close();
            return;
        }
        sleep(handshakeMillis);
        String key = head.toString().replaceAll("(?s).*Sec-WebSocket-Key: (\\S+)\r\n.*", "$1");
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: "
                                        + "websocket\r\nConnection: Upgrade"
                                        + "\r\nSec-WebSocket-Accept: "
                                        + Handshake.acceptValue(key)
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        MessageDecoder stream = new MessageDecoder(true, MAX_MESSAGE_BYTES);
        ConnectionBuffer buffer = new ConnectionBuffer(2 * MAX_MESSAGE_BYTES);
        byte[] bytes = new byte[8192];
        for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
            while (stopsReading) {
                sleep();
            }
            buffer.append(Unpooled.wrappedBuffer(bytes, 0, n));
            for (MessageDecoder.Event event = stream.read(buffer);
                    event != MessageDecoder.Event.INCOMPLETE;
                    event = stream.read(buffer)) {
                if (closing.contains(socket)) {
                    if (event == MessageDecoder.Event.CLOSE) {
                        socket.close();
                        return;
                    }
                    continue;
                }
                if (event == MessageDecoder.Event.CLOSE) {
                    received.add("close " + stream.code());
                    write(socket, FrameEncoder.close(stream.code(), "", null));
                    socket.close();
                    return;
                }
                lastFrameAt = System.nanoTime();
                if (event == MessageDecoder.Event.PING) {
                    write(socket, FrameEncoder.pong(stream.payload(), null));
                }
                if (event == MessageDecoder.Event.TEXT) {
                    receive(socket, stream.text());
                }
            }
        }
        received.add("cut");
    }

    private static void sleep() throws IOException {
        sleep(20);
    }

    private static void sleep(int millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
    }

    private void receive(Socket socket, String text) throws IOException {
        received.add(text);
        if (text.contains("\"n\":") && acknowledges) {
            write(
                    socket,
                    FrameEncoder.text(text.replaceFirst("\"n\":(\\d+),.*", "\"ack\":$1}"), null));
        }
    }

    private static void write(Socket socket, byte[] bytes) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
        }
    }

    /** Sends a message on every open connection. */
    void sendToAll(String text) throws IOException {
        synchronized (sockets) {
            for (Socket socket : sockets) {
                if (!socket.isClosed()) {
                    write(socket, FrameEncoder.text(text, null));
                }
            }
        }
    }

    /** Sends a close frame on every open connection, and takes nothing more on them. */
    void closeLegs(int code) throws IOException {
        synchronized (sockets) {
            for (Socket socket : sockets) {
                if (!socket.isClosed() && closing.add(socket)) {
                    write(socket, FrameEncoder.close(code, "", null));
                }
            }
        }
    }

    /** Waits for the next message or end of a connection; null if there is none in time. */
    String next() throws InterruptedException {
        return received.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Resets all connections and accepts no more, as when the process dies. */
    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (SocketException closed) {
                    // The thread of the connection may have closed it just now.
                }
                socket.close();
            }
        }
    }
}
