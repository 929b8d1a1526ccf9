package gladewing.benchmarks;

import gladewing.buffer.ConnectionBuffer;
import gladewing.http.MessageReader;
import gladewing.websocket.FrameEncoder;
import gladewing.websocket.Handshake;
import gladewing.websocket.MessageDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A deploy under live sessions on loopback sockets: the built router as a process, and in this one
 * its discovery, its data nodes and its clients. Arguments: sessions, routers, messages a second in
 * all, multigets a second. Latencies are counted from when a message was due, so that a stall shows
 * in all that it held up.
 */
public final class LiveRig {
    private static final int STORES = 20;
    private static final int CELLS = 4;
    private static final int REPLACED = 19;
    private static final long DEPLOY_NANOS = 40_000_000_000L;
    private static final long GRACE_NANOS = 2_000_000_000L;

    private final int sessions;
    private final int messagesPerSecond;
    private final int multigetsPerSecond;
    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<LiveStore> stores = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final List<Tablet> tablets = new ArrayList<>();
    private final List<Desk> desks = new ArrayList<>();
    private final List<Process> routers = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Histogram calm = new Histogram(60_000_000L, 3);
    private final Histogram deploying = new Histogram(60_000_000L, 3);
    private final Histogram answers = new Histogram(60_000_000L, 3);
    private Histogram latency = calm;
    private int revision = 1;
    private int discoveryPort;
    private int nextTablet;
    private long nextMessage;
    private long nextMultiget;
    private int asked;
    private int whole;
    private int notWhole;
    private int closes;
    private int abrupt;
    private int refusals;
    private int lost;
    private int disordered;

    private record Waiting(Channel channel, int after, long until) {}

    private LiveRig(int sessions, int messagesPerSecond, int multigetsPerSecond) {
        this.sessions = sessions;
        this.messagesPerSecond = messagesPerSecond;
        this.multigetsPerSecond = multigetsPerSecond;
    }

    public static void main(String[] args) throws Exception {
        LiveRig rig =
                new LiveRig(number(args, 0, 5000), number(args, 2, 2000), number(args, 3, 100));
        try {
            rig.play(number(args, 1, 1));
        } finally {
            rig.routers.forEach(Process::destroyForcibly);
            System.exit(0);
        }
    }

    private static int number(String[] args, int at, int otherwise) {
        return args.length > at ? Integer.parseInt(args[at]) : otherwise;
    }

    private interface OfChannel {
        ChannelInboundHandlerAdapter handler();
    }

