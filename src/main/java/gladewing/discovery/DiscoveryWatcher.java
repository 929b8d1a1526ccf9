package gladewing.discovery;

import gladewing.events.Event;
import gladewing.events.RouterEvents;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.loop.Loop;
import gladewing.loop.Timer;
import gladewing.router.Span;
import gladewing.sockets.ConnectionAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Follows the list of data nodes by long polling: requests the whole list first, then its changes,
 * where each request waits at the agent for a change and the next one follows at once. After a
 * failure it requests again soon, and the last list stays in use. All methods are called on the
 * loop's thread.
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
    private static final int LONG_POLL_MILLIS = 1000;

    /** How long an answer may take in addition to the time that the agent may hold the request. */
    private static final Span RESPONSE_TIMEOUT = Span.ofMillis(500);

    private static final Span RETRY_DELAY = Span.ofMillis(100);

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

    /** The connection in use; null while there is none. */
    private DiscoveryConnection connection;

    /** The time-out of the open request, or the delay before the next; null before the start. */
    private Timer timer;

    /** The revision of the list in use; negative if the whole list must be requested. */
    private long revision = -1;

    private boolean isFailing;

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
        requestList();
    }

    /**
     * Uses the agent at another address from now on, and requests the whole list first, as
     * revisions of one agent mean nothing to another. What still arrives from the earlier one is
     * ignored because its connection is no longer the one in use.
     */
    public void moveTo(InetSocketAddress newAddress) {
        events.record(Event.DISCOVERY_MOVED, newAddress, "from " + address);
        address = newAddress;
        revision = -1;
        if (timer == null) {
            // Not started yet: the first request goes to the new address.
            return;
        }
        timer.cancel();
        if (connection != null) {
            DiscoveryConnection earlier = connection;
            connection = null;
            earlier.close();
        }
        requestList();
    }

    private void requestList() {
        if (connection == null) {
            DiscoveryConnection opened =
                    new DiscoveryConnection(
                            this, address.getHostString() + ":" + address.getPort());
            connection = opened;
            ChannelFuture opening = bootstrap.clone().handler(opened).connect(address);
            opened.setChannel(opening.channel());
            ConnectionAttempt.onFailure(
                    loop, opening, cause -> failed(opened, "cannot connect: " + cause));
        }
        DiscoveryConnection used = connection;
        boolean isWhole = revision < 0;
        used.request(isWhole ? PATH : PATH + "?after=" + revision + "&wait_ms=" + LONG_POLL_MILLIS);
        Span timeout =
                isWhole ? RESPONSE_TIMEOUT : RESPONSE_TIMEOUT.plus(Span.ofMillis(LONG_POLL_MILLIS));
        timer = loop.schedule(timeout, () -> failed(used, "no response in time"));
    }

    /**
     * Handles the body of a response.
     *
     * @param isKeptAlive whether the next request may use the same connection
     */
    void answered(DiscoveryConnection from, byte[] body, boolean isKeptAlive) {
        if (from != connection) {
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
        timer.cancel();
        if (isFailing) {
            LOG.info("discovery answers again");
            isFailing = false;
        }
        if (!isKeptAlive) {
            connection = null;
            from.close();
        }
        if (!update.isSnapshot() && update.revision() < revision) {
            // Changes to a list older than the one in use cannot be applied to it, so the whole
            // list
            // is requested.
            revision = -1;
        } else {
            revision = update.revision();
            listedNodes = listed;
            listener.nodeListUpdated(update);
        }
        requestList();
    }

    /** Gives up the connection, unless it is no longer in use, and requests again soon. */
    void failed(DiscoveryConnection from, String reason) {
        if (from != connection) {
            return;
        }
        loop.enterPass();
        events.record(Event.DISCOVERY_FAILED, address, reason);
        timer.cancel();
        connection = null;
        from.close();
        if (!isFailing) {
            LOG.warning("discovery failed, the last list is kept: " + reason);
            isFailing = true;
        }
        // Scheduled first, so that a fault of the listener does not end the watch.
        timer = loop.schedule(RETRY_DELAY, this::requestList);
        listener.discoveryFailed();
    }
}
