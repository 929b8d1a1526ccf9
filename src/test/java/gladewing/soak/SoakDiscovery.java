package gladewing.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Discovery as a process of its own, with several agents that hold the same list. Commands come as
 * lines on its standard input: {@code list REVISION JSON} sets the whole list, {@code open N} opens
 * N more agents and prints their ports, {@code close PORT} closes an agent and its connections
 * after 1.5 s, {@code reset} closes all connections, {@code delay MILLIS} makes each answer take
 * that long.
 */
public final class SoakDiscovery {
    private static final int CLOSE_DELAY_MILLIS = 1500;

    private record Agent(ServerSocket listener, List<Socket> sockets) {}

    private final List<Agent> agents = new ArrayList<>();
    private volatile int delayMillis;
    private int revision;
    private String targets = "";

    private SoakDiscovery() {}

    /** Takes no arguments. */
    public static void main(String[] args) throws IOException {
        SoakDiscovery discovery = new SoakDiscovery();
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            discovery.execute(line.split(" ", 3));
        }
        System.exit(0);
    }

    private void execute(String[] command) throws IOException {
        switch (command[0]) {
            case "list" -> setList(Integer.parseInt(command[1]), command[2]);
            case "open" -> {
                for (int i = 0; i < Integer.parseInt(command[1]); i++) {
                    System.out.println("port " + open());
                }
            }
            case "close" -> {
                int port = Integer.parseInt(command[1]);
                SoakThreads.start(() -> close(port));
            }
            case "reset" -> reset();
            case "delay" -> delayMillis = Integer.parseInt(command[1]);
            default -> throw new IllegalArgumentException(command[0]);
        }
    }

    private synchronized void setList(int newRevision, String newTargets) {
        revision = newRevision;
        targets = newTargets;
        notifyAll();
    }

    private synchronized int open() throws IOException {
        Agent agent =
                new Agent(
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                        new ArrayList<>());
        agents.add(agent);
        SoakThreads.start(() -> accept(agent));
        return agent.listener.getLocalPort();
    }

    private void close(int port) throws IOException {
        Agent closed;
        synchronized (this) {
            closed =
                    agents.stream()
                            .filter(agent -> agent.listener.getLocalPort() == port)
                            .findFirst()
                            .orElseThrow();
        }
        closed.listener.close();
        try {
            Thread.sleep(CLOSE_DELAY_MILLIS);
        } catch (InterruptedException stopped) {
            return;
        }
        synchronized (this) {
            for (Socket socket : closed.sockets) {
                socket.close();
            }
        }
    }

    private synchronized void reset() throws IOException {
        for (Agent agent : agents) {
            for (Socket socket : agent.sockets) {
                socket.close();
            }
            agent.sockets.clear();
        }
    }

    private void accept(Agent agent) throws IOException {
        while (true) {
            Socket socket = agent.listener.accept();
            synchronized (this) {
                agent.sockets.add(socket);
            }
            SoakThreads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String request = line;
            while (!line.isEmpty()) {
                line = in.readLine();
            }
            String answer = answer(request);
            try {
                Thread.sleep(delayMillis);
            } catch (InterruptedException stopped) {
                throw new IOException(stopped);
            }
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized String answer(String request) throws IOException {
        if (request.contains("after=")) {
            int after = Integer.parseInt(request.replaceAll(".*after=(\\d+).*", "$1"));
            long waitMillis = Long.parseLong(request.replaceAll(".*wait_ms=(\\d+).*", "$1"));
            long deadline = System.nanoTime() + waitMillis * 1_000_000;
            while (revision <= after) {
                long left = (deadline - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return response("{\"rev\":" + after + ",\"all\":false,\"targets\":[]}");
                }
                try {
                    wait(left);
                } catch (InterruptedException stopped) {
                    throw new IOException(stopped);
                }
            }
        }
        return response("{\"rev\":" + revision + ",\"all\":true,\"targets\":" + targets + "}");
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
