package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.control.FakeControlService;
import gladewing.versions.ConfigKind;
import gladewing.versions.SigningKeys;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The serve command as a process, with a control service over loopback sockets that sends valid,
 * invalid and harmful versions. Guards against a router that stops serving, or serves with a wrong
 * version, because of what the control service sends or because the service is gone.
 */
class ControlServeTest extends ServeTestHarness {
    private static final String TURN_AWAY_ROUTE =
            "[route door]\nwhen = request.path == '/sheet/%s'\nturn-away = 1s\n";

    private FakeControlService service;
    private Path controlFile;

    private final AtomicBoolean dataNodesAnswer = new AtomicBoolean(true);

    private final AtomicBoolean loadRunning = new AtomicBoolean(true);
    private final Map<String, Integer> responsesByStatus = new HashMap<>();

    /** A route that turns away the requests for this sheet with status 429. */
    private static String turnAway(String sheet) {
        return String.format(TURN_AWAY_ROUTE, sheet);
    }

    private void startWith(String controlLines) throws Exception {
        service = service == null ? new FakeControlService("k1") : service;
        controlFile = folder.resolve("control.ini");
        Files.writeString(controlFile, service.controlFile(controlLines));
        serveArguments.addAll(List.of("--control", controlFile.toString()));
        startWithList();
        assertEquals("/control/watch?site=clinic&epoch=0&number=0", service.nextWatch());
        startDaemon(() -> answerParts(nodeA));
        startDaemon(() -> answerParts(nodeB));
    }

    /** Answers every part for a data node, except those whose text is "hold". */
    private void answerParts(FakeDataNode node) throws IOException {
        try {
            while (true) {
                FakeDataNode.Frame call = node.frames.take();
                for (int at = 0;
                        call.letter == 'Q' && dataNodesAnswer.get() && at < call.text.length(); ) {
                    int end = call.text.indexOf('\n', at);
                    String[] part = call.text.substring(at, end).split(" ");
                    at = end + 1 + Integer.parseInt(part[3]);
                    if (!call.text.substring(end + 1, at).equals("hold")) {
                        call.answer(part[0], "ok", "v");
                    }
                }
            }
        } catch (InterruptedException ended) {
            throw new IOException(ended);
        }
    }

    /**
     * Sends one multiget after the other until loadRunning is false; counts responses by status.
     */
    private Thread startLoad() {
        Thread load =
                new Thread(
                        () -> {
                            try {
                                Client client = new Client();
                                for (int i = 0; loadRunning.get(); i++) {
                                    String response =
                                            client.sendMultiget("report", "load-" + i, 0, 2)
                                                    .readResponse();
                                    responsesByStatus.merge(
                                            response.substring(0, 3), 1, Integer::sum);
                                    if (response.contains("close") || response.equals("end")) {
                                        client = new Client();
                                    }
                                    Thread.sleep(5);
                                }
                            } catch (IOException | InterruptedException fault) {
                                responsesByStatus.merge(fault.toString(), 1, Integer::sum);
                            }
                        });
        load.start();
        return load;
    }

    /** Those of the sheets whose requests are turned away now. */
    private String turnedAway(String... sheets) throws IOException {
        StringBuilder turnedAway = new StringBuilder();
        for (String sheet : sheets) {
            Client client = new Client();
            String response =
                    client.sendMultiget("sheet/" + sheet, "door-" + sheet + System.nanoTime(), 0)
                            .readResponse();
            turnedAway.append(response.startsWith("429") ? sheet : "");
            client.close();
        }
        return turnedAway.toString();
    }

    /** The version page, with times and durations replaced by 0. */
    private String versionPage() throws IOException {
        Client client = new Client().send("GET /health/version HTTP/1.1\r\n\r\n");
        String page = client.readResponse();
        client.close();
        return page.replaceAll("(_s|_ms)\":[0-9.]+", "$1\":0");
    }

    /** Traces the answers up to the one with these words, without counts that vary by run. */
    private void traceAnswersUntil(String words) throws Exception {
        for (String answer : service.answersUntil(words)) {
            record(
                    "answer",
                    answer.replaceAll(
                            ": (only )?[0-9]+ (outcomes|of [0-9]+).*during the trial.*", ""));
        }
    }

    @AfterEach
    void stopService() throws IOException {
        loadRunning.set(false);
        if (service != null) {
            service.close();
        }
    }

