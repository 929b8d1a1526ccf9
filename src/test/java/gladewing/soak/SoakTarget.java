package gladewing.soak;

import java.net.InetAddress;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * The router that a client of the soak speaks to, and what both clients and the run know of it.
 *
 * @param client name of the client, with which the ids of its requests begin
 * @param router index of the router
 * @param requests gets each request once it has ended, or its client has left
 * @param isRunning whether clients go on
 * @param mayConnect whether the front sends new connections to the router
 */
record SoakTarget(
        String client,
        int router,
        int port,
        Queue<SoakRequest> requests,
        BooleanSupplier isRunning,
        BooleanSupplier mayConnect) {
    InetAddress address() {
        return InetAddress.getLoopbackAddress();
    }
}