    private int listen(OfChannel each) throws InterruptedException {
        Channel listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(io.netty.channel.ChannelOption.SO_BACKLOG, 4096)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(each.handler());
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private Channel connect(int port, ChannelInboundHandlerAdapter handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(handler)
                .option(io.netty.channel.ChannelOption.TCP_NODELAY, true)
                .connect("127.0.0.1", port)
                .channel();
    }

    private LiveStore store(int number, boolean cold) throws InterruptedException {
        LiveStore[] made = new LiveStore[1];
        int port = listen(() -> made[0].connection());
        made[0] =
                new LiveStore(
                        "s" + number, number % CELLS, port, cold ? System.currentTimeMillis() : 0);
        return made[0];
    }

    private void play(int count) throws Exception {
        for (int i = 0; i < STORES; i++) {
            stores.add(store(i, false));
        }
        discoveryPort = listen(Discovery::new);
        for (int i = 0; i < count; i++) {
            router(i, count);
        }
        System.out.println("idle: " + memory());
        long from = System.nanoTime();
        for (int i = 0; i < sessions; i++) {
            int port = ports.get(i % count);
            loop.submit(() -> new Tablet(tablets.size()).open(port)).get();
            if (i % 20 == 0) {
                Thread.sleep(10);
            }
        }
        while (open() + refusals + abrupt < sessions
                && System.nanoTime() - from < 120_000_000_000L) {
            Thread.sleep(100);
        }
        System.out.println(
                "opened: "
                        + open()
                        + " of "
                        + sessions
                        + " in "
                        + seconds(from)
                        + " s, refused "
                        + refusals
                        + ", "
                        + memory());
        Thread.sleep(3000);
        System.out.println("idle sessions: " + memory());
        for (int i = 0; i < 32; i++) {
            int port = ports.get(i % count);
            loop.submit(() -> desks.add(new Desk(port))).get();
        }
        nextMessage = System.nanoTime();
        nextMultiget = nextMessage;
        loop.scheduleAtFixedRate(this::load, 1, 1, TimeUnit.MILLISECONDS);
        Thread.sleep(15_000);
        System.out.println("calm, with traffic: " + memory());
        tell("calm", calm);
        deploy();
        for (Process router : routers) {
            new ProcessBuilder("kill", "-TERM", Long.toString(router.pid())).start().waitFor();
        }
        int before = closes;
        for (Process router : routers) {
            System.out.println(
                    "a router ended with "
                            + (router.waitFor(15, TimeUnit.SECONDS)
                                    ? router.exitValue()
                                    : "nothing in 15 s"));
        }
        Thread.sleep(300);
        System.out.println(
                "at the end: " + (closes - before) + " closed in order, abrupt in all " + abrupt);
    }

    private void deploy() throws Exception {
        int handshakes = handshakes();
        loop.submit(() -> latency = deploying).get();
        long from = System.nanoTime();
        List<LiveStore> old = new ArrayList<>(stores.subList(0, REPLACED));
        List<LiveStore> all = new ArrayList<>(stores);
        for (int i = 0; i < REPLACED; i++) {
            LiveStore fresh = store(STORES + i, true);
            all.add(fresh);
            LiveStore leaves = old.get(i);
            LiveStore gone = i > 1 ? old.get(i - 2) : null;
            loop.submit(
                            () -> {
                                stores.add(
                                        new Random(fresh.port).nextInt(stores.size() + 1), fresh);
                                leaves.state = "draining";
                                leaves.drainTold = System.nanoTime();
                                if (gone != null) {
                                    stores.remove(gone);
                                }
                                news();
                            })
                    .get();
            Thread.sleep(DEPLOY_NANOS / REPLACED / 1_000_000);
        }
        long all19 = System.nanoTime();
        while (legsAtOld(old) > 0 && System.nanoTime() - all19 < 30_000_000_000L) {
            Thread.sleep(50);
        }
        System.out.println(
                "deploy: "
                        + REPLACED
                        + " of "
                        + STORES
                        + " told within "
                        + (all19 - from) / 1_000_000_000L
                        + " s, none left at the old ones after "
                        + seconds(from)
                        + " s");
        Thread.sleep(8000);
        int peak = 0;
        int cold = 0;
        int late = 0;
        for (LiveStore store : all) {
            peak = Math.max(peak, store.startedMillis > 0 ? store.peak : 0);
            cold = Math.max(cold, store.peakCold);
            late += store.lateFrames;
        }
        System.out.println(
                "legs opened in it "
                        + (handshakes(all) - handshakes)
                        + ", sessions open "
                        + open()
                        + ", closed in order "
                        + closes
                        + ", abrupt "
                        + abrupt
                        + ", lost notices "
                        + lost
                        + ", out of order "
                        + disordered
                        + ", frames after the grace "
                        + late
                        + ", most handshakes a second at a fresh store "
                        + peak
                        + ", in its first 2 s "
                        + cold);
        tell("deploy", deploying);
        System.out.println(
                "multigets: "
                        + asked
                        + " asked, "
                        + whole
                        + " whole, "
                        + notWhole
                        + " not; ms at 50, 99, 99.9%: "
                        + percentiles(answers));
        System.out.println("after: " + memory());
    }

    private int handshakes() {
        return handshakes(stores);
    }

    private static int handshakes(List<LiveStore> of) {
        return of.stream().mapToInt(s -> s.handshakes).sum();
    }

    private static int legsAtOld(List<LiveStore> old) {
        return old.stream().mapToInt(s -> s.legs).sum();
    }

    private int open() {
        return (int) tablets.stream().filter(t -> t.open).count();
    }

    private static String seconds(long from) {
        return String.format("%.1f", (System.nanoTime() - from) / 1e9);
    }

    private static String percentiles(Histogram of) {
        return String.format(
                "%.1f %.1f %.1f",
                of.getValueAtPercentile(50) / 1000.0,
                of.getValueAtPercentile(99) / 1000.0,
                of.getValueAtPercentile(99.9) / 1000.0);
    }

    private void tell(String when, Histogram of) throws Exception {
        System.out.println(
                when
                        + ": "
                        + of.getTotalCount()
                        + " messages there and back, ms at 50, 99, 99.9%: "
                        + percentiles(of));
    }

    private String memory() throws IOException {
        StringBuilder all = new StringBuilder("memory MB");
        for (Process router : routers) {
            for (String line : Files.readAllLines(Path.of("/proc/" + router.pid() + "/status"))) {
                if (line.startsWith("VmRSS")) {
                    all.append(' ').append(Long.parseLong(line.replaceAll("\\D", "")) / 1024);
                }
            }
        }
        return all.toString();
    }

    private void router(int number, int count) throws Exception {
        int port;
        try (java.net.ServerSocket free = new java.net.ServerSocket(0)) {
            port = free.getLocalPort();
        }
        int each = sessions / count + 50;
        Path folder = Files.createTempDirectory("rig");
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                Files.readString(Path.of("examples/config.json"))
                        .replace("127.0.0.1:15000", "127.0.0.1:" + port)
                        .replace("127.0.0.1:18500", "127.0.0.1:" + discoveryPort)
                        .replace("\"sockets\": 1024", "\"sockets\": " + (each * 5 + 2000))
                        .replace("\"NInstances\": 1", "\"NInstances\": " + count)
                        .replace("\"Places\": 3", "\"Places\": " + CELLS));
        Path live = folder.resolve("live.ini");
        Files.writeString(
                live,
                "[live]\non = yes\nsessions = "
                        + each
                        + "\nlegs = "
                        + each * 3 / 2
                        + "\nhandshakes = 400\nweight = 0.001\nheld-bytes-in-all = 4194304\n");
        ProcessBuilder builder =
                new ProcessBuilder(
                        "java",
                        "-Xms40m",
                        "-Xmx160m",
                        "-Xss512k",
                        "-XX:MaxDirectMemorySize=32m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-jar",
                        "target/gladewing.jar",
                        "serve",
                        "--live",
                        live.toString());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        routers.add(builder.start());
        ports.add(port);
        System.out.println("router " + number + ": log in " + folder);
        for (int i = 0; i < 200; i++) {
            Thread.sleep(50);
            try (java.net.Socket probe = new java.net.Socket("127.0.0.1", port)) {
                probe.getOutputStream()
                        .write(
                                "GET /health/ready HTTP/1.1\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                if (new String(probe.getInputStream().readNBytes(12)).endsWith("200")) {
                    return;
                }
            } catch (IOException notYet) {
                // Asked again.
            }
        }
        throw new IllegalStateException("the router is not ready");
    }

