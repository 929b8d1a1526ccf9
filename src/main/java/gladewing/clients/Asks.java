package gladewing.clients;

import gladewing.decisions.Taken;

/** Where what clients do is told, within a pass of the loop. */
public interface Asks {
    void asked(Taken taken);

    /** The client has closed its connection with the multiget open. */
    void left(Taken taken);
}
