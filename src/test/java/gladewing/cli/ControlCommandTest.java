package gladewing.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.durable.DiskDirectory;
import gladewing.durable.StateStore;
import gladewing.router.Trace;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the output and exit status of the control and state commands with recorded transcripts.
 * Guards against unnoticed changes in what operators and their scripts see.
 */
class ControlCommandTest {
    @TempDir Path folder;
    private final StringBuilder transcript = new StringBuilder();

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    /**
     * Runs one command and appends it and its exit status to the transcript. The output goes to the
     * transcript too or, if outputFile is not null, to that file instead.
     */
    private void run(String outputFile, String... args) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        transcript
                .append("$ ")
                .append(String.join(" ", args))
                .append(outputFile == null ? "" : " > " + outputFile)
                .append('\n');
        for (int i = 0; i < args.length; i++) {
            args[i] =
                    args[i].replaceAll(
                            "^(\\w+=)?(\\w+\\.(ini|json)|kept|none)$", "$1" + folder + "/$2");
        }
        int exitStatus = Commands.run(args, stream, stream);
        String text = output.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
        if (outputFile != null) {
            write(outputFile, text);
        } else {
            transcript.append(
                    text.replaceAll("(?m) +$", "").replaceAll("(?s)Usage: .*", "(usage)\n"));
        }
        transcript.append("exit ").append(exitStatus).append('\n');
    }

    @Test
    void controlCommandsPrintTheRecordedTranscript() throws IOException {
        write(
                "config.json",
                Trace.expected("serve-config.json")
                        .replace("LISTEN", "127.0.0.1:1")
                        .replace("DISCOVERY", "127.0.0.1:2")
                        .replace("\"KNOWN\"", "{\"rev\":0,\"all\":true,\"targets\":[]}"));
        String keyHex = "00".repeat(32);
        write(
                "control.ini",
                "[control]\non = yes\naddress = 127.0.0.1:9\nsite = clinic\n[key k1]\nsecret = "
                        + keyHex
                        + "\n");
        write(
                "other.ini",
                "[control]\non = yes\naddress = 127.0.0.1:9\nsite = clinic\n[key k1]\nsecret = 01"
                        + keyHex.substring(2)
                        + "\n");
        write(
                "faulty.ini",
                "[control]\non = yes\naddress = nowhere:9\nspreed = 1s\ntrial = 2m\n"
                        + "longest-trial = 1s\n"
                        + "[key a]\nsecret = 0x\n[key b]\n[clinic]\n");
        write(
                "one.ini",
                "[route a]\nwhen = request.product == 'sheet' && request.parts.exists(p, "
                        + "p.shard == 3)\nproduct = sheet\n");
        write(
                "two.ini",
                "[route a]\nwhen = request.product == 'sheet' && request.parts.exists(p, "
                        + "p.shard == 2)\nproduct = sheet\n");
        write("bad.ini", "[route a]\nwhen = request.product == 'reprot'\nproduct = shet\n");
        write("rows.ini", "[product report]\ntime-out = never\n");
        run(
                "v1.json",
                "control",
                "pack",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "1",
                "--kind",
                "routes=one.ini");
        run(
                "v2.json",
                "control",
                "pack",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "2",
                "--kind",
                "routes=two.ini",
                "--kind",
                "attempts=rows.ini",
                "--against",
                "v1.json");
        run(
                "v3.json",
                "control",
                "pack",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "3",
                "--kind",
                "routes=bad.ini");
        transcript.append(Files.readString(folder.resolve("v2.json")));
        run(
                null,
                "control",
                "validate",
                "v1.json",
                "--config",
                "config.json",
                "--control",
                "control.ini");
        run(null, "control", "validate", "v2.json", "--config", "config.json");
        run(
                null,
                "control",
                "validate",
                "v2.json",
                "--config",
                "config.json",
                "--against",
                "v1.json");
        run(
                null,
                "control",
                "validate",
                "v3.json",
                "--config",
                "config.json",
                "--control",
                "other.ini",
                "--json");
        run(
                null,
                "control",
                "validate",
                "v3.json",
                "--config",
                "config.json",
                "--control",
                "faulty.ini");
        run(null, "control", "validate", "one.ini", "--config", "config.json");
        run(null, "control", "diff", "v1.json", "v2.json");
        run(null, "control", "diff", "v1.json", "v1.json");
        run(
                null,
                "control",
                "withdraw",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "2");
        run(
                null,
                "control",
                "pack",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "2",
                "--kind",
                "rules=one.ini");
        run(null, "control");
        assertEquals(Trace.expected("commands-control.txt"), transcript.toString());
    }

    @Test
    void stateCommandsPrintTheRecordedTranscriptBeforeAndAfterDamage() throws IOException {
        String text = "[route a]\nwhen = true\nproduct = sheet\n";
        String digest = gladewing.versions.SigningKeys.digest(text);
        String manifest =
                "{\"site\":\"clinic\",\"epoch\":1,\"number\":4,\"entries\":[{\"kind\":\"routes\","
                        + "\"number\":2"
                        + ",\"digest\":\""
                        + digest
                        + "\"}],\"key\":\"k1\",\"mac\":\"00\"}";
        String state =
                "{\"format\":1,\"in_force\":"
                        + manifest
                        + ",\"good\":null,\"starts\":1,\"seen_epoch\":1,"
                        + "\"seen_number\":5,\"refused\":[{\"canonical\":\"c\",\"epoch\":1,"
                        + "\"number\":5,\"stage\":\"kinds\",\"reason\":\"a"
                        + " route names no product\"}],\"nodes\":{\"targets\":[{\"uid\":\"a\"}]}}";
        write(
                "control.ini",
                "[control]\non = yes\naddress = 127.0.0.1:9\nsite = clinic\n[key k1]\nsecret = "
                        + "00".repeat(32)
                        + "\n");
        Path stateDirectory = folder.resolve("kept");
        try (StateStore store = StateStore.open(DiskDirectory.openForWriting(stateDirectory))) {
            store.save(
                    state.getBytes(StandardCharsets.UTF_8),
                    Map.of(digest, text.getBytes(StandardCharsets.UTF_8)));
            store.save(
                    state.replace("\"starts\":1", "\"starts\":2").getBytes(StandardCharsets.UTF_8),
                    Map.of(digest, text.getBytes(StandardCharsets.UTF_8)));
            run(null, "state", "recover", "kept");
        }
        run(null, "state", "show", "kept");
        run(null, "state", "show", "kept", "--text", "routes");
        run(null, "state", "show", "kept", "--text", "live");
        run(null, "state", "verify", "kept");
        run(null, "state", "verify", "kept", "--control", "control.ini");
        byte[] bytes = Files.readAllBytes(stateDirectory.resolve("state-0"));
        bytes[30] ^= 1;
        Files.write(stateDirectory.resolve("state-0"), bytes);
        run(null, "state", "verify", "kept", "--json");
        run(null, "state", "recover", "kept");
        run(null, "state", "recover", "kept");
        run(null, "state", "verify", "kept");
        run(null, "state", "show", "none");
        assertEquals(Trace.expected("commands-state.txt"), transcript.toString());
    }

    /** Guards against files that are signed, or replayed, with another text than they have. */
    @Test
    void filesThatAreNotUtf8AreRefused() throws IOException {
        write(
                "control.ini",
                "[control]\non = yes\naddress = 127.0.0.1:9\nsite = clinic\n[key k1]\nsecret = "
                        + "00".repeat(32)
                        + "\n");
        Files.write(
                folder.resolve("one.ini"),
                "# for caf\u00e9s\n".getBytes(StandardCharsets.ISO_8859_1));
        run(
                null,
                "control",
                "pack",
                "--control",
                "control.ini",
                "--epoch",
                "1",
                "--number",
                "1",
                "--kind",
                "routes=one.ini");
        assertTrue(
                transcript.toString().contains("cannot read one.ini: not UTF-8\nexit 1"),
                transcript.toString());
        assertThrows(
                Commands.CommandFailedException.class,
                () -> Requests.readLog(folder.resolve("one.ini").toString()));
    }
}
