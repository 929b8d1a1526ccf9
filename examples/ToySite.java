import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A toy site on loopback to try gladewing with: discovery on port 18500 and three data nodes on
 * ports 15001 to 15003, in three cells. A node answers each part after 2 to 19 ms with the text
 * "shard N of NODE". Start: java examples/ToySite.java
 */
public class ToySite {
    private static final int DISCOVERY_PORT = 18500;
    private static final int FIRST_NODE_PORT = 15001;
    private static final int NODE_COUNT = 3;

    public static void main(String[] args) throws IOException {
        for (int i = 0; i < NODE_COUNT; i++) {
            String name = "toy-" + (char) ('a' + i);
            listen(FIRST_NODE_PORT + i, socket -> serveNode(name, socket));
        }
        listen(DISCOVERY_PORT, ToySite::serveDiscovery);
        System.out.println(
                "toy site: discovery on 127.0.0.1:"
                        + DISCOVERY_PORT
                        + ", "
                        + NODE_COUNT
                        + " data nodes from port "
                        + FIRST_NODE_PORT
                        + "; end it with Ctrl-C");
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    private static void listen(int port, ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = listener.accept();
                                    new Thread(
                                                    () -> {
                                                        try (socket) {
                                                            handler.handle(socket);
                                                        } catch (IOException
                                                                | InterruptedException exception) {
                                                            // The client has closed its
                                                            // connection.
                                                        }
                                                    })
                                            .start();
                                }
                            } catch (IOException exception) {
                                System.err.println(
                                        "toy site: cannot accept connections: "
                                                + exception.getMessage());
                            }
                        })
                .start();
    }

    /**
     * Answers discovery requests. The list of nodes never changes, so a watch (a request with
     * wait_ms) is answered with no entries after its waiting time.
     */
    private static void serveDiscovery(Socket socket) throws IOException, InterruptedException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String requestLine = line;
            while (line != null && !line.isEmpty()) {
                line = in.readLine();
            }
            StringBuilder targets = new StringBuilder();
            boolean isWatch = requestLine.contains("wait_ms=");
            if (isWatch) {
                Thread.sleep(Long.parseLong(requestLine.replaceAll(".*wait_ms=(\\d+).*", "$1")));
            } else {
                for (int i = 0; i < NODE_COUNT; i++) {
                    targets.append(i > 0 ? "," : "")
                            .append("{\"uid\":\"toy-")
                            .append((char) ('a' + i))
                            .append("\",\"endpoint\":\"127.0.0.1:")
                            .append(FIRST_NODE_PORT + i)
                            .append("\",\"pod_group\":")
                            .append(i)
                            .append(",\"state\":\"up\",\"boot_ms\":0}");
                }
            }
            String body = "{\"rev\":1,\"all\":" + !isWatch + ",\"targets\":[" + targets + "]}";
            socket.getOutputStream()
                    .write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(StandardCharsets.US_ASCII));
        }
    }

    /**
     * Serves one connection of a data node. A frame is four bytes of length (least significant
     * first), then a letter for its type and the content.
     */
    private static void serveNode(String name, Socket socket)
            throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out =
                new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        while (true) {
            byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
            in.readFully(frame);
            switch (frame[0]) {
                case 'Q' -> answerParts(name, frame, out);
                case 'P' -> writeFrame(out, 'P', "ok");
                case 'L' -> writeFrame(out, 'L', "-");
                default -> {}
            }
        }
    }

    private static void answerParts(String name, byte[] frame, DataOutputStream out)
            throws IOException, InterruptedException {
        for (int offset = 1; offset < frame.length; ) {
            int end = offset;
            while (frame[end] != '\n') {
                end++;
            }
            String[] fields =
                    new String(frame, offset, end - offset, StandardCharsets.US_ASCII).split(" ");
            offset = end + 1 + Integer.parseInt(fields[3]);
            Thread.sleep(ThreadLocalRandom.current().nextInt(2, 20));
            writeFrame(out, 'A', fields[0] + " ok 1 -\nshard " + fields[1] + " of " + name);
        }
    }

    private static void writeFrame(DataOutputStream out, char type, String content)
            throws IOException {
        byte[] bytes = content.getBytes(StandardCharsets.US_ASCII);
        out.writeInt(Integer.reverseBytes(bytes.length + 1));
        out.write(type);
        out.write(bytes);
        out.flush();
    }
}