    /**
     * Messages that are invalid, incomplete, out of order, repeated, too long, without end, wrongly
     * signed or expired must be rejected with the stage and place of the fault, while every
     * multiget sent meanwhile still succeeds.
     */
    @Test
    void rejectsInvalidVersionsAndKeepsServingRequests() throws Exception {
        startWith("longest = 20000\nfolder = " + folder.resolve("kept"));
        Thread load = startLoad();
        service.sendLine("{\"type\":\"beat\"}")
                .sendLine("no JSON")
                .sendLine("{\"type\":\"set\",\"epoch\":1,\"number\":1}");
        traceAnswersUntil("nack 1.1 schema");
        service.sendBytes(new byte[] {'"', (byte) 0xc3, '(', '"', '\n'});
        service.sendLine(
                service.signedVersion(
                        "clinic",
                        1,
                        2,
                        0,
                        new SigningKeys(Map.of("k1", new byte[32])),
                        "k1",
                        ConfigKind.ROUTES,
                        1,
                        turnAway("x")));
        service.sendLine(
                service.signedVersion(
                                "clinic",
                                1,
                                3,
                                0,
                                service.keys,
                                "k1",
                                ConfigKind.ROUTES,
                                1,
                                turnAway("x"))
                        .replace("k1", "k9"));
        service.sendLine(
                service.signedVersion(
                        "elsewhere",
                        1,
                        4,
                        0,
                        service.keys,
                        "k1",
                        ConfigKind.ROUTES,
                        1,
                        turnAway("x")));
        service.sendLine(
                service.signedVersion(
                        "clinic",
                        1,
                        5,
                        1000,
                        service.keys,
                        "k1",
                        ConfigKind.ROUTES,
                        1,
                        turnAway("x")));
        service.sendLine(
                service.signedChange(1, 6, ConfigKind.ROUTES, 1, "what never was", turnAway("x")));
        service.sendLine(
                service.signedVersion(1, 7, ConfigKind.ROUTES, 1, turnAway("x"))
                        .replace("/x", "/y"));
        service.sendLine(
                service.signedVersion(
                        1,
                        8,
                        ConfigKind.ROUTES,
                        1,
                        "[route bad]\nwhen = request.nothing\nlimit = none\n"));
        traceAnswersUntil("nack 1.8");
        record("turned away", turnedAway("x", "y"));
        service.sendLine(service.signedVersion(1, 9, ConfigKind.ROUTES, 2, turnAway("x")));
        traceAnswersUntil("ack 1.9 trial");
        record("turned away", turnedAway("x", "y"));
        traceAnswersUntil("ack 1.9 good");
        service.sendLine(service.signedVersion(1, 9, ConfigKind.ROUTES, 2, turnAway("x")))
                .sendLine(service.signedVersion(1, 7, ConfigKind.ROUTES, 2, turnAway("x")))
                .sendLine(service.signedVersion(1, 9, ConfigKind.ROUTES, 3, turnAway("y")));
        traceAnswersUntil("nack 1.9");
        record(
                "",
                "attempts rows that name a route missing from the version; two kinds with a fault"
                        + " each");
        service.sendLine(
                service.signedVersion(
                        1,
                        10,
                        ConfigKind.ROUTES,
                        3,
                        turnAway("y"),
                        ConfigKind.ATTEMPTS,
                        1,
                        "[route gone]\nsplit = 0.5\n"));
        service.sendLine(
                service.signedVersion(
                        1,
                        11,
                        ConfigKind.SETTINGS,
                        1,
                        "[products]\nclosed = shet\n",
                        ConfigKind.LIVE,
                        1,
                        "[live]\non = yes\n"));
        traceAnswersUntil("nack 1.11");
        record(
                "",
                "a valid version that has to wait because no node of cell 1 is listed; then it is");
        discovery.setList(
                8,
                true,
                target("a", nodeA.endpoint(), 0, "up"),
                target("b", nodeB.endpoint(), 1, "draining"));
        Thread.sleep(300);
        String named =
                "[route door]\n"
                    + "when = request.parts.exists(p, p.shard == 1) && request.path == '/sheet/y'\n"
                    + "turn-away = 1s\n";
        service.sendLine(service.signedVersion(1, 12, ConfigKind.ROUTES, 4, named));
        traceAnswersUntil("nack 1.12");
        service.sendLine(service.signedVersion(1, 13, ConfigKind.ROUTES, 5, named + "\n"));
        Thread.sleep(300);
        record("page", versionPage());
        discovery.setList(
                9,
                true,
                target("a", nodeA.endpoint(), 0, "up"),
                target("b", nodeB.endpoint(), 1, "up"));
        traceAnswersUntil("ack 1.13 good");
        record(
                "",
                "a change cut off, then sent in full; a line without end; one too long; silence");
        String change =
                service.signedChange(1, 14, ConfigKind.ROUTES, 6, named + "\n", turnAway("z"));
        service.sendsHeartbeats = false;
        service.sendBytes(change.substring(0, 200).getBytes(StandardCharsets.UTF_8)).resetWatch();
        record("watch", service.nextWatch());
        service.sendsHeartbeats = true;
        service.sendLine(change);
        traceAnswersUntil("ack 1.14 good");
        service.sendsHeartbeats = false;
        record("turned away", turnedAway("x", "y", "z"));
        service.sendBytes("{\"type\":".getBytes(StandardCharsets.UTF_8)).awaitWatchClosed();
        record("watch", service.nextWatch());
        service.sendBytes(" ".repeat(20_001).getBytes(StandardCharsets.UTF_8)).awaitWatchClosed();
        record("watch", service.nextWatch());
        service.awaitWatchClosed();
        record("watch", service.nextWatch());
        service.sendsHeartbeats = true;
        record(
                "",
                "lower version numbers; a new epoch; a product closed while it has open multigets");
        String held = "{\"shards\":[{\"shard\":1,\"weight\":1.0}],\"q\":\"hold\"}";
        Client holds =
                new Client()
                        .send(
                                "POST /order HTTP/1.1\r\n"
                                        + "X-Request-ID: held\r\n"
                                        + "X-Timeout-Ms: 3000\r\n"
                                        + "Content-Length: "
                                        + held.length()
                                        + "\r\n\r\n"
                                        + held);
        service.sendLine(service.signedVersion(1, 2, ConfigKind.ROUTES, 9, turnAway("x")));
        service.sendLine(
                service.signedVersion(
                        2, 1, ConfigKind.SETTINGS, 1, "[products]\nclosed = order\n"));
        traceAnswersUntil("nack 2.1");
        record("held", holds.readResponse());
        service.sendLine(
                service.signedVersion(
                        2, 2, ConfigKind.SETTINGS, 2, "[products]\nclosed = sheet, order\n"));
        traceAnswersUntil("ack 2.2 good");
        record("sheet", new Client().sendMultiget("sheet", "closed", 0).readResponse());
        record("page", versionPage());
        loadRunning.set(false);
        load.join();
        assertTrue(responsesByStatus.getOrDefault("200", 0) > 100, responsesByStatus.toString());
        assertEquals(1, responsesByStatus.size(), responsesByStatus.toString());
        assertTrace("control-bad.txt");
    }

