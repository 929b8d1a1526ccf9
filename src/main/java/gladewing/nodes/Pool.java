package gladewing.nodes;

import java.util.ArrayList;
import java.util.List;

/** The connections to one data node. One to an earlier seat of its only ends what it has. */
final class Pool {
    final String node;
    /** Null once the node is off the list. */
    Seat seat;
    final List<Connection> connections = new ArrayList<>();

    Pool(String node) {
        this.node = node;
    }

    /** One that is up before one that is coming up, and the least loaded of these; or null. */
    Connection withRoom(List<Flight> call, int most) {
        Connection best = null;
        for (Connection c : connections) {
            if (c.seat.equals(seat) && c.hasRoom(call, most)
                    && (best == null || c.up() && !best.up()
                    || c.up() == best.up() && c.load() < best.load())) {
                best = c;
            }
        }
        return best;
    }
}
