package gladewing.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladewing.events.RouterEvents;
import gladewing.loop.Loop;
import gladewing.router.Time;
import gladewing.sockets.SocketFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The watch on agents of discovery that are slow, silent or crowded, over loopback sockets. */
class DiscoveryWatcherTest {
    /** How long after discovery had a change it counts as told at the latest. */
    private static final long TOLD_WITHIN_MILLIS = 6000;

    /** A node that began to drain gets new parts for so long after that at the most. */
    private static final long GRACE_MILLIS = 2000;

    /** A router must be ready within this time. */
    private static final long READY_WITHIN_MILLIS = 30_000;

    private static final int MAX_WAITING_CALLS = 8;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final List<SlowAgent> agents = new ArrayList<>();

    /** A watcher with its agent; keeps the list that it has told, and the first times of states. */
    private final class Watch implements DiscoveryListener, Loop.PassListener {
        final String name;
        final SlowAgent agent = new SlowAgent();
        final CountDownLatch isListed = new CountDownLatch(1);
        final long beganAt = System.nanoTime();
        final Map<String, NodeListUpdate.State> states = new HashMap<>();
        final Map<String, Long> drainedAt = new HashMap<>();
        int backwards;
        private final EventLoop thread;
        private DiscoveryWatcher watcher;

        Watch(String name, Consumer<SlowAgent> setUp) throws Exception {
            this.name = name;
            agents.add(agent);
            agent.put("a", "127.0.0.1:9", 0, "up");
            agent.put("b", "127.0.0.1:9", 1, "up");
            setUp.accept(agent);
            thread = group.next();
            thread.submit(this::start).get();
        }

        private void start() {
            Loop loop = new Loop(thread);
            loop.start(this);
            Bootstrap bootstrap =
                    new Bootstrap()
                            .group(thread)
                            .channelFactory(SocketFactory::newSocket)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
            watcher =
                    new DiscoveryWatcher(
                            loop, bootstrap, addressOf(agent), 3, this, new RouterEvents());
            watcher.start();
        }

        @Override
        public void passBegan(Time now) {}

        @Override
        public void passEnded() {}

        @Override
        public synchronized void nodeListUpdated(NodeListUpdate update) {
            for (NodeListUpdate.NodeEntry node : update.entries()) {
                if (node.state() == NodeListUpdate.State.DRAINING) {
                    drainedAt.putIfAbsent(node.uid(), System.nanoTime());
                } else if (drainedAt.containsKey(node.uid())) {
                    backwards++;
                }
                states.put(node.uid(), node.state());
            }
            isListed.countDown();
        }

        @Override
        public void discoveryFailed() {}

        /** Begins to drain a node; the result is when that was, in nanoseconds. */
        long drain(String uid, int cell) {
            agent.put(uid, "127.0.0.1:9", cell, "draining");
            return System.nanoTime();
        }

        void awaitList() throws InterruptedException {
            long left = READY_WITHIN_MILLIS - (System.nanoTime() - beganAt) / 1_000_000;
            assertTrue(isListed.await(left, TimeUnit.MILLISECONDS), name + ": no list was told");
        }

        /** Checks that a drain was told in time, and that nothing undid it. */
        synchronized void assertToldInTime(String uid, long changedAt, long withinMillis) {
            Long toldAt = drainedAt.get(uid);
            assertTrue(toldAt != null, name + ": the drain of " + uid + " was never told");
            long millis = (toldAt - changedAt) / 1_000_000;
            assertTrue(millis <= withinMillis, name + ": told after " + millis + " ms");
            assertEquals(0, backwards, name + ": states that went back");
            assertTrue(
                    agent.mostWaiting() <= MAX_WAITING_CALLS,
                    name + ": " + agent.mostWaiting() + " calls waited");
            assertTrue(
                    agent.mostOpen() <= MAX_WAITING_CALLS + 1,
                    name + ": " + agent.mostOpen() + " connections were open");
        }
    }

    private static InetSocketAddress addressOf(SlowAgent agent) {
        return new InetSocketAddress("127.0.0.1", agent.port());
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        for (SlowAgent agent : agents) {
            agent.close();
        }
    }

    private static void addNodes(SlowAgent agent, int count) {
        for (int i = 0; i < count; i++) {
            agent.put("node-with-a-long-name-" + i, "127.0.0.1:" + (1000 + i), i % 3, "up");
        }
    }

    /** Agents that are slow in different ways; the name of each tells how. */
    private List<Watch> slowWatches() throws Exception {
        List<Watch> watches = new ArrayList<>();
        for (long delay : new long[] {800, 2000, 5000}) {
            watches.add(new Watch(delay + " ms", agent -> agent.delayMillis = delay));
            watches.add(
                    new Watch(
                            delay + " ms, by the state before",
                            agent -> {
                                agent.delayMillis = delay;
                                agent.looksBeforeDelay = true;
                            }));
            watches.add(new Watch(delay + " ms, in pieces", agent -> agent.spreadMillis = delay));
            watches.add(
                    new Watch(
                            "3,200 entries, " + delay + " ms, in pieces",
                            agent -> {
                                addNodes(agent, 3200);
                                agent.spreadMillis = delay;
                            }));
        }
        return watches;
    }

