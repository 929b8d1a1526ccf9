package gladewing.serve;

import gladewing.attempts.AttemptsFile;
import gladewing.config.Config;
import gladewing.json.InvalidInputException;
import gladewing.loop.Loop;
import gladewing.loop.WorkerThread;
import gladewing.routes.RouteTable;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;
import sun.misc.Signal;

/**
 * The `serve` command: runs a router as a process, with its configuration, event loop, signals, log
 * and shutdown.
 */
public final class RouterProcess {
    private RouterProcess() {}

    /** Paths of the settings files on the command line; null for each that is not given. */
    public record Files(String routes, String attempts, String live, String control) {}

    /**
     * Serves until the process is told to terminate; returns only if that fails.
     *
     * @param configPath path of the configuration; null is an error
     * @param errors gets the reason if the router can't start
     * @return the exit status of the process
     */
    public static int run(String configPath, Files files, PrintStream errors) {
        LoggingSetup.install();
        try {
            if (configPath == null) {
                throw new InvalidInputException("RELAY_CONFIG is not set");
            }
            Config config = Config.read(configPath);
            SessionConfig sessions =
                    files.live == null ? null : SessionConfig.read(files.live, config);
            ControlIntegration controlIntegration =
                    files.control == null ? null : ControlIntegration.read(files, config, sessions);
            // With a control service, these files only hold until it has sent a version.
            RouteTable table =
                    files.routes == null || controlIntegration != null
                            ? null
                            : RoutesReloader.read(files.routes, config);
            AttemptsFile attempts =
                    files.attempts == null || controlIntegration != null
                            ? null
                            : AttemptsReloader.read(
                                    files.attempts,
                                    config,
                                    table == null
                                            ? null
                                            : RoutesReloader.routeProducts(table, config));
            MultiThreadIoEventLoopGroup group =
                    new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            EventLoop thread = group.next();
            ClassPreloader.run();
            // Not before: this starts the loop's thread, which loads classes that may fail to load.
            EventLoopGuard guard = new EventLoopGuard(errors, Runtime.getRuntime()::halt);
            thread.submit(guard::guardThisThread).get();
            WarmUp.run(config);
            Bootstrap bootstrap = RouterRuntime.bootstrap(thread);
            RouterRuntime runtime =
                    thread.submit(
                                    () ->
                                            new RouterRuntime(
                                                    thread,
                                                    config,
                                                    (handler, to) ->
                                                            bootstrap
                                                                    .clone()
                                                                    .handler(handler)
                                                                    .connect(to),
                                                    sessions))
                            .get();
            RoutesReloader routesReloader =
                    table == null
                            ? null
                            : new RoutesReloader(files.routes, config, runtime, thread, table);
            AttemptsReloader attemptsReloader =
                    attempts == null
                            ? null
                            : thread.submit(
                                            () ->
                                                    AttemptsReloader.start(
                                                            files.attempts,
                                                            config,
                                                            runtime,
                                                            attempts))
                                    .get();
            if (controlIntegration != null) {
                thread.submit(() -> controlIntegration.start(runtime, bootstrap)).get();
            }
            Executor configReader = WorkerThread.start("configuration");
            runtime.onDiscoveryFailure(
                    new SingleRunTask(
                            configReader, () -> rereadConfig(configPath, thread, runtime)));
            // Before the router is ready: without a handler, either signal ends the process at
            // once.
            Signal.handle(
                    new Signal("HUP"),
                    hangup -> {
                        reloadConfig(configPath, thread, runtime);
                        reloadRoutesAndAttempts(config, thread, routesReloader, attemptsReloader);
                    });
            Thread ending =
                    new Thread(
                            () ->
                                    shutDown(
                                            thread,
                                            runtime.shutdown(),
                                            routesReloader,
                                            attemptsReloader,
                                            controlIntegration),
                            "ending");
            Runtime.getRuntime().addShutdownHook(ending);
            ChannelFuture listening = thread.submit(runtime::start).get();
            if (!listening.await().isSuccess()) {
                Runtime.getRuntime().removeShutdownHook(ending);
                throw new InvalidInputException(
                        "can't listen on "
                                + config.listen()
                                + ": "
                                + listening.cause().getMessage());
            }
            // The loop runs as long as the process, so its end is a fault.
            group.terminationFuture().await();
            errors.println("serve: the event loop has ended");
        } catch (InvalidInputException invalid) {
            errors.println("serve: " + invalid.getMessage());
        } catch (ExecutionException fault) {
            errors.println("serve: " + fault.getCause().getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return 1;
    }

    /**
     * Reads the configuration again on SIGHUP, which would terminate the JVM without a handler.
     * Each signal is handled on a thread of its own, so that the file is read off the event loop.
     * The method is synchronized so that the file that was read last is put in force last.
     */
    private static synchronized void reloadConfig(
            String configPath, EventLoop thread, RouterRuntime runtime) {
        try {
            Config newConfig = Config.read(configPath);
            thread.execute(() -> runtime.reconfigure(newConfig));
        } catch (RuntimeException invalid) {
            // There is no static logger, because it would be created before the log manager is set.
            Logger.getLogger(RouterProcess.class.getName())
                    .warning(
                            "the configuration in use stays, the new one can't be used: "
                                    + invalid.getMessage());
        }
    }

    /**
     * Reads the configuration again while discovery fails. A signal may never come, because a
     * process that is started with SIGHUP ignored keeps ignoring it. An invalid file is not logged
     * here; it may be just being replaced.
     */
    private static synchronized void rereadConfig(
            String configPath, EventLoop thread, RouterRuntime runtime) {
        try {
            Config newConfig = Config.read(configPath);
            thread.execute(() -> runtime.configReread(newConfig));
        } catch (RuntimeException invalid) {
            // The configuration in use stays; it is read again while discovery fails.
        }
    }

    /**
     * Reads the routes and the rows for sending parts again. Both are put in force together or not
     * at all: otherwise a row could be left without its route, or the multigets of a route could be
     * sent again by the row of another.
     */
    private static synchronized void reloadRoutesAndAttempts(
            Config config,
            EventLoop thread,
            RoutesReloader routesReloader,
            AttemptsReloader attemptsReloader) {
        RouteTable table = routesReloader == null ? null : routesReloader.reread();
        if (routesReloader != null && table == null) {
            return;
        }
        AttemptsFile attempts =
                attemptsReloader == null
                        ? null
                        : attemptsReloader.reread(
                                table == null ? null : RoutesReloader.routeProducts(table, config));
        if (attemptsReloader != null && attempts == null) {
            return;
        }
        thread.execute(
                () -> {
                    if (table != null) {
                        routesReloader.replace(table);
                    }
                    if (attempts != null) {
                        attemptsReloader.replace(attempts, Loop.readClock());
                    }
                });
    }

    /** Shuts the router down, and then logs the counts of routes and rows. */
    private static void shutDown(
            EventLoop thread,
            GracefulShutdown shutdown,
            RoutesReloader routesReloader,
            AttemptsReloader attemptsReloader,
            ControlIntegration controlIntegration) {
        try {
            thread.execute(shutdown::begin);
            shutdown.await();
            if (controlIntegration != null) {
                thread.submit(controlIntegration::end).get();
            }
            if (routesReloader != null) {
                thread.submit(routesReloader::logCounts).get();
            }
            if (attemptsReloader != null) {
                thread.submit(() -> attemptsReloader.logUse(Loop.readClock())).get();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | RejectedExecutionException fault) {
            // Only the counts are not logged; the process exits all the same.
        }
        LoggingSetup.flush();
    }
}
