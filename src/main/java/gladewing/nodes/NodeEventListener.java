package gladewing.nodes;

import gladewing.decisions.CallResult;
import gladewing.decisions.Transmission;
import gladewing.router.NodeLoad;
import gladewing.router.Span;

/**
 * Is notified of the end of each transmission and each probe, within a pass of the loop and exactly
 * once, but for a transmission that was reopened, which ends once more.
 */
public interface NodeEventListener {
    /**
     * A transmission has ended.
     *
     * @param end how it ended
     * @param elapsed from the hand-over to {@link NodeClient} until the end
     * @param value the part's value, or null unless it was answered
     * @param load the load that the node reported with its answer, or null if it reported none
     */
    void transmissionEnded(
            Transmission transmission, CallResult end, Span elapsed, String value, NodeLoad load);

    /**
     * The answer to a transmission that has ended may be cut short or spoilt: bytes that are not
     * known to be a frame have arrived behind it. It is in flight again until they are.
     *
     * @return the value of the answer; null if it was used already or not needed, and nothing
     *     changes
     */
    String transmissionReopened(Transmission transmission);

    /**
     * A probe has ended.
     *
     * @param end how it ended
     * @param load the load that the node reported with its answer, or null if it reported none
     */
    void probeEnded(String node, CallResult end, NodeLoad load);
}
