package gladewing.router;

import java.util.ArrayList;
import java.util.List;

/** One part of a multiget, with its transmissions. */
final class Part {
    final Multiget multiget;

    /** Position of the part in its multiget. */
    final int index;

    final int shard;

    /** Share of the whole answer that the part stands for. */
    final double weight;

    final List<TransmissionState> transmissions = new ArrayList<>(1);

    /** Transmissions that have not ended. */
    int inFlight;

    boolean isAnswered;

    /** The transmission whose answer counts; null while the part is not answered. */
    TransmissionState answeredBy;

    /** Whether the part is in a tentative assignment, waiting to be sent. */
    boolean isAssigned;

    /** End of the backoff after the last transmission; null without one. */
    Time noRetryBefore;

    Part(Multiget multiget, int index, int shard, double weight) {
        this.multiget = multiget;
        this.index = index;
        this.shard = shard;
        this.weight = weight;
    }

    /** Whether it is proved that no data node has run the part; true if it was never sent. */
    boolean provedNotRun() {
        return transmissions.stream().allMatch(t -> !t.isInFlight && t.provedNotRun);
    }
}
