package gladewing.serve;

import gladewing.clients.HttpServer;
import gladewing.events.RouterEvents;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The shutdown after SIGTERM. The router reports that it is not ready, but accepts connections for
 * as long as the load balancer may still open them, and serves existing ones until shortly before
 * the process may be killed: clients go on using them, and the other routers may be down too. Every
 * multiget that is accepted in that time is answered before the process exits.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    /**
     * How long new connections are accepted. The load balancer takes up to 0.4 s to stop sending;
     * the rest is for connections that are on their way.
     */
    private static final Span ACCEPT_PERIOD = Span.ofMillis(550);

    /**
     * The protocol allows a process to be killed when the longest time limit of a product, or this
     * if it is shorter, and {@link #KILL_DELAY} have passed since the signal.
     */
    private static final Span MAX_COUNTED_TIME_LIMIT = Span.ofMillis(3000);

    private static final Span KILL_DELAY = Span.ofMillis(700);

    /**
     * How long before the possible kill the last answer is sent. It covers the delivery of the
     * signal, a late pass of the event loop and the exit of the process: a last answer due 200 ms
     * before the kill was lost.
     */
    private static final Span EXIT_MARGIN = Span.ofMillis(600);

    /** How long before the final deadline connections begin to be drained. */
    private static final Span DRAIN_PERIOD = Span.ofMillis(400);

    private static final Span DRAIN_CHECK_INTERVAL = Span.ofMillis(10);

    private final Loop loop;
    private final HttpServer httpServer;
    private final Span longestTimeLimit;
    private final RouterEvents events;
    private final CountDownLatch done = new CountDownLatch(1);
    private Consumer<Span> sessionShutdown = within -> {};
    private boolean hasBegun;

    /** When the process exits even if connections are still open. */
    private Time drainDeadline;

    /**
     * @param longestTimeLimit the longest time limit of any product
     */
    GracefulShutdown(Loop loop, HttpServer httpServer, Span longestTimeLimit, RouterEvents events) {
        this.events = events;
        this.loop = loop;
        this.httpServer = httpServer;
        this.longestTimeLimit = longestTimeLimit;
    }

    /**
     * Sets what closes the long-lived sessions; it is called when the shutdown begins, with the
     * time that they have for it.
     */
    void setSessionShutdown(Consumer<Span> shutdown) {
        sessionShutdown = shutdown;
    }

    /** Called on the loop's thread. */
    void begin() {
        LOG.info("ending: still serves new requests, and answers all that were accepted");
        hasBegun = true;
        drainDeadline = loop.enterPass().plus(ACCEPT_PERIOD).plus(longestTimeLimit);
        httpServer.setReady(false);
        Span untilKill = Span.shortest(longestTimeLimit, MAX_COUNTED_TIME_LIMIT).plus(KILL_DELAY);
        Span servePeriod =
                Span.longest(ACCEPT_PERIOD.plus(DRAIN_PERIOD), untilKill.minus(EXIT_MARGIN));
        sessionShutdown.accept(servePeriod.minus(DRAIN_PERIOD));
        httpServer.setFinalDeadline(loop.enterPass().plus(servePeriod));
        loop.schedule(ACCEPT_PERIOD, httpServer::stopAccepting);
        loop.schedule(
                servePeriod.minus(DRAIN_PERIOD),
                () -> {
                    httpServer.drainConnections();
                    checkDrained();
                });
    }

    boolean hasBegun() {
        return hasBegun;
    }

    private void checkDrained() {
        boolean isLate = drainDeadline.before(loop.enterPass());
        if (httpServer.hasNoConnections() || isLate) {
            LOG.info("events: " + events.summary());
            LOG.info(
                    isLate
                            ? "ended with connections that were not closed in time"
                            : "ended: all is answered");
            done.countDown();
        } else {
            loop.schedule(DRAIN_CHECK_INTERVAL, this::checkDrained);
        }
    }

    /** Blocks until all connections are closed, or the time for that is over. */
    void await() throws InterruptedException {
        done.await();
    }
}
