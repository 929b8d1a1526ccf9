package gladewing.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gladewing.lifecycle.GrowingTimeLimit;
import gladewing.loop.Loop;
import gladewing.loop.WorkerThread;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.settings.Fault;
import gladewing.sockets.ConnectionAttempt;
import gladewing.versions.Manifest;
import gladewing.versions.ReconnectBackoff;
import gladewing.versions.RolloutStateMachine;
import gladewing.versions.Stage;
import gladewing.versions.VersionStatus;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The router's client of the control service. It watches the service for versions, has them checked
 * and saved on a worker thread, carries out what {@link RolloutStateMachine} decides, and posts the
 * answers about versions to the service. It makes no decision about versions itself. Everything
 * except the tasks handed to the worker runs on the loop's thread.
 */
public final class ControlClient implements WatchConnection.Listener {
    private static final Logger LOG = Logger.getLogger(ControlClient.class.getName());
    private static final Span TICK_INTERVAL = Span.ofMillis(100);

    /** Limits how often a save is retried after the disk failed. */
    private static final Span SAVE_RETRY_DELAY = Span.ofMillis(5000);

    /**
     * How far the saved list of data nodes may lag behind: the list may change many times a second.
     */
    private static final Span NODE_LIST_SAVE_INTERVAL = Span.ofMillis(1000);

    private static final Span LOG_WINDOW = Span.ofMillis(1000);
    private static final int MAX_LOG_LINES_PER_WINDOW = 10;

    private final Loop loop;
    private final Bootstrap bootstrap;
    private final ControlSettings settings;
    private final String name;
    private final ManagedRouter router;
    private final VersionCompiler compiler;
    private final ControlStateStore stateStore;
    private final RolloutStateMachine rollout;
    private final ControlMessageCodec codec;
    private final LongSupplier unixMillis;
    private final ReconnectBackoff watchBackoff;
    private final AnswerSender answers;

    /** How long a message may stay incomplete. */
    private final GrowingTimeLimit messageTimeLimit;

    private final ExecutorService worker = WorkerThread.start("control");
    private final CompiledVersion startupFiles;
    private CompiledVersion inForce;
    private CompiledVersion lastGood;

    /** The versions that have passed their checks, until they start or are rejected. */
    private final Map<Manifest, CompiledVersion> compiledByManifest = new LinkedHashMap<>();

    private WatchConnection watch;
    private boolean connected;
    private boolean disconnectReported;
    private Time lastMessageAt;
    private Time inForceSince;
    private boolean saveInProgress;

    /** Whether a save is due that has not begun; answers are not sent before it has ended. */
    private boolean savePending;

    /** The save to run after the one in progress; null if there is none. */
    private Runnable nextSave;

    private long savedNodeListRevision;
    private Time nodeListSavedAt;
    private String storageProblem;
    private Span longestApplyTime = Span.ZERO;
    private Time logWindowStart;
    private int logLinesInWindow;

