import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests whose text is not UTF-8, so that the JSON can't be read. They are owed an
 * error or a close, and no data node may get a part with another text than a client has sent.
 */
public class UnreadableText {
    private static final Map<String, byte[]> sentTexts = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Files.createTempDirectory("review");
        Rig.Record record = new Rig.Record(args[1]);
        Rig.Settings settings = new Rig.Settings();
        Rig.Discovery discovery = new Rig.Discovery();
        AtomicInteger changed = new AtomicInteger();
        AtomicInteger parts = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            Rig.Node added =
                    new Rig.Node(
                            "s-" + i,
                            i,
                            (node, call) -> {
                                parts.incrementAndGet();
                                byte[] sent =
                                        sentTexts.get(
                                                call.id.substring(0, call.id.lastIndexOf('.')));
                                boolean isChanged = !Arrays.equals(sent, call.text);
                                if (isChanged) {
                                    changed.incrementAndGet();
                                }
                                record.line(
                                        node.uid
                                                + " read "
                                                + call.id
                                                + " with the text "
                                                + HexFormat.of().formatHex(call.text)
                                                + (isChanged ? " CHANGED" : ""));
                                call.answer("ok", "v-" + call.id);
                            });
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
        int served = 0;
        byte[][] spoilt = {{'a', (byte) 0xff, 'b'}, {'a', (byte) 0xc3, 'b'}, {'a', (byte) 0x80}};
        for (int i = 0; i < 30; i++) {
            byte[] text =
                    Rig.TROUBLE ? spoilt[i % 3] : "a\u00e9b".getBytes(StandardCharsets.UTF_8);
            String id = "u" + i;
            sentTexts.put(id, text);
            byte[] request = Rig.request("sheet", id, 3000, new int[] {i % 12}, "#".repeat(text.length));
            for (int at = request.length - 1; at >= 0; at--) {
                if (request[at] == '#') {
                    System.arraycopy(text, 0, request, at - text.length + 1, text.length);
                    break;
                }
            }
            try (Rig.Client client = new Rig.Client(router.port)) {
                client.write(request);
                Rig.Response response = client.read(3000);
                record.line(
                        id
                                + " with the text "
                                + HexFormat.of().formatHex(text)
                                + ": status "
                                + response.status
                                + " "
                                + response.body);
                served += response.status == 200 ? 1 : 0;
            }
        }
        record.say(
                "requests: 30, served: "
                        + served
                        + "; parts at data nodes: "
                        + parts
                        + ", with another text than was sent: "
                        + changed);
        record.line("log of the router:\n" + router.log());
        record.close();
        router.kill();
        boolean isBroken = changed.get() > 0 || Rig.TROUBLE && served > 0;
        System.exit(isBroken ? 10 : Rig.TROUBLE || served == 30 ? 0 : 2);
    }
}
