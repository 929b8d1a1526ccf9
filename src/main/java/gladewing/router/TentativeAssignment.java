package gladewing.router;

import java.util.ArrayList;
import java.util.List;

/** Parts reserved for one node until its probe is answered or their multiget may start. */
final class TentativeAssignment {
    final DataNode node;
    final List<Part> parts = new ArrayList<>();

    /** Whether the node was probed for these parts and the probe is still pending. */
    boolean awaitsProbe;

    TentativeAssignment(DataNode node) {
        this.node = node;
    }
}