    /**
     * A router that is killed, and started again while the control service and discovery are down,
     * must serve with the last acknowledged version and the last list of data nodes. If the key
     * that signed the version has been removed, it must not use the version.
     */
    @Test
    void restartsWithLastAcknowledgedVersionWhileControlAndDiscoveryAreDown() throws Exception {
        startWith("folder = " + folder.resolve("kept"));
        service.sendLine(service.signedVersion(1, 1, ConfigKind.ROUTES, 1, turnAway("x")));
        service.answersUntil("ack 1.1 good");
        service.sendLine(service.signedVersion(1, 2, ConfigKind.ROUTES, 2, turnAway("y")));
        service.answersUntil("ack 1.2 trial");
        Thread.sleep(1500);
        process.destroyForcibly().waitFor();
        service.close();
        discovery.listener.close();
        discovery.setAnswer(0, "");
        process = startProcess(config, folder, jvmOptions, serveArguments);
        assertTrue(awaitListening());
        awaitReady("200");
        assertEquals("y", turnedAway("x", "y"));
        assertEquals(
                "200 {\"complete\":true,\"hits\":[{\"shard\":0,\"doc\":\"v\"},{\"shard\":1,\"doc\":\"v\"}]}",
                new Client().sendMultiget("report", "kept", 0, 1).readResponse());
        service.reopen();
        assertEquals("/control/watch?site=clinic&epoch=1&number=2", service.nextWatch());
        // The key is replaced: a persisted version that it signed must not be used either.
        process.destroyForcibly().waitFor();
        Files.writeString(
                controlFile, Files.readString(controlFile).replace("[key k1]", "[key k2]"));
        process = startProcess(config, folder, jvmOptions, serveArguments);
        assertTrue(awaitListening());
        assertEquals("", turnedAway("x", "y"));
        assertTrue(versionPage().contains("\"version\":\"\",\"on_trial\":false"), versionPage());
    }

