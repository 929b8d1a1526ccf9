package gladewing.clients;

import gladewing.buffer.ConnectionBuffer;

/**
 * A client's connection after an HTTP upgrade, when another protocol has taken it over. All calls
 * come on the event loop's thread.
 */
public interface UpgradedConnection {
    /** More bytes have arrived; those that are not consumed stay in the buffer. */
    void read(ConnectionBuffer received);

    /** Whether the channel accepts writes has changed. */
    void writabilityChanged(boolean isWritable);

    void connectionClosed();
}
