import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients by the hundreds send heads of many short lines and lengths that are wrong, stop in
 * the middle of the body and stay. The router must not crash.
 */
public class BadHeads {
    /** With the sound clients fewer than a third of the 1,024 descriptors. */
    private static final int BAD_CLIENTS = 320;

    private static final int SOUND_CLIENTS = 8;
    private static final double TROUBLE_MILLIS = 20_000;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Files.createTempDirectory("review");
        Rig.Record record = new Rig.Record(args[1]);
        Rig.Settings settings = new Rig.Settings();
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < 3; i++) {
            Rig.Node added =
                    new Rig.Node(
                            "s-" + i,
                            i,
                            (node, call) ->
                                    Rig.start(
                                            "work",
                                            () -> {
                                                Rig.sleep(30);
                                                record.line(node.uid + " ran " + call.id);
                                                call.answer("ok", "v-" + call.id);
                                            }));
            discovery.put(added.uid, added.port, i, "up", 0);
        }
        Rig.Router router = new Rig.Router(root, folder, "r1");
        router.writeConfig(
                settings.config(
                        router.port, discovery.port(), "{\"rev\":0,\"all\":true,\"targets\":[]}"));
        router.start();
        if (!router.awaitReady(30_000)) {
            record.say("the router did not become ready: " + router.log());
            record.close();
            System.exit(2);
        }
        SoundClients clients = new SoundClients(record, router.port, "q");
        clients.start(SOUND_CLIENTS, 200, 3000, 4);
        Rig.sleep(3000);
        AtomicInteger ended = new AtomicInteger();
        double until = Rig.now() + TROUBLE_MILLIS;
        if (Rig.TROUBLE) {
            byte[] bytes = badRequest();
            record.say(BAD_CLIENTS + " bad clients, each with " + bytes.length + " bytes");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.start("bad", () -> sendBad(router, bytes, until, ended));
            }
        }
        while (Rig.now() < until && router.isAlive()) {
            Rig.sleep(50);
        }
        boolean crashed = !router.isAlive();
        if (crashed) {
            record.say(
                    "the router's process has ended by itself, with status " + router.exitStatus());
        }
        Rig.sleep(1000);
        clients.stop();
        record.say(clients.summary());
        record.say("bad clients that got an error or a close: " + ended);
        record.line("log of the router:\n" + router.log());
        record.close();
        router.kill();
        System.exit(crashed || clients.unanswered.get() > 0 ? 10 : 0);
    }

    private static byte[] badRequest() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes("POST /sheet HTTP/1.1\r\nTransfer-Encoding:chunked\r\n".getBytes());
        for (int i = 0; i < 2020; i++) {
            bytes.writeBytes("a:b\n".getBytes());
        }
        // The chunk is said to be longer than what follows.
        bytes.writeBytes("\nFFFF\n".getBytes());
        bytes.writeBytes(new byte[65_000]);
        return bytes.toByteArray();
    }

    /** Sends it, stays until it gets an error or a close, and does the same again. */
    private static void sendBad(
            Rig.Router router, byte[] bytes, double until, AtomicInteger ended) {
        while (Rig.now() < until && router.isAlive()) {
            try (Rig.Client client = new Rig.Client(router.port)) {
                client.write(bytes);
                if (client.read(10_000).status >= 0) {
                    ended.incrementAndGet();
                }
            } catch (IOException refused) {
                Rig.sleep(100);
            }
        }
    }
}