    /**
     * Guards against answers that are dropped as they are slow and asked for anew: a list that is
     * never taken on, and a drain that is never heard of.
     */
    @Test
    void takesOnWhatSlowAgentsTell() throws Exception {
        List<Watch> watches = slowWatches();
        for (Watch watch : watches) {
            watch.awaitList();
        }
        Thread.sleep(3000);
        assertDrainsAreTold(watches, TOLD_WITHIN_MILLIS);
    }

    /**
     * Guards against slow agents that are waited for on connections that have fallen silent: all
     * open ones do, and nodes begin to drain right after.
     */
    @Test
    void hearsOfDrainsAfterSlowWatchesFellSilent() throws Exception {
        List<Watch> watches = slowWatches();
        for (Watch watch : watches) {
            watch.awaitList();
        }
        Thread.sleep(3000);
        watches.forEach(watch -> watch.agent.silenceOpenConnections());
        assertDrainsAreTold(watches, TOLD_WITHIN_MILLIS + GRACE_MILLIS);
    }

    private static void assertDrainsAreTold(List<Watch> watches, long withinMillis)
            throws Exception {
        Map<Watch, Long> first = new HashMap<>();
        for (Watch watch : watches) {
            first.put(watch, watch.drain("a", 0));
        }
        Thread.sleep(3300);
        Map<Watch, Long> second = new HashMap<>();
        for (Watch watch : watches) {
            second.put(watch, watch.drain("b", 1));
        }
        Thread.sleep(withinMillis + 1000);
        for (Watch watch : watches) {
            watch.assertToldInTime("a", first.get(watch), withinMillis);
            watch.assertToldInTime("b", second.get(watch), withinMillis);
        }
    }

    /** Guards against calls that are lost while others are slow, and against crowds of our own. */
    @Test
    void hearsOfDrainsFromAgentsThatLoseOrRefuseCalls() throws Exception {
        List<Watch> watches = new ArrayList<>();
        for (long delay : new long[] {0, 800, 2000}) {
            watches.add(
                    new Watch(
                            delay + " ms, every second call is lost",
                            agent -> {
                                agent.delayMillis = delay;
                                agent.losesEvery = 2;
                            }));
            watches.add(
                    new Watch(
                            delay + " ms, a second call is refused",
                            agent -> {
                                agent.delayMillis = delay;
                                agent.maxWaiting = 1;
                            }));
            watches.add(
                    new Watch(
                            delay + " ms, a second connection ends the first",
                            agent -> {
                                agent.delayMillis = delay;
                                agent.closesEarlierConnections = true;
                            }));
            watches.add(
                    new Watch(
                            delay + " ms, one call at a time",
                            agent -> {
                                agent.delayMillis = delay;
                                agent.servesOneAtATime = true;
                            }));
        }
        watches.add(new Watch("up to 5 s", agent -> agent.jitterMillis = 5000));
        watches.add(
                new Watch(
                        "up to 5 s, by the state before",
                        agent -> {
                            agent.jitterMillis = 5000;
                            agent.looksBeforeDelay = true;
                        }));
        for (Watch watch : watches) {
            watch.awaitList();
        }
        Thread.sleep(8000);
        assertDrainsAreTold(watches, TOLD_WITHIN_MILLIS + GRACE_MILLIS);
    }

    /** A new address in the middle of a slow call begins a watch there that is heard in time. */
    @Test
    void takesOnWhatASlowAgentAtANewAddressTells() throws Exception {
        Watch watch = new Watch("5 s, moved", agent -> agent.delayMillis = 5000);
        SlowAgent second = new SlowAgent();
        agents.add(second);
        second.delayMillis = 5000;
        second.put("a", "127.0.0.1:9", 0, "draining");
        Thread.sleep(2000);
        watch.thread.submit(() -> watch.watcher.moveTo(addressOf(second)));
        long movedAt = System.nanoTime();
        Thread.sleep(TOLD_WITHIN_MILLIS + 500);
        watch.assertToldInTime("a", movedAt, TOLD_WITHIN_MILLIS);
    }

    /** A sound agent has one call at a time, one a second, on one connection. */
    @Test
    void asksASoundAgentNoMoreThanOnceASecond() throws Exception {
        List<Watch> watches = new ArrayList<>();
        for (long delay : new long[] {0, 300}) {
            watches.add(new Watch(delay + " ms", agent -> agent.delayMillis = delay));
        }
        Thread.sleep(5500);
        for (Watch watch : watches) {
            assertTrue(
                    watch.agent.calls() <= 7, watch.name + ": " + watch.agent.calls() + " calls");
            assertEquals(1, watch.agent.mostWaiting(), watch.name);
            assertEquals(1, watch.agent.mostOpen(), watch.name);
        }
    }
}
