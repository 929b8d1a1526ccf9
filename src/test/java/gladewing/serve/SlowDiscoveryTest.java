package gladewing.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.discovery.SlowAgent;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A router whose discovery takes seconds for each answer: readiness, drains and new addresses. */
class SlowDiscoveryTest extends ServeTestHarness {
    /** How long after discovery had a change it counts as told at the latest. */
    private static final long TOLD_WITHIN_MILLIS = 6000;

    /** DrainGrace of the configuration, and what the protocol and a hold-up of the router add. */
    private static final long GRACE_MILLIS = 2000 + 50 + 150;

    private static final long DELAY_MILLIS = 2000;
    private static final int EXTRA_NODES = 3200;

    /** Makes entries of some 400 bytes, as of long names in an indented list. */
    private static final String LONG_NAME = "n".repeat(220);

    private final List<SlowAgent> agents = new ArrayList<>();

    /** When the last part arrived at a node, by its port. */
    private final Map<Integer, Long> lastPartAt = new ConcurrentHashMap<>();

    private volatile boolean hasEnded;

    private SlowAgent slowAgent() throws Exception {
        SlowAgent agent = new SlowAgent();
        agents.add(agent);
        agent.delayMillis = DELAY_MILLIS;
        agent.looksBeforeDelay = true;
        return agent;
    }

    private void useAgent(SlowAgent agent) throws Exception {
        Files.writeString(
                config,
                Files.readString(config)
                        .replaceAll("(\"discovery\":\"127.0.0.1:)\\d+", "$1" + agent.port()));
        signal("HUP");
    }

    private void answerAll(FakeDataNode node) {
        startDaemon(
                () -> {
                    while (!hasEnded) {
                        try {
                            FakeDataNode.Frame frame = node.frames.take();
                            if (frame.letter == 'Q') {
                                lastPartAt.put(node.port(), System.nanoTime());
                                frame.answer(frame.text.split(" ")[0], "ok", "v");
                            } else if (frame.letter == 'P' || frame.letter == 'L') {
                                frame.write(frame.letter, frame.letter == 'P' ? "ok" : "-");
                            }
                        } catch (InterruptedException stopped) {
                            return;
                        }
                    }
                });
    }

    /** Sends a multiget every 50 ms, each on a connection of its own. */
    private void sendAll() {
        startDaemon(
                () -> {
                    for (int i = 0; !hasEnded; i++) {
                        String id = "m" + i;
                        startDaemon(
                                () -> {
                                    try (Client client = new Client()) {
                                        client.sendMultiget("report", id, 0).readResponse();
                                    }
                                });
                        try {
                            Thread.sleep(50);
                        } catch (InterruptedException stopped) {
                            return;
                        }
                    }
                });
    }

    private void assertNothingLateAt(FakeDataNode node, long drainedAt) throws Exception {
        Thread.sleep(TOLD_WITHIN_MILLIS + GRACE_MILLIS + 1500);
        long lastMillis = (lastPartAt.get(node.port()) - drainedAt) / 1_000_000;
        assertTrue(
                lastMillis <= TOLD_WITHIN_MILLIS + GRACE_MILLIS,
                "a part " + lastMillis + " ms after the node began to drain");
    }

    @AfterEach
    void end() throws Exception {
        hasEnded = true;
        for (SlowAgent agent : agents) {
            agent.close();
        }
    }

    /**
     * Guards against a discovery that is never listened to because it is slow: a router with an
     * empty list becomes ready, and stops sending to draining nodes in time, also after SIGHUP; and
     * it ends in time.
     */
    @Test
    void listensToASlowDiscoveryFromItsStartAndAfterSighup() throws Exception {
        SlowAgent first = slowAgent();
        start("{\"rev\":0,\"all\":true,\"targets\":[]}");
        useAgent(first);
        first.put("a", nodeA.endpoint(), 0, "up");
        first.put("b", nodeB.endpoint(), 0, "up");
        for (int i = 0; i < EXTRA_NODES; i++) {
            first.put(LONG_NAME + i, "127.0.0.1:9", 1, "up");
        }
        awaitReady("200");
        answerAll(nodeA);
        answerAll(nodeB);
        sendAll();
        Thread.sleep(3000);
        first.put("a", nodeA.endpoint(), 0, "draining");
        assertNothingLateAt(nodeA, System.nanoTime());
        SlowAgent second = slowAgent();
        second.put("a", nodeA.endpoint(), 0, "up");
        second.put("b", nodeB.endpoint(), 0, "draining");
        useAgent(second);
        assertNothingLateAt(nodeB, System.nanoTime());
        process.toHandle().destroy();
        assertTrue(process.waitFor(5, TimeUnit.SECONDS), "SIGTERM ends it in time");
        assertEquals(143, process.exitValue());
        assertEquals(List.of(), log.stream().filter(line -> line.contains("SEVERE")).toList());
    }
}
