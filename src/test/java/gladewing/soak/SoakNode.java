package gladewing.soak;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A data node as a process of its own. It answers parts after a random delay, and prints each part
 * that it receives: the time of the monotonic clock, the id, and whether it ran. Commands come as
 * lines on its standard input: {@code reset} closes all connections, {@code busy N} and {@code err
 * N} turn away or fail N of a thousand parts, {@code delay N} sets the mean delay in milliseconds.
 */
public final class SoakNode {
    private final Random random;
    private final List<Socket> sockets = new ArrayList<>();
    private final ScheduledExecutorService answers = Executors.newScheduledThreadPool(2);
    private volatile int busyPermille;
    private volatile int errorPermille;
    private volatile int delayMillis = 20;

    private SoakNode(long seed) {
        random = new Random(seed);
    }

    /** Arguments: the port to listen on, or 0, and a seed. Prints the port first. */
    public static void main(String[] args) throws IOException {
        SoakNode node = new SoakNode(Long.parseLong(args[1]));
        ServerSocket listener =
                new ServerSocket(Integer.parseInt(args[0]), 512, InetAddress.getLoopbackAddress());
        System.out.println("port " + listener.getLocalPort());
        SoakThreads.start(() -> node.accept(listener));
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            node.execute(line.split(" "));
        }
        System.exit(0);
    }

    private void execute(String[] command) throws IOException {
        switch (command[0]) {
            case "reset" -> reset();
            case "busy" -> busyPermille = Integer.parseInt(command[1]);
            case "err" -> errorPermille = Integer.parseInt(command[1]);
            case "delay" -> delayMillis = Integer.parseInt(command[1]);
            default -> throw new IllegalArgumentException(command[0]);
        }
    }

    private synchronized void reset() throws IOException {
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
    }

    private void accept(ServerSocket listener) throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            synchronized (this) {
                sockets.add(socket);
            }
            SoakThreads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
            in.readFully(frame);
            String text = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
            switch ((char) frame[0]) {
                case 'Q' -> call(socket, text);
                case 'P', 'L' -> write(socket, (char) frame[0], "ok");
                default -> {
                    // A part that is given up: its answer is sent all the same.
                }
            }
        }
    }

    private void call(Socket socket, String call) {
        long now = System.nanoTime();
        StringBuilder received = new StringBuilder();
        for (int at = 0; at < call.length(); ) {
            int end = call.indexOf('\n', at);
            String[] line = call.substring(at, end).split(" ");
            at = end + 1 + Integer.parseInt(line[3]);
            boolean isBusy = random.nextInt(1000) < busyPermille;
            boolean isError = !isBusy && random.nextInt(1000) < errorPermille;
            String result = isBusy ? "busy" : isError ? "err" : "ok";
            received.append("part " + now + " " + line[0] + " " + result + "\n");
            String answer =
                    line[0] + " " + result + " 1 -\n" + (result.equals("ok") ? value(line[0]) : "");
            int delay = isBusy ? 0 : random.nextInt(2 * delayMillis + 1);
            answers.schedule(() -> answer(socket, answer), delay, TimeUnit.MILLISECONDS);
        }
        System.out.print(received);
    }

    /** The value that a node makes for a part. */
    static String value(String partId) {
        return "value of " + partId;
    }

    private static void answer(Socket socket, String answer) {
        try {
            write(socket, 'A', answer);
        } catch (IOException closed) {
            // The connection has ended.
        }
    }

    private static void write(Socket socket, char letter, String text) throws IOException {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[content.length + 5];
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (content.length + 1 >> 8 * i);
        }
        frame[4] = (byte) letter;
        System.arraycopy(content, 0, frame, 5, content.length);
        synchronized (socket) {
            socket.getOutputStream().write(frame);
        }
    }
}
