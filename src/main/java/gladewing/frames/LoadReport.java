package gladewing.frames;

import gladewing.router.NodeLoad;
import java.util.Arrays;
import java.util.List;

/**
 * Parses a node's report of its load: fields of the form {@code name=number}, separated by commas,
 * or a dash if there is no report.
 */
public final class LoadReport {
    /**
     * The names of each field, in the order of {@link Load}'s components: the one that the settings
     * use, and the one that the protocol uses.
     */
    private static final List<List<String>> FIELD_NAMES =
            List.of(
                    List.of("pending", "queue"),
                    List.of("busy_reqs", "inflight"),
                    List.of("svc_ms", "latency_ms"),
                    List.of("served_ps", "qps"),
                    List.of("cpu_share", "util"));

    private LoadReport() {}

    /**
     * Returns the load, with NaN for fields that are missing. Unknown fields are ignored. Returns
     * null if no field is known, or if the value of one is not a finite number of at least zero.
     */
    public static NodeLoad parse(String report) {
        double[] values = new double[FIELD_NAMES.size()];
        Arrays.fill(values, Double.NaN);
        boolean hasKnownField = false;
        for (String field : report.split(",")) {
            int equals = field.indexOf('=');
            for (int i = 0; equals > 0 && i < FIELD_NAMES.size(); i++) {
                if (FIELD_NAMES.get(i).contains(field.substring(0, equals))) {
                    values[i] = parseValue(field.substring(equals + 1));
                    hasKnownField = true;
                    if (Double.isNaN(values[i])) {
                        return null;
                    }
                }
            }
        }
        return hasKnownField
                ? new NodeLoad(values[0], values[1], values[2], values[3], values[4])
                : null;
    }

    /** Returns the value, or NaN if it is not a finite number of at least zero. */
    private static double parseValue(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }
}
