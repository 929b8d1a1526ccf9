package gladewing.sessionsockets;

import gladewing.clients.UpgradeHandler;
import gladewing.clients.UpgradedConnection;
import gladewing.config.Config;
import gladewing.decisions.Decisions;
import gladewing.http.MessageReader;
import gladewing.lifecycle.MemoryLimit;
import gladewing.loop.Loop;
import gladewing.nodes.Connector;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.sessionpolicy.MessageTracker;
import gladewing.sessionpolicy.NodeSelector;
import gladewing.sessionpolicy.Session;
import gladewing.sessionpolicy.SessionActions;
import gladewing.sessionpolicy.SessionPlanner;
import gladewing.sessionpolicy.SessionSettings;
import gladewing.sessionpolicy.UpstreamConnection;
import gladewing.websocket.Handshake;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Serves long-lived sessions on sockets: carries out what {@link SessionPlanner} decides, and
 * reports events to it. It decides nothing itself.
 */
public final class SessionServer implements UpgradeHandler, SessionActions, NodeSelector {
    private static final Span TICK_INTERVAL = Span.ofMillis(10);

    /**
     * Ticks between two checks of all timeouts. With thousands of connections the check costs more
     * than the planner.
     */
    private static final int TICKS_PER_CHECK = 10;

    final Loop loop;
    SessionSettings settings;
    final SessionPlanner planner;
    final MessageTracker.BufferBudget bufferBudget;

    /** What clients and nodes have sent of messages that are not complete. */
    final MemoryLimit partialMessages;

    final SecureRandom random = new SecureRandom();
    private int ticks;
    private final Decisions decisions;
    private final Connector connector;
    private final List<String> products;
    private final List<Settings.Product> productSettings;
    private final List<String> tenants;
    private final int shardCount;
    private final Map<String, InetSocketAddress> endpoints = new HashMap<>();
    private final Map<Session, ClientSocket> clients = new LinkedHashMap<>();

    /** Clients whose sessions have ended and whose close handshake is not complete. */
    private final Set<ClientSocket> closingClients = new LinkedHashSet<>();

    private final Map<UpstreamConnection, NodeSocket> nodeSockets = new LinkedHashMap<>();

    /** Creates a server and starts its periodic tick on the loop. */
    public SessionServer(
            Loop loop,
            Connector connector,
            Decisions decisions,
            SessionSettings settings,
            Config config) {
        this.loop = loop;
        this.connector = connector;
        this.decisions = decisions;
        this.settings = settings;
        products = config.products();
        productSettings = config.settings().products();
        tenants = config.tenants();
        shardCount = config.shards();
        planner = new SessionPlanner(settings, this, this, config.seed());
        bufferBudget = new MessageTracker.BufferBudget(settings.maxTotalBufferedBytes());
        partialMessages = new MemoryLimit(settings.maxTotalBufferedBytes());
        loop.schedule(TICK_INTERVAL, this::tick);
    }

    /**
     * Replaces the settings, except for the limit of all buffered bytes, which is fixed at the
     * start.
     */
    public void updateSettings(SessionSettings newSettings) {
        settings = newSettings;
        planner.updateSettings(newSettings);
    }

    /** Lets connections give way while their incomplete messages hold too much memory together. */
    void limitMemory() {
        if (!partialMessages.isExceeded()) {
            return;
        }
        List<PartialMessage> holders = new ArrayList<>();
        clients.values().forEach(client -> holders.add(client.partialMessage));
        closingClients.forEach(client -> holders.add(client.partialMessage));
        nodeSockets.values().forEach(node -> holders.add(node.partialMessage));
        partialMessages.enforce(holders);
    }

    private void tick() {
        long now = now();
        planner.tick(now);
        if (++ticks % TICKS_PER_CHECK == 0) {
            checkTimeouts(now);
        }
        loop.schedule(TICK_INTERVAL, this::tick);
    }

    private void checkTimeouts(long now) {
        new ArrayList<>(clients.values()).forEach(client -> client.checkTimeouts(now));
        new ArrayList<>(closingClients).forEach(client -> client.checkTimeouts(now));
        new ArrayList<>(nodeSockets.values()).forEach(connection -> connection.checkTimeouts(now));
    }

    long now() {
        return loop.enterPass().micros();
    }

    /**
     * Handles an entry of the node list.
     *
     * @param startedAt when the node started; null if that is long ago
     */
    public void nodeListed(
            String node, InetSocketAddress endpoint, Time startedAt, boolean isDraining) {
        endpoints.put(node, endpoint);
        planner.nodeListed(node, startedAt == null ? -1 : startedAt.micros(), isDraining, now());
    }

    /** Handles the removal of a node from the list. */
    public void nodeRemoved(String node) {
        planner.nodeRemoved(node, now());
        endpoints.remove(node);
    }

    /** Handles a complete list: removes all known nodes that it does not name. */
    public void removeNodesExcept(Set<String> nodes) {
        for (String node : new ArrayList<>(endpoints.keySet())) {
            if (!nodes.contains(node)) {
                nodeRemoved(node);
            }
        }
    }

    /** Closes all sessions, spread over the time limit. */
    public void startShutdown(Span timeLimit) {
        planner.startShutdown(now(), now() + timeLimit.micros());
    }

