package gladewing.serve;

import gladewing.discovery.NodeListUpdate;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * The current list of data nodes, put together from what discovery has reported. It can be saved as
 * text, and read again at the next start.
 */
final class NodeListCache {
    private final int cells;
    private final NodeListUpdate saved;
    private final Map<String, NodeListUpdate.NodeEntry> nodes = new TreeMap<>();
    private long changes;

    /**
     * @param savedText a list as {@link #text} gives it, or null; one that is invalid is ignored
     */
    NodeListCache(int cells, String savedText) {
        this.cells = cells;
        NodeListUpdate parsed = null;
        try {
            parsed =
                    savedText == null
                            ? null
                            : NodeListUpdate.parse(
                                    Json.fields(
                                            "nodes", savedText.getBytes(StandardCharsets.UTF_8)),
                                    cells);
        } catch (InvalidInputException invalid) {
            // The list may be of another site, for example; discovery gives the right one.
        }
        saved = parsed;
    }

    /** The list that was saved before this start, or null. */
    NodeListUpdate saved() {
        return saved;
    }

    /** Applies a whole list, or changes of it. */
    void update(NodeListUpdate update) {
        Map<String, NodeListUpdate.NodeEntry> before = new TreeMap<>(nodes);
        if (update.isSnapshot()) {
            nodes.clear();
        }
        for (NodeListUpdate.NodeEntry node : update.entries()) {
            if (node.state() == NodeListUpdate.State.REMOVED) {
                nodes.remove(node.uid());
            } else {
                nodes.put(node.uid(), node);
            }
        }
        if (!before.equals(nodes)) {
            changes++;
        }
    }

    /** How often the list has changed. */
    long changes() {
        return changes;
    }

    /** The number of nodes in each cell that are up and not draining. */
    int[] upByCell() {
        int[] up = new int[cells];
        for (NodeListUpdate.NodeEntry node : nodes.values()) {
            if (node.state() == NodeListUpdate.State.UP) {
                up[node.cell()]++;
            }
        }
        return up;
    }

    /** The whole list in the format of discovery, or null if it is empty. */
    String text() {
        if (nodes.isEmpty()) {
            return null;
        }
        StringBuilder text = new StringBuilder("{\"rev\":0,\"all\":true,\"targets\":[");
        String comma = "";
        for (NodeListUpdate.NodeEntry node : nodes.values()) {
            text.append(comma).append("{\"uid\":");
            Json.quote(text, node.uid());
            text.append(",\"endpoint\":\"")
                    .append(node.endpoint().getAddress().getHostAddress())
                    .append(':')
                    .append(node.endpoint().getPort())
                    .append("\",\"pod_group\":")
                    .append(node.cell())
                    .append(",\"state\":\"")
                    .append(node.state() == NodeListUpdate.State.UP ? "up" : "draining")
                    .append("\",\"boot_ms\":")
                    .append(node.startedAtMillis())
                    .append('}');
            comma = ",";
        }
        return text.append("]}").toString();
    }
}