    /**
     * If multigets fail while a version is on trial, the router must return to the last good
     * version by itself and reject the failed one when it is pushed again. A withdrawal while a
     * version is on trial must have the same effect.
     */
    @Test
    void returnsToLastGoodVersionWhenMultigetsFailDuringTrial() throws Exception {
        startWith("trial = 20s\nlongest-trial = 60s");
        Thread load = startLoad();
        Thread.sleep(2000);
        service.sendLine(service.signedVersion(1, 1, ConfigKind.ROUTES, 1, turnAway("x")));
        service.answersUntil("ack 1.1 trial");
        dataNodesAnswer.set(false);
        List<String> answers = service.answersUntil("nack 1.1");
        dataNodesAnswer.set(true);
        String nack = answers.get(answers.size() - 1);
        assertTrue(
                nack.matches(
                        "nack 1.1 trial, not on disk: [0-9]+ of [0-9]+ (given up|dismissed) during"
                                + " the trial, 0 of [0-9]+ before"),
                nack);
        assertEquals("", turnedAway("x"));
        service.sendLine(service.signedVersion(1, 1, ConfigKind.ROUTES, 1, turnAway("x")));
        assertTrue(service.answersUntil("rejected before").get(0).startsWith("nack 1.1 trial"));
        // A version that moves discovery, withdrawn on trial: the old discovery is asked again.
        FakeDiscovery elsewhere = new FakeDiscovery();
        elsewhere.setList(
                1,
                true,
                target("a", nodeA.endpoint(), 0, "up"),
                target("b", nodeB.endpoint(), 1, "up"));
        service.sendLine(
                service.signedVersion(
                        1,
                        2,
                        ConfigKind.SETTINGS,
                        1,
                        "[discovery]\naddress = 127.0.0.1:"
                                + elsewhere.listener.getLocalPort()
                                + "\n[needs]\nnodes = 2\n"));
        service.answersUntil("ack 1.2 trial");
        elsewhere.awaitCall(2);
        int calls = discovery.calls;
        service.sendLine(service.signedWithdrawal(1, 2));
        service.answersUntil("nack 1.2 trial, not on disk: withdrawn by the control service");
        discovery.awaitCall(calls + 1);
        elsewhere.listener.close();
        loadRunning.set(false);
        load.join();
    }

    /**
     * Without --control, no class of the control client or of its libraries may be loaded, and the
     * version page must be missing.
     */
    @Test
    void loadsNoControlClassesWithoutControlSettings() throws Exception {
        jvmOptions.add("-Xlog:class+load:file=" + folder.resolve("classes.txt"));
        startWithList();
        record("page", versionPage());
        process.destroy();
        process.waitFor();
        assertEquals("page: 404 close\n", trace.toString());
        for (String line : Files.readAllLines(folder.resolve("classes.txt"))) {
            assertFalse(
                    line.contains("gladewing.control")
                            || line.contains("gladewing.versions")
                            || line.contains("gladewing.durable")
                            || line.contains("networknt")
                            || line.contains("fasterxml")
                            || line.contains("slf4j")
                            || line.contains("codec.digest"),
                    line);
        }
    }

    /**
     * Guards against a version that never arrives, as it takes longer than one message may: each
     * try that ran out of time gets the next one more.
     */
    @Test
    void takesAVersionThatArrivesSlowerThanTheTimeOfOneMessage() throws Exception {
        startWith("whole-within = 500ms");
        String version = service.signedVersion(1, 1, ConfigKind.ROUTES, 1, turnAway("x"));
        startDaemon(
                () -> {
                    try {
                        while (true) {
                            try {
                                service.sendLineSlowly(version, 1800);
                            } catch (IOException closed) {
                                service.nextWatch();
                            }
                        }
                    } catch (InterruptedException stopped) {
                        throw new IOException(stopped);
                    }
                });
        service.answersUntil("ack 1.1 good");
        assertEquals("x", turnedAway("x"));
    }

    /** Guards against answers that are posted for ever, as the service takes long for each. */
    @Test
    void waitsForAServiceThatIsSlowToAcceptAnswers() throws Exception {
        service = new FakeControlService("k1");
        service.answerDelayMillis = 1500;
        startWith("answer-within = 500ms");
        service.sendLine(service.signedVersion(1, 1, ConfigKind.ROUTES, 1, turnAway("x")));
        service.answersUntil("ack 1.1 good");
        for (int i = 0; i < 100 && !versionPage().contains("\"answers_owed\":0"); i++) {
            Thread.sleep(100);
        }
        assertTrue(versionPage().contains("\"answers_owed\":0"), versionPage());
    }
}