    /** Returns the number of sessions that are waiting or open. */
    public int sessionCount() {
        return planner.sessionCount();
    }

    @Override
    public UpgradedConnection upgrade(Channel channel, MessageReader request) {
        if (!Handshake.isUpgradeRequest(request)) {
            return null;
        }
        ClientSocket client = new ClientSocket(this, channel, request);
        int status = Handshake.validate(request);
        SessionTarget target =
                status == Handshake.SWITCHING_PROTOCOLS ? parseTarget(request) : null;
        if (target == null) {
            client.rejectRequest(status == Handshake.SWITCHING_PROTOCOLS ? 400 : status);
            return client;
        }
        int tenant = tenantIndex(request.header("x-tenant-id"));
        client.start(target.shards);
        Session session =
                planner.requestSession(
                        target.product,
                        tenant,
                        productSettings.get(target.product).revenue(),
                        target.shards,
                        now());
        if (session.isEnded()) {
            client.refuse(refusalDelay);
        } else {
            client.session = session;
            clients.put(session, client);
        }
        return client;
    }

    private record SessionTarget(int product, int[] shards) {}

    /** Returns the index of a tenant; the number of tenants for null or an unknown name. */
    private int tenantIndex(String name) {
        int index = name == null ? -1 : tenants.indexOf(name);
        return index < 0 ? tenants.size() : index;
    }

    /** Parses a request of the form GET /PRODUCT/live?shards=0,3; returns null for any other. */
    private SessionTarget parseTarget(MessageReader request) {
        String path = request.startLine().split(" ")[1];
        String[] parts = path.split("/live\\?shards=", 2);
        int product =
                parts.length < 2 || !parts[0].startsWith("/")
                        ? -1
                        : products.indexOf(parts[0].substring(1));
        if (product < 0 || !parts[1].matches("[0-9]{1,6}(,[0-9]{1,6}){0,255}")) {
            return null;
        }
        int[] requestedShards =
                Arrays.stream(parts[1].split(",")).mapToInt(Integer::parseInt).distinct().toArray();
        for (int shard : requestedShards) {
            if (shard >= shardCount) {
                return null;
            }
        }
        return new SessionTarget(product, requestedShards);
    }

    /** Reports the end of a session by its client; the client may still owe a close frame. */
    void clientLeft(ClientSocket client) {
        if (client.session != null && clients.remove(client.session) != null) {
            closingClients.add(client);
            planner.clientLeft(client.session, now());
        }
    }

    /** Reconnect delay of a session that was refused during its request, in microseconds. */
    private long refusalDelay;

    @Override
    public void openConnection(UpstreamConnection connection) {
        InetSocketAddress endpoint = endpoints.get(connection.node);
        NodeSocket socket = new NodeSocket(this, connection, clients.get(connection.session));
        nodeSockets.put(connection, socket);
        socket.open(connector, endpoint);
    }

    @Override
    public void closeConnection(UpstreamConnection connection) {
        NodeSocket socket = nodeSockets.get(connection);
        if (socket != null) {
            socket.closeGracefully();
        }
    }

    @Override
    public void abortConnection(UpstreamConnection connection) {
        NodeSocket socket = nodeSockets.get(connection);
        if (socket != null) {
            socket.abort();
        }
    }

    @Override
    public void startSending(UpstreamConnection connection) {
        NodeSocket socket = nodeSockets.get(connection);
        if (socket != null) {
            socket.startSending();
        }
    }

    @Override
    public void acceptSession(Session session) {
        clients.get(session).accept();
    }

    @Override
    public void refuseSession(Session session, long reconnectDelay) {
        ClientSocket client = clients.remove(session);
        refusalDelay = reconnectDelay;
        if (client != null) {
            client.refuse(reconnectDelay);
        }
    }

    @Override
    public void closeSession(Session session, int code, long reconnectDelay) {
        ClientSocket client = clients.remove(session);
        if (client != null) {
            closingClients.add(client);
            client.close(code, reconnectDelay);
        }
    }

    NodeSocket nodeSocket(UpstreamConnection connection) {
        return nodeSockets.get(connection);
    }

    /** Starts or stops reading from all nodes of a session. */
    void setReading(Session session, boolean isReading) {
        nodeSockets.forEach(
                (connection, socket) -> {
                    if (connection.session == session) {
                        socket.setReading(isReading);
                    }
                });
    }

    /** Drops a connection whose end is not reported to the planner. */
    void remove(NodeSocket socket) {
        nodeSockets.remove(socket.connection);
    }

    /** Drops a client whose connection is closed. */
    void remove(ClientSocket client) {
        closingClients.remove(client);
    }

    void connectionEnded(NodeSocket socket, boolean isBroken) {
        if (nodeSockets.remove(socket.connection) != null) {
            planner.connectionEnded(socket.connection, isBroken, now());
        }
    }

    @Override
    public String[] selectNodes(int product, Set<String> excludedNodes, int[] requestedShards) {
        return decisions.placeSession(product, excludedNodes, requestedShards);
    }

    @Override
    public void adjustLoad(String node, double change) {
        decisions.adjustSessionLoad(node, change);
    }

    @Override
    public void connectionFailed(String node) {
        decisions.sessionFailed(node);
    }
}
