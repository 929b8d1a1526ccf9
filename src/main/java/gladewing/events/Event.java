package gladewing.events;

/** What a router records about its requests, its connections and its failed system calls. */
public enum Event {
    /** A multiget was passed to the module. */
    REQUEST_ACCEPTED,
    /** The final answer to a multiget was handed to the client's connection. */
    REQUEST_ANSWERED,
    /** A request was turned down before it reached the module. */
    REQUEST_REFUSED,
    /** A request was refused, as its id is in use or must not run again. */
    REQUEST_ID_REPEATED,
    /** A request that waited behind others was refused, for want of room or of time. */
    REQUEST_SENT_AHEAD,
    /** Requests that waited behind others are refused, as their client's time is nearly over. */
    REQUEST_OVERDUE,
    /** A multiget was refused, as the open ones together held too much memory. */
    REQUEST_OVER_MEMORY,
    /** The value of a part was dropped, as the open multigets together held too much memory. */
    VALUE_OVER_MEMORY,
    /** The client's connection ended while its multiget was open. */
    REQUEST_ABANDONED,

    CLIENT_CONNECTED,
    /** The client has closed or reset its connection; with what was open and not begun then. */
    CLIENT_ENDED,
    CLIENT_CLOSED,
    CLIENT_EVICTED,
    /** What a connection held was dropped, as all of them together held too much memory. */
    CLIENT_OVER_MEMORY,
    /** A connection was closed, as its client has read nothing of its responses for long. */
    CLIENT_NOT_READING,
    CLIENT_CLOSED_WHEN_DRAINING,
    CLIENT_CLOSED_ON_ERROR,

    NODE_CONNECTING,
    NODE_CONNECT_FAILED,
    NODE_CLOSED_BY_NODE,
    NODE_CLOSED_WHEN_IDLE,
    NODE_CLOSED_ON_ERROR,
    NODE_PROTOCOL_ERROR,
    /** An answer that was counted is awaited again, as the bytes behind it are no sound frame. */
    NODE_ANSWER_REOPENED,

    /** A transmission was handed to a connection; a part may have several. */
    TRANSMISSION_SENT,
    TRANSMISSION_ENDED,

    /** A pass was so long that clients' connections were read again before anything was sent. */
    PASS_LONG,

    /** A rule of {@code gladewing.lifecycle.LifecycleRules} was broken. */
    RULE_VIOLATED,

    DISCOVERY_FAILED,
    DISCOVERY_MOVED,
    CONFIGURATION_KEPT
}
