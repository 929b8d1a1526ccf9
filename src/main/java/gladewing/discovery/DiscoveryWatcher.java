package gladewing.discovery;

import gladewing.events.Event;
import gladewing.events.RouterEvents;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.lifecycle.ListRevision;
import gladewing.lifecycle.OverlappingCalls;
import gladewing.loop.Loop;
import gladewing.loop.Timer;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sockets.ConnectionAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Follows the list of data nodes by long polling: requests the whole list first, then its changes,
 * where each request waits at the agent for a change and the next one follows at once. A request
 * without an answer may be lost, or the agent may be slow: it goes on waiting, and others are made
 * beside it on connections of their own ({@link OverlappingCalls}). After a failure it requests
 * again soon, and the last list stays in use. All methods are called on the loop's thread.
 */
public final class DiscoveryWatcher {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatcher.class.getName());
    private static final String PATH = "/registry/instances";

    /**
     * How long the agent may hold a request that waits for changes. It is short because a request
     * may be lost while its connection stays open: until the wait is over that looks like a list
     * without changes, and the changes that it should have brought count as delivered. The agent
     * runs on the same machine, so frequent requests cost nothing.
     */
    private static final Span LONG_POLL = Span.ofMillis(1000);

    /**
     * More than twice the 3,200 data nodes of the largest fleet, as a release lists old and new.
     */
    static final int MAX_NODES = 8192;

    /** Bound on the memory of one answer: an entry has some ten values. */
    private static final int MAX_LIST_VALUES = 16 * MAX_NODES;

    final Loop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final int cells;
    private final DiscoveryListener listener;
    private final RouterEvents events;

    /** The requests without an answer, each on a connection of its own. */
    private OverlappingCalls<DiscoveryConnection> calls = new OverlappingCalls<>();

    /** The revision of the list in use. */
    private ListRevision revision = new ListRevision();

    /** Runs when the next request is due; null before the start. */
    private Timer timer;

    /** Whether a failure was logged, and no answer in time since then. */
    private boolean isFailing;

    /** Whether the last answer was late. */
    private boolean isSlow;

    /** The names of the data nodes in the list in use. */
    private Set<String> listedNodes = Set.of();

    /**
     * @param cells how many cells data nodes may be in
     */
    public DiscoveryWatcher(
            Loop loop,
            Bootstrap bootstrap,
            InetSocketAddress address,
            int cells,
            DiscoveryListener listener,
            RouterEvents events) {
        this.events = events;
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.address = address;
        this.cells = cells;
        this.listener = listener;
    }

    /** Makes the first request. */
    public void start() {
        decide();
    }

    /**
     * Uses the agent at another address from now on, and requests the whole list first, as
     * revisions of one agent mean nothing to another. What still arrives from the earlier one is
     * ignored because its requests are no longer waited for.
     */
    public void moveTo(InetSocketAddress newAddress) {
        events.record(Event.DISCOVERY_MOVED, newAddress, "from " + address);
        address = newAddress;
        List<DiscoveryConnection> earlier = calls.waitingCalls();
        calls = new OverlappingCalls<>();
        revision = new ListRevision();
        earlier.forEach(DiscoveryConnection::close);
        if (timer != null) {
            decide();
        }
    }

    /** Gives up requests and makes another one if that is due, and schedules the next decision. */
    private void decide() {
        Time now = loop.enterPass();
        // Scheduled first, so that a fault in opening a connection does not end the watch.
        scheduleDecision(OverlappingCalls.RETRY_DELAY);
        for (DiscoveryConnection givenUp = calls.nextToGiveUp(now);
                givenUp != null;
                givenUp = calls.nextToGiveUp(now)) {
            events.record(Event.DISCOVERY_FAILED, address, "given up for a later request");
            givenUp.close();
        }
        calls.waitingCalls().forEach(DiscoveryConnection::pollIfUnwatched);
        if (calls.mayCall(now)) {
            request(open());
        }
        scheduleDecision(calls.untilNextDecision(now));
        reportLateRequests(now);
    }

    private void scheduleDecision(Span delay) {
        if (timer != null) {
            timer.cancel();
        }
        timer = loop.schedule(delay, this::decide);
    }

    private void reportLateRequests(Time now) {
        if (calls.nextLateCall(now) != null) {
            reportFailure("no response in time");
            // Where several are late at once, each is reported in a pass of its own.
            scheduleDecision(calls.untilNextDecision(now));
        }
    }

    private DiscoveryConnection open() {
        DiscoveryConnection opened =
                new DiscoveryConnection(this, address.getHostString() + ":" + address.getPort());
        ChannelFuture opening = bootstrap.clone().handler(opened).connect(address);
        opened.setChannel(opening.channel());
        ConnectionAttempt.onFailure(
                loop, opening, cause -> failed(opened, "cannot connect: " + cause));
        return opened;
    }

    private void request(DiscoveryConnection connection) {
        ListRevision.Question question = revision.nextQuestion();
        if (question.isForWholeList()) {
            calls.begin(connection, loop.enterPass(), Span.ZERO);
            connection.request(PATH, question);
        } else {
            calls.begin(connection, loop.enterPass(), LONG_POLL);
            String query =
                    "?after=" + question.after() + "&wait_ms=" + Math.round(LONG_POLL.millis());
            connection.request(PATH + query, question);
        }
    }

    /**
     * Handles a part of a response.
     *
     * @param heldBytes the memory that the unfinished response takes
     */
    void progressed(DiscoveryConnection from, long heldBytes) {
        calls.progressed(from, loop.enterPass(), heldBytes);
    }

    /**
     * Handles the body of a response.
     *
     * @param isKeptAlive whether the next request may use the same connection
     */
    void answered(DiscoveryConnection from, byte[] body, boolean isKeptAlive) {
        if (!calls.isWaiting(from)) {
            return;
        }
        NodeListUpdate update;
        try {
            update = NodeListUpdate.parse(Json.fields("list", body, MAX_LIST_VALUES), cells);
        } catch (InvalidInputException bad) {
            failed(from, bad.getMessage());
            return;
        }
        Set<String> listed =
                update.isSnapshot() || !update.entries().isEmpty()
                        ? update.listedAfter(listedNodes)
                        : listedNodes;
        if (listed.size() > MAX_NODES) {
            failed(from, "a list of more than " + MAX_NODES + " data nodes");
            return;
        }
        Time now = loop.enterPass();
        ListRevision.Question question = from.question();
        boolean hasNews = update.isSnapshot() || update.revision() != question.after();
        // What this program stood still is not the agent's time.
        Time arrivedAt = now.minus(loop.stallBeforePass());
        calls.answered(from, arrivedAt, hasNews).forEach(DiscoveryConnection::close);
        logAnswer();
        ListRevision.Use use = revision.judge(question, update.revision(), update.isSnapshot());
        if (isKeptAlive && calls.mayCall(now)) {
            request(from);
        } else {
            from.close();
        }
        decide();
        if (use == ListRevision.Use.APPLY) {
            listedNodes = listed;
            listener.nodeListUpdated(update);
        }
    }

    private void logAnswer() {
        if (calls.lastAnswerWasLate() && !isSlow) {
            LOG.warning("discovery answers slowly; its answers are waited for");
        } else if (!calls.lastAnswerWasLate() && (isSlow || isFailing)) {
            LOG.info("discovery answers again");
            isFailing = false;
        }
        isSlow = calls.lastAnswerWasLate();
    }

    /** Gives up the connection, unless it is no longer waited for, and requests again soon. */
    void failed(DiscoveryConnection from, String reason) {
        Time now = loop.enterPass();
        from.close();
        if (!calls.isWaiting(from)) {
            return;
        }
        calls.failed(from, now);
        // Scheduled first, so that a fault of the listener does not end the watch.
        scheduleDecision(calls.untilNextDecision(now));
        reportFailure(reason);
    }

    private void reportFailure(String reason) {
        events.record(Event.DISCOVERY_FAILED, address, reason);
        if (!isFailing) {
            LOG.warning("discovery failed, the last list is kept: " + reason);
            isFailing = true;
        }
        listener.discoveryFailed();
    }
}
