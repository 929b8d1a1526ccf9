package gladewing.clients;

import gladewing.decisions.AcceptedMultiget;
import gladewing.router.Time;

/** Receives the multigets of clients. All calls come on the event loop's thread. */
public interface MultigetListener {
    /** Whether there is memory for a multiget whose payload has this size, in bytes. */
    boolean mayAccept(int payloadBytes);

    /** A valid multiget has arrived, and no route has turned it away. */
    void multigetReceived(AcceptedMultiget multiget);

    /** Sets the time after which nothing can be answered any more, as the process shuts down. */
    void setFinalDeadline(Time deadline);

    /** The multiget must have its final answer by this time, if its client would wait longer. */
    void limitDeadline(AcceptedMultiget multiget, Time deadline);

    /** The client has closed its connection while the multiget was open. */
    void clientDisconnected(AcceptedMultiget multiget);
}
