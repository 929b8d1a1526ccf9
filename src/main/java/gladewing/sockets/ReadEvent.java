package gladewing.sockets;

/** The user events that a {@link ResilientSocketChannel} fires about reading its socket. */
public enum ReadEvent {
    /** A read has failed, and is repeated. */
    FAILED,
    /**
     * The other side has ended or reset the connection. Netty tells of it in a later task, after
     * the current pass has ended.
     */
    ENDED
}
