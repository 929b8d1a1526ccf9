package gladewing.nodes;

import gladewing.decisions.CallResult;
import gladewing.decisions.Transmission;
import gladewing.frames.NodeFrames;
import gladewing.loop.Timer;
import gladewing.router.Span;
import gladewing.router.Time;
import io.netty.channel.ChannelFuture;

/** A transmission from its hand-over to {@link NodeClient} until nothing more can come for it. */
final class InFlightTransmission {
    final Transmission transmission;

    /** The part's id on the wire: the multiget's id and the shard. */
    final String id;

    final Time sentAt;

    /** The connection that it is in flight on, or null if there is none. */
    NodeConnection connection;

    Timer timeoutTimer;

    /** The write of its frame; null while that waits for the connection to come up. */
    ChannelFuture frameWrite;

    /** Whether its end was reported; what still arrives for it is dropped. */
    boolean isEnded;

    /** When its end was reported; null before. */
    Time endedAt;

    InFlightTransmission(Transmission transmission, Time sentAt) {
        this.transmission = transmission;
        this.id =
                transmission.multiget.id
                        + "."
                        + transmission.multiget.parts.get(transmission.part).shard();
        this.sentAt = sentAt;
    }

    /** Returns how long its answer is still waited for; zero if it has timed out. */
    Span timeLeft(Time now) {
        return Span.longest(Span.ZERO, transmission.timeout.minus(now.since(sentAt)));
    }

    /**
     * Returns how a transmission or probe ends whose connection is lost: {@link CallResult#BROKEN}
     * if its frame was written to the socket as a whole, so that the node may have run it, and
     * otherwise {@link CallResult#NOT_WRITTEN}.
     *
     * @param frameWrite the write of its frame, or null if that was not begun
     */
    static CallResult endOnConnectionLoss(ChannelFuture frameWrite) {
        return frameWrite != null && frameWrite.isSuccess()
                ? CallResult.BROKEN
                : CallResult.NOT_WRITTEN;
    }

    /** Returns its entry in a call frame; the time limit is the time that is left now. */
    NodeFrames.CallPart callPart(Time now) {
        double millisLeft = transmission.timeout.millis() - now.since(sentAt).millis();
        return new NodeFrames.CallPart(
                id,
                transmission.multiget.parts.get(transmission.part).shard(),
                Math.max(1, (long) millisLeft),
                transmission.multiget.payload());
    }
}
