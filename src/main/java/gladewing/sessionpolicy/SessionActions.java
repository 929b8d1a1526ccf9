package gladewing.sessionpolicy;

/**
 * Carries out the decisions of {@link SessionPlanner} on connections. The planner calls these
 * methods, and their implementation reports the outcome to the planner.
 */
public interface SessionActions {
    /**
     * Starts a WebSocket handshake with the node of the connection. {@link
     * SessionPlanner#connectionOpened} or {@link SessionPlanner#connectionEnded} must be called for
     * it later.
     */
    void openConnection(UpstreamConnection connection);

    /**
     * Starts a close handshake, after which nothing may be sent on the connection; {@link
     * SessionPlanner#connectionEnded} must be called once it has ended. A connection whose opening
     * handshake has not been answered is closed directly, and nothing is reported for it.
     */
    void closeConnection(UpstreamConnection connection);

    /**
     * Closes a connection without sending anything, because the time for a close handshake has
     * passed. {@link SessionPlanner#connectionEnded} must be called for it later.
     */
    void abortConnection(UpstreamConnection connection);

    /**
     * Sends the messages of the connection's shards on it from now on. All connections that served
     * these shards before have ended.
     */
    void startSending(UpstreamConnection connection);

    /** Answers the upgrade request of the client; all shards of the session are connected. */
    void acceptSession(Session session);

    /**
     * Refuses the upgrade request of the client.
     *
     * @param reconnectDelay microseconds after which the client may try again
     */
    void refuseSession(Session session, long reconnectDelay);

    /**
     * Ends a session with a close handshake to its client.
     *
     * @param code close code of RFC 6455
     * @param reconnectDelay microseconds after which the client may connect again
     */
    void closeSession(Session session, int code, long reconnectDelay);
}
