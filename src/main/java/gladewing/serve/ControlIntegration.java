package gladewing.serve;

import gladewing.attempts.RetryPolicies;
import gladewing.config.Config;
import gladewing.control.CompiledVersion;
import gladewing.control.ControlClient;
import gladewing.control.ControlSettings;
import gladewing.control.ControlStateStore;
import gladewing.control.ManagedRouter;
import gladewing.control.RecoveredVersions;
import gladewing.control.VersionCompiler;
import gladewing.json.InvalidInputException;
import gladewing.loop.Loop;
import gladewing.settings.Fault;
import gladewing.versions.ConfigKind;
import gladewing.versions.OutcomeCounts;
import gladewing.versions.Preconditions;
import gladewing.versions.RouterSnapshot;
import io.netty.bootstrap.Bootstrap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Connects a router with a control service (--control), which sends its routes, rows and settings
 * as versions. This is a class of its own so that no class of the control package is loaded without
 * a control service.
 */
final class ControlIntegration {
    /** Names of routers that can be sent to a control service. */
    private static final Pattern ROUTER_NAME = Pattern.compile("[A-Za-z0-9_.:-]{1,128}");

    private final Config config;
    private final ControlSettings settings;
    private final VersionCompiler compiler;
    private final ControlStateStore stateStore;
    private final RecoveredVersions recovered;
    private final NodeListCache nodeListCache;
    private RouterRuntime runtime;
    private ControlClient controlClient;

    /** Used on the loop's thread only. */
    private RetryPolicies retryPolicies;

    private ControlIntegration(
            Config config,
            ControlSettings settings,
            VersionCompiler compiler,
            ControlStateStore stateStore) {
        this.config = config;
        this.settings = settings;
        this.compiler = compiler;
        this.stateStore = stateStore;
        ControlStateStore.StoredState storedState = stateStore.load();
        recovered =
                RecoveredVersions.recover(
                        storedState, settings, compiler, config.seed(), Loop.readClock());
        nodeListCache =
                new NodeListCache(config.settings().shards().cells(), storedState.nodeList());
    }

    /**
     * Reads the control file, and checks the files of the command line, which are in force without
     * a version. Returns null if the control file switches control off.
     *
     * @throws InvalidInputException with all faults of the files
     */
    static ControlIntegration read(
            RouterProcess.Files files, Config config, SessionConfig sessions) {
        ControlSettings settings = ControlSettings.readForStartup(files.control());
        if (settings == null) {
            return null;
        }
        if (!ROUTER_NAME.matcher(config.name()).matches()) {
            throw new InvalidInputException(
                    "the name in the configuration can't be used with a control service: "
                            + config.name());
        }
        Map<ConfigKind, String> base = new EnumMap<>(ConfigKind.class);
        addFile(base, ConfigKind.ROUTES, files.routes());
        addFile(base, ConfigKind.ATTEMPTS, files.attempts());
        addFile(base, ConfigKind.LIVE, files.live());
        VersionCompiler compiler =
                new VersionCompiler(
                        config, base, sessions == null ? -1 : sessions.settings.descriptors());
        VersionCompiler.Compilation compilation = compiler.compile(null, Map.of());
        if (compilation.version() == null) {
            throw new InvalidInputException(
                    compilation.faults().stream()
                            .map(Fault::toString)
                            .collect(Collectors.joining("\n")));
        }
        return new ControlIntegration(
                config, settings, compiler, ControlStateStore.open(settings.folder()));
    }

    private static void addFile(Map<ConfigKind, String> base, ConfigKind kind, String path) {
        try {
            if (path != null) {
                base.put(kind, Files.readString(Path.of(path), StandardCharsets.UTF_8));
            }
        } catch (IOException | InvalidPathException fault) {
            throw new InvalidInputException(path + " can't be read: " + fault);
        }
    }

    /** Called on the loop's thread, before the router listens. */
    void start(RouterRuntime newRuntime, Bootstrap bootstrap) {
        runtime = newRuntime;
        runtime.setNodeListCache(nodeListCache);
        // Routers may be started with the same seed, but their reconnects must be spread out, so
        // the name and the time are mixed in.
        long seed =
                config.seed() ^ config.name().hashCode() * 0x9e3779b97f4a7c15L ^ System.nanoTime();
        controlClient =
                new ControlClient(
                        runtime.loop(),
                        bootstrap,
                        settings,
                        config.name(),
                        new RuntimeAdapter(),
                        compiler,
                        stateStore,
                        recovered,
                        seed,
                        System::currentTimeMillis);
        recovered
                .warnings()
                .forEach(
                        java.util.logging.Logger.getLogger(ControlIntegration.class.getName())
                                ::warning);
        controlClient.start();
        runtime.httpServer().setVersionPage(controlClient::statusJson);
    }

    /** Called on the loop's thread. */
    void end() {
        controlClient.stop();
    }

    /**
     * What the control service does with the router. It is a class of its own so that loading the
     * outer class does not load the interface.
     */
    private final class RuntimeAdapter implements ManagedRouter {
        @Override
        public void apply(CompiledVersion version) {
            runtime.setRoutes(version.routingTable());
            if (version.retryPolicies() != null
                    && retryPolicies != null
                    && version.retryPolicies() != retryPolicies) {
                version.retryPolicies().carryOverBudgets(retryPolicies, Loop.readClock());
            }
            retryPolicies = version.retryPolicies();
            runtime.setRetryPolicies(retryPolicies == null ? null : retryPolicies::policyFor);
            if (runtime.live() != null && version.liveSettings() != null) {
                runtime.live().updateSettings(version.liveSettings());
            }
            runtime.httpServer().setClosedProducts(version.routerSettings().closedProducts());
            runtime.setDiscoveryOverride(version.routerSettings().discoveryAddress());
        }

        @Override
        public OutcomeCounts outcomeCounts() {
            return new OutcomeCounts(
                    runtime.finished(),
                    runtime.dismissed(),
                    runtime.givenUp(),
                    runtime.loop().faultCount());
        }

        @Override
        public String unmetPrecondition(Preconditions preconditions) {
            int sessions = runtime.live() == null ? 0 : runtime.live().sessionCount();
            return new RouterSnapshot(
                            nodeListCache.upByCell(),
                            config.settings().shards().cellsPerShard(),
                            runtime.openByProduct(),
                            sessions)
                    .unmetPrecondition(preconditions);
        }

        @Override
        public String lastKnownNodes() {
            return nodeListCache.text();
        }

        @Override
        public long nodeListRevision() {
            return nodeListCache.changes();
        }
    }
}