    /** What is due by now, however late this runs. */
    private void load() {
        long now = System.nanoTime();
        for (int i = 0;
                nextMessage <= now && i < 2 * tablets.size() && messagesPerSecond > 0;
                i++) {
            Tablet tablet = tablets.get(nextTablet++ % tablets.size());
            if (tablet.open) {
                tablet.say(nextMessage);
                nextMessage += 1_000_000_000L / messagesPerSecond;
            }
        }
        for (;
                nextMultiget <= now && multigetsPerSecond > 0;
                nextMultiget += 1_000_000_000L / multigetsPerSecond) {
            desks.get(asked % desks.size()).ask(nextMultiget);
        }
        waiting.removeIf(
                w -> {
                    boolean over = w.until <= now || w.after < revision;
                    if (over) {
                        answer(w.channel, w.after);
                    }
                    return over;
                });
    }

    private void news() {
        revision++;
        waiting.removeIf(
                w -> {
                    answer(w.channel, w.after);
                    return true;
                });
    }

    /** The whole list whenever there is news: simple, and allowed. */
    private void answer(Channel channel, int after) {
        String body =
                "{\"rev\":"
                        + revision
                        + ",\"all\":"
                        + (after < revision)
                        + ",\"targets\":["
                        + (after < revision
                                ? String.join(",", stores.stream().map(LiveStore::target).toList())
                                : "")
                        + "]}";
        channel.writeAndFlush(
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                        StandardCharsets.US_ASCII));
    }

    private final class Discovery extends ChannelInboundHandlerAdapter {
        private final ConnectionBuffer in = new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
        private final MessageReader message = new MessageReader();

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            in.append((ByteBuf) read);
            ((ByteBuf) read).release();
            while (message.read(in) == MessageReader.Progress.MESSAGE) {
                String line = message.startLine();
                int after = line.contains("after=") ? (int) LiveStore.number(line, "after=") : 0;
                if (after < revision) {
                    answer(context.channel(), after);
                } else {
                    long wait = LiveStore.number(line, "wait_ms=") * 1_000_000L;
                    waiting.add(new Waiting(context.channel(), after, System.nanoTime() + wait));
                    loop.schedule(() -> load0(), wait, TimeUnit.NANOSECONDS);
                }
                message.startNextMessage();
            }
        }

        private void load0() {
            long now = System.nanoTime();
            waiting.removeIf(
                    w -> {
                        if (w.until <= now) {
                            answer(w.channel, w.after);
                        }
                        return w.until <= now;
                    });
        }
    }

    /** One client's session: says numbered messages, and checks the numbers of what comes. */
    private final class Tablet extends ChannelInboundHandlerAdapter {
        private final int shard;
        private final ConnectionBuffer in = new ConnectionBuffer(128 * 1024);
        private final MessageReader head = new MessageReader();
        private final MessageDecoder stream = new MessageDecoder(false, 65_536);
        private Channel channel;
        private boolean shook;
        boolean open;
        private boolean ended;
        private long said;
        private long heard;

        Tablet(int number) {
            shard = number % 12;
            tablets.add(this);
        }

        Tablet open(int port) {
            channel = connect(port, this);
            return this;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            byte[] nonce = new byte[16];
            context.writeAndFlush(
                    Unpooled.copiedBuffer(
                            Handshake.request(
                                    "/sheet/live?shards=" + shard, "rig", nonce, null, ""),
                            StandardCharsets.US_ASCII));
        }

        void say(long due) {
            channel.writeAndFlush(
                    Unpooled.wrappedBuffer(
                            FrameEncoder.text(
                                    "{\"shard\":"
                                            + shard
                                            + ",\"n\":"
                                            + ++said
                                            + ",\"data\":\""
                                            + due
                                            + "\"}",
                                    new byte[] {1, 2, 3, 4})));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            in.append((ByteBuf) read);
            ((ByteBuf) read).release();
            if (!shook) {
                if (head.read(in) != MessageReader.Progress.MESSAGE) {
                    return;
                }
                shook = true;
                open = head.startLine().contains(" 101 ");
                ended = !open;
                refusals += open ? 0 : 1;
            }
            for (MessageDecoder.Event e = stream.read(in);
                    e != MessageDecoder.Event.INCOMPLETE;
                    e = stream.read(in)) {
                if (e == MessageDecoder.Event.CLOSE) {
                    closes++;
                    open = false;
                    ended = true;
                    channel.writeAndFlush(
                            Unpooled.wrappedBuffer(
                                    FrameEncoder.close(stream.code(), "", new byte[4])));
                    return;
                }
                if (e == MessageDecoder.Event.PING) {
                    channel.writeAndFlush(
                            Unpooled.wrappedBuffer(
                                    FrameEncoder.pong(stream.payload(), new byte[4])));
                } else if (e == MessageDecoder.Event.TEXT) {
                    heard(stream.text());
                }
            }
        }

        private void heard(String text) {
            long n = LiveStore.number(text, "\"n\":");
            lost += text.contains("\"lost\"") || text.contains("\"gap\"") ? 1 : 0;
            if (n >= 0) {
                disordered += n == heard + 1 ? 0 : 1;
                heard = n;
                latency.recordValue(
                        Math.min(
                                59_000_000L,
                                (System.nanoTime() - LiveStore.number(text, "\"data\":\""))
                                        / 1000));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            abrupt += ended ? 0 : 1;
            ended = true;
            open = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * One connection that asks multigets, one at a time; what is due while it waits is asked late.
     */
    private final class Desk extends ChannelInboundHandlerAdapter {
        private final int port;
        private final ConnectionBuffer in = new ConnectionBuffer(MessageReader.MAX_BUFFERED_BYTES);
        private final MessageReader head = new MessageReader();
        private final java.util.ArrayDeque<Long> due = new java.util.ArrayDeque<>();
        private Channel channel;
        private long askedAt;

        Desk(int port) {
            this.port = port;
            channel = connect(port, this);
        }

        void ask(long when) {
            due.add(when);
            next();
        }

        private void next() {
            if (askedAt != 0 || due.isEmpty() || !channel.isActive()) {
                return;
            }
            askedAt = due.poll();
            int first = asked % 12;
            String body =
                    "{\"shards\":[{\"shard\":"
                            + first
                            + ",\"weight\":0.5},{\"shard\":"
                            + (first + 5) % 12
                            + ",\"weight\":0.5}],\"q\":\"rig\"}";
            channel.writeAndFlush(
                    Unpooled.copiedBuffer(
                            "POST /sheet HTTP/1.1\r\nX-Request-ID: r"
                                    + asked++
                                    + "\r\nX-Timeout-Ms: 5000\r\nContent-Length: "
                                    + body.length()
                                    + "\r\n\r\n"
                                    + body,
                            StandardCharsets.US_ASCII));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object read) {
            in.append((ByteBuf) read);
            ((ByteBuf) read).release();
            while (head.read(in) == MessageReader.Progress.MESSAGE) {
                boolean good =
                        new String(head.body(), StandardCharsets.UTF_8)
                                .startsWith("{\"complete\":true");
                whole += good ? 1 : 0;
                notWhole += good ? 0 : 1;
                answers.recordValue(Math.min(59_000_000L, (System.nanoTime() - askedAt) / 1000));
                head.startNextMessage();
                askedAt = 0;
                next();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            askedAt = 0;
            channel = connect(port, this);
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
