package gladewing.sockets;

/** The user events that a {@link ResilientSocketChannel} fires about reading its socket. */
public enum ReadEvent {
    /** A read has failed, and is repeated. */
    FAILED,
    /**
     * The other side has closed the connection, or its sending half alone, which can't be told
     * apart. Netty tells of it in a later task, after the current pass has ended.
     */
    CLOSED,
    /** The other side has reset the connection, or it has failed for good. */
    RESET;

    /** Whether the other side sends nothing more. */
    public boolean isEnd() {
        return this != FAILED;
    }
}
