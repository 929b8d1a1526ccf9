package gladewing.discovery;

import gladewing.config.Endpoint;
import gladewing.json.Fields;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One answer of discovery: all data nodes, or those that have changed since an earlier revision.
 *
 * @param revision of the list that this update leads to
 * @param isSnapshot whether the entries are all data nodes, so that others are gone
 */
public record NodeListUpdate(long revision, boolean isSnapshot, List<NodeEntry> entries) {
    /** The state of a data node as discovery gives it. */
    public enum State {
        UP,
        DRAINING,
        REMOVED
    }

    /**
     * One data node. A removed one has no endpoint (null), and zero for the cell and the start.
     *
     * @param startedAtMillis in Unix milliseconds, 0 if it was long ago
     */
    public record NodeEntry(
            String uid, InetSocketAddress endpoint, int cell, long startedAtMillis, State state) {}

    private static final int MAX_UID_LENGTH = 256;

    /**
     * Reads an update from discovery's JSON.
     *
     * @param cells how many cells there are; a cell outside of them is an error
     * @throws gladewing.json.InvalidInputException if the JSON is not such an update
     */
    public static NodeListUpdate parse(Fields json, int cells) {
        List<NodeEntry> entries = new ArrayList<>();
        for (Fields entry : json.objects("targets")) {
            State state =
                    switch (entry.text("state")) {
                        case "up" -> State.UP;
                        case "draining" -> State.DRAINING;
                        case "removed" -> State.REMOVED;
                        default -> throw entry.wrong("state", "a known state");
                    };
            boolean isRemoved = state == State.REMOVED;
            String uid = entry.text("uid");
            if (uid.length() > MAX_UID_LENGTH || uid.chars().anyMatch(Character::isISOControl)) {
                throw entry.wrong(
                        "uid",
                        "a name of at most "
                                + MAX_UID_LENGTH
                                + " characters, without control characters");
            }
            entries.add(
                    new NodeEntry(
                            uid,
                            isRemoved ? null : Endpoint.read(entry.text("endpoint")),
                            isRemoved ? 0 : entry.index("pod_group", cells),
                            isRemoved ? 0 : (long) entry.number("boot_ms", 0),
                            state));
        }
        return new NodeListUpdate(json.whole("rev"), json.flag("all"), entries);
    }

    /** The names of the data nodes that are listed once this is applied to a list with others. */
    Set<String> listedAfter(Set<String> listedBefore) {
        Set<String> listed = new HashSet<>(isSnapshot ? Set.of() : listedBefore);
        for (NodeEntry entry : entries) {
            if (entry.state == State.REMOVED) {
                listed.remove(entry.uid);
            } else {
                listed.add(entry.uid);
            }
        }
        return listed;
    }
}