    /**
     * @param name this router's name, as sent to the control service
     * @param seed must differ from router to router, so that a fleet does not act at the same
     *     moment
     * @param unixMillis the wall clock, by which versions expire
     */
    public ControlClient(
            Loop loop,
            Bootstrap bootstrap,
            ControlSettings settings,
            String name,
            ManagedRouter router,
            VersionCompiler compiler,
            ControlStateStore stateStore,
            RecoveredVersions recovered,
            long seed,
            LongSupplier unixMillis) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.settings = settings;
        this.name = name;
        this.router = router;
        this.compiler = compiler;
        this.stateStore = stateStore;
        this.unixMillis = unixMillis;
        rollout = recovered.rollout();
        startupFiles = recovered.startupFiles();
        inForce = recovered.inForce();
        lastGood = recovered.lastGood();
        codec = new ControlMessageCodec(settings.maxMessageBytes());
        watchBackoff =
                new ReconnectBackoff(settings.initialBackoff(), settings.maxBackoff(), seed ^ 1);
        answers = new AnswerSender(loop, bootstrap, settings, name, codec, seed ^ 2);
        messageTimeLimit = new GrowingTimeLimit(settings.messageTimeout());
        storageProblem = stateStore.problem();
    }

    /**
     * Applies the version that was in force before the restart, and connects. Called before the
     * first multiget.
     */
    public void start() {
        inForceSince = loop.enterPass();
        lastMessageAt = inForceSince;
        nodeListSavedAt = inForceSince;
        router.apply(inForce);
        logInfo(
                "started with "
                        + describe(rollout.inForce())
                        + (rollout.isOnTrial() ? ", on trial" : ""));
        if (storageProblem != null) {
            logInfo("versions are not saved on disk: " + storageProblem);
        }
        warmUpEncoders();
        connectWatch();
        loop.schedule(TICK_INTERVAL, this::tick);
    }

    /**
     * Encodes a state and an answer once, without using them: the first time takes about a hundred
     * times as long as later ones, and would otherwise delay multigets.
     */
    private void warmUpEncoders() {
        stateStore.encodeState(rollout.stateToSave(), router.lastKnownNodes(), codec);
        // The state was not saved, so it must still count as unsaved.
        rollout.saveFailed();
        VersionStatus sample = new VersionStatus(0, 0, "", true, Stage.GOOD, "", "", false);
        settings.keys()
                .sign(
                        settings.keys().newestName(),
                        codec.encodeAnswers(name, rollout.inForce(), List.of(sample)));
        statusJson();
    }

    private static String describe(Manifest manifest) {
        return manifest == null ? "the files of the command line" : "version " + manifest.id();
    }

    private static void logInfo(String text) {
        LOG.info(text);
    }

    /**
     * Logs what a control service can cause any number of times: at most MAX_LOG_LINES_PER_WINDOW
     * lines in each window, and the count of the rest.
     */
    private void logLimited(String text) {
        Time now = loop.enterPass();
        if (logWindowStart == null || now.since(logWindowStart).longerThan(LOG_WINDOW)) {
            if (logLinesInWindow > MAX_LOG_LINES_PER_WINDOW) {
                logInfo(
                        (logLinesInWindow - MAX_LOG_LINES_PER_WINDOW)
                                + " more log lines about control service messages were left out");
            }
            logWindowStart = now;
            logLinesInWindow = 0;
        }
        if (++logLinesInWindow <= MAX_LOG_LINES_PER_WINDOW) {
            logInfo(text);
        }
    }

    // Watching the control service

    private void connectWatch() {
        Manifest current = rollout.inForce();
        String request =
                "GET /control/watch?router="
                        + name
                        + "&site="
                        + settings.site()
                        + "&epoch="
                        + (current == null ? 0 : current.epoch())
                        + "&number="
                        + (current == null ? 0 : current.number())
                        + " HTTP/1.1\r\nHost: "
                        + settings.address().getHostString()
                        + ":"
                        + settings.address().getPort()
                        + "\r\nAccept: application/jsonl\r\n\r\n";
        WatchConnection connection =
                new WatchConnection(loop, request, settings.maxMessageBytes(), this);
        watch = connection;
        ChannelFuture connecting =
                bootstrap.clone().handler(connection).connect(settings.address());
        connection.setChannel(connecting.channel());
        ConnectionAttempt.onFailure(
                loop, connecting, cause -> connection.fail("it can't be reached"));
    }

    @Override
    public void connectionFailed(WatchConnection from, String why) {
        if (from != watch) {
            return;
        }
        if (connected || !disconnectReported) {
            disconnectReported = true;
            LOG.warning(
                    "no connection to the control service, "
                            + describe(rollout.inForce())
                            + " stays in force: "
                            + why);
        }
        connected = false;
        watch = null;
        loop.schedule(watchBackoff.nextDelay(), this::connectWatch);
    }

    @Override
    public void messageReceived(WatchConnection from, byte[] line) {
        runOnWorker(
                () -> codec.decode(line),
                message -> {
                    if (from != watch) {
                        return;
                    }
                    lastMessageAt = loop.enterPass();
                    if (!connected) {
                        logInfo("connected to the control service");
                    }
                    connected = true;
                    if (message.push() != null) {
                        handlePush(from, message.push());
                        return;
                    }
                    if (message.invalid() != null) {
                        handleInvalid(message.invalid());
                    } else {
                        watchBackoff.reset();
                        handleWithdrawal(message.withdrawal());
                    }
                    from.messageHandled();
                },
                error ->
                        new ControlMessageCodec.Message(
                                null,
                                null,
                                new ControlMessageCodec.InvalidMessage(
                                        Stage.READABLE, "internal error: " + error, -1, -1)));
    }

    private void handleInvalid(ControlMessageCodec.InvalidMessage message) {
        logLimited("control service message rejected: " + message.reason());
        if (message.number() >= 0) {
            addAnswer(
                    new VersionStatus(
                            message.epoch(),
                            message.number(),
                            "",
                            false,
                            message.stage(),
                            message.reason(),
                            "",
                            false));
        }
    }

    private void handleWithdrawal(ControlMessageCodec.Withdrawal withdrawal) {
        if (withdrawal == null) {
            return;
        }
        String fault =
                withdrawal.site().equals(settings.site())
                        ? settings.keys()
                                .signatureError(
                                        withdrawal.key(),
                                        Manifest.withdrawalText(
                                                withdrawal.site(),
                                                withdrawal.epoch(),
                                                withdrawal.number()),
                                        withdrawal.mac())
                        : "it is for site " + withdrawal.site();
        if (fault == null) {
            rollout.withdraw(withdrawal.epoch(), withdrawal.number());
        } else {
            logLimited(
                    "withdrawal of version "
                            + withdrawal.epoch()
                            + "."
                            + withdrawal.number()
                            + " rejected: "
                            + fault);
        }
    }

    private void handlePush(WatchConnection from, ControlMessageCodec.VersionPush push) {
        Manifest manifest = push.manifest();
        String fault = settings.keys().manifestError(manifest, settings.site());
        if (fault != null) {
            rollout.checkFailed(manifest, Stage.AUTHENTIC, fault, "");
            from.messageHandled();
            return;
        }
        watchBackoff.reset();
        if (!rollout.offer(manifest, unixMillis.getAsLong())) {
            from.messageHandled();
            return;
        }
        Map<String, String> knownTexts = new HashMap<>();
        for (CompiledVersion version : List.of(inForce, lastGood)) {
            knownTexts.putAll(version.textsByDigest());
        }
        compiledByManifest.values().forEach(version -> knownTexts.putAll(version.textsByDigest()));
        knownTexts.putAll(compiler.startupTexts());
        runOnWorker(
                () -> check(push, knownTexts),
                result -> {
                    if (result.version != null) {
                        compiledByManifest.put(manifest, result.version);
                        rollout.checksPassed(
                                manifest, result.version.preconditions(), loop.enterPass());
                    } else {
                        rollout.checkFailed(manifest, result.stage, result.reason, result.place);
                    }
                    from.messageHandled();
                },
                error -> new CheckResult(null, Stage.KINDS, "internal error: " + error, ""));
    }

    /** The compiled version, or null and what is wrong with it: stage, reason and place. */
    private record CheckResult(CompiledVersion version, Stage stage, String reason, String place) {}

    /** Runs on the worker thread. */
    private CheckResult check(
            ControlMessageCodec.VersionPush push, Map<String, String> knownTexts) {
        VersionCompiler.ResolvedTexts texts =
                VersionCompiler.resolveTexts(
                        push.manifest(), push.bodies(), knownTexts, settings.maxMessageBytes());
        if (texts.fault() != null) {
            return new CheckResult(null, Stage.TEXTS, texts.fault(), "");
        }
        VersionCompiler.Compilation compilation = compiler.compile(push.manifest(), texts.byKind());
        if (compilation.version() != null) {
            return new CheckResult(compilation.version(), null, "", "");
        }
        Fault first = compilation.faults().get(0);
        int more = compilation.faults().size() - 1;
        return new CheckResult(
                null,
                Stage.KINDS,
                first.what().lines().findFirst().orElse("")
                        + (more == 0 ? "" : ", and " + more + " more"),
                (first.file() + " [" + first.section() + "] " + first.key()).strip());
    }

    /**
     * Runs a task on the worker thread, after those submitted before, and passes its result, or
     * that of onError if it throws, to then on the loop's thread.
     */
    private <T> void runOnWorker(
            Supplier<T> task, Consumer<T> then, Function<Throwable, T> onError) {
        try {
            worker.execute(
                    () -> {
                        T computed;
                        try {
                            computed = task.get();
                        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
                            // Input from outside must not be able to end this thread.
                            LOG.log(Level.SEVERE, "a version could not be checked or saved", error);
                            computed = onError.apply(error);
                        }
                        T result = computed;
                        loop.runInLaterPass(() -> then.accept(result));
                    });
        } catch (RejectedExecutionException ended) {
            // The worker is shut down: the program ends.
        }
    }

    // Carrying out decisions

    private void tick() {
        // Scheduled first, so that an exception in this tick does not end all later ones.
        loop.schedule(TICK_INTERVAL, this::tick);
        Time now = loop.enterPass();
        if (watch != null) {
            watch.checkTimeouts(now, settings.silenceTimeout(), messageTimeLimit);
        }
        rollout.dropExpired(unixMillis.getAsLong());
        boolean more = true;
        while (more) {
            Manifest next = rollout.next();
            RolloutStateMachine.Action action =
                    rollout.nextAction(
                            now,
                            router.outcomeCounts(),
                            next == null
                                    ? null
                                    : router.unmetPrecondition(rollout.nextPreconditions()));
            if (action != RolloutStateMachine.Action.ROLL_BACK && !rollout.isOnTrial()) {
                // The version in force was found good, or was never on trial.
                lastGood = inForce;
            }
            more = carryOut(action, now);
        }
        rollout.takeStatuses().forEach(this::addAnswer);
        compiledByManifest
                .keySet()
                .removeIf(
                        manifest ->
                                !manifest.hasSameContent(rollout.next())
                                        && !manifest.hasSameContent(rollout.queued()));
        if (!saveInProgress
                && router.nodeListRevision() != savedNodeListRevision
                && now.since(nodeListSavedAt).longerThan(NODE_LIST_SAVE_INTERVAL)) {
            save(now, null);
        }
        if (!saveInProgress && !savePending) {
            answers.sendPending(rollout.inForce(), storageProblem == null);
        }
    }

    /** Returns true if there may be another decision to carry out at once. */
    private boolean carryOut(RolloutStateMachine.Action action, Time now) {
        switch (action) {
            case SAVE_NEXT -> save(now, () -> rollout.nextSaveFinished(loop.enterPass()));
            case SAVE -> {
                savePending = true;
                if (!saveInProgress) {
                    save(now, null);
                }
            }
            case ACTIVATE_NEXT -> {
                CompiledVersion next = compiledByManifest.get(rollout.next());
                String fault = applyVersion(next, now);
                if (fault == null) {
                    inForce = next;
                    rollout.activated(now);
                } else {
                    applyVersion(inForce, now);
                    rollout.activationFailed(fault);
                }
                return true;
            }
            case ROLL_BACK -> {
                inForce = lastGood;
                applyVersion(lastGood, now);
                return true;
            }
            default -> {
                return false;
            }
        }
        return false;
    }

    /** Returns null if the version is in force now, else why it is not. */
    private String applyVersion(CompiledVersion version, Time now) {
        Time startedAt = Loop.readClock();
        try {
            router.apply(version);
            inForceSince = now;
            longestApplyTime = Span.longest(longestApplyTime, Loop.readClock().since(startedAt));
            logInfo(
                    describe(version.manifest())
                            + " is in force after "
                            + Loop.readClock().since(startedAt).millis()
                            + " ms");
            return null;
        } catch (RuntimeException error) {
            LOG.log(Level.SEVERE, "a version could not be put in force", error);
            return "internal error: " + error;
        }
    }

    /**
     * Saves the state, or queues the save if one is in progress. Whether it succeeds or not, then
     * runs: the router goes on without a disk.
     */
    private void save(Time now, Runnable then) {
        if (saveInProgress) {
            nextSave = () -> save(loop.enterPass(), then);
            return;
        }
        saveInProgress = true;
        savePending = false;
        savedNodeListRevision = router.nodeListRevision();
        nodeListSavedAt = now;
        byte[] state =
                stateStore.encodeState(rollout.stateToSave(), router.lastKnownNodes(), codec);
        Map<String, String> texts = new LinkedHashMap<>();
        for (CompiledVersion version :
                new CompiledVersion[] {inForce, lastGood, compiledByManifest.get(rollout.next())}) {
            if (version != null) {
                texts.putAll(version.textsByDigest());
            }
        }
        runOnWorker(
                () -> {
                    String why = stateStore.save(state, texts);
                    return why == null ? "" : why;
                },
                why -> {
                    saveInProgress = false;
                    String previousProblem = storageProblem;
                    storageProblem = why.isEmpty() ? null : why;
                    if (storageProblem != null && !storageProblem.equals(previousProblem)) {
                        LOG.warning("versions are not saved on disk: " + storageProblem);
                    } else if (storageProblem == null && previousProblem != null) {
                        logInfo("the version in force is saved on disk again");
                    }
                    if (storageProblem != null && stateStore.store() != null) {
                        loop.schedule(SAVE_RETRY_DELAY, rollout::saveFailed);
                    }
                    if (then != null) {
                        then.run();
                    }
                    if (nextSave != null) {
                        Runnable next = nextSave;
                        nextSave = null;
                        next.run();
                    }
                },
                error -> "internal error: " + error);
    }

    // Answers to the control service

    private void addAnswer(VersionStatus answer) {
        logLimited("version " + answer.epoch() + "." + answer.number() + ": " + answer);
        answers.add(answer);
    }

    /**
     * The status as one JSON object for operators: the version in force and since when, the next
     * version and why it waits, the connection to the control service, and problems with the disk.
     */
    public String statusJson() {
        Time now = loop.enterPass();
        Manifest next = rollout.next();
        ObjectNode status = codec.json().createObjectNode();
        status.put("router", name)
                .put("site", settings.site())
                .put("version", rollout.inForce() == null ? "" : rollout.inForce().id())
                .put("on_trial", rollout.isOnTrial())
                .put("in_force_s", seconds(now.since(inForceSince)))
                .put("good", rollout.lastGood() == null ? "" : rollout.lastGood().id())
                .put("next", next == null ? "" : next.id())
                .put("waits_for", rollout.blockedBy() == null ? "" : rollout.blockedBy())
                .put("connected", connected)
                .put("heard_s", seconds(now.since(lastMessageAt)))
                .put("lasts", storageProblem == null)
                .put("trouble", storageProblem == null ? "" : storageProblem)
                .put("answers_owed", answers.pendingCount())
                .put("longest_apply_ms", longestApplyTime.millis());
        return status.toString();
    }

    private static double seconds(Span span) {
        return Math.round(span.millis()) / 1000.0;
    }

    /**
     * Called at the program's end. It need not save: the state that an answer promises is saved
     * before the answer is sent.
     */
    public void stop() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
        worker.shutdown();
    }
}
