package gladewing.frames;

import gladewing.buffer.Utf8;
import gladewing.router.NodeLoad;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;

/**
 * The payload of an answer frame: a line with the part's id, a status, a score and a load report,
 * followed by the part's value.
 *
 * @param status one of {@link #OK}, {@link #ERROR} and {@link #BUSY}
 * @param load the node's load, or null if it reported none that can be used
 * @param value the rest of the payload as text, unchanged
 */
public record PartAnswer(String id, String status, NodeLoad load, String value) {
    public static final String OK = "ok";
    public static final String ERROR = "err";
    public static final String BUSY = "busy";
    private static final Set<String> STATUSES = Set.of(OK, ERROR, BUSY);

    /** The line before the value: all components of an answer but the value. */
    public record Line(String id, String status, NodeLoad load) {
        /** Returns the line, or null if it is malformed. */
        public static Line parse(byte[] line) {
            // It need not be valid UTF-8: a load report that can't be parsed counts as none.
            String[] fields = new String(line, StandardCharsets.UTF_8).split(" ", 4);
            boolean isSound =
                    fields.length == 4
                            && !fields[0].isEmpty()
                            && isScore(fields[2])
                            && STATUSES.contains(fields[1]);
            return isSound ? new Line(fields[0], fields[1], LoadReport.parse(fields[3])) : null;
        }
    }

    /** Returns the answer, or null if the payload is malformed. */
    public static PartAnswer parse(byte[] payload) {
        int lineEnd = 0;
        while (lineEnd < payload.length && payload[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd == payload.length) {
            return null;
        }
        Line line = Line.parse(Arrays.copyOf(payload, lineEnd));
        if (line == null) {
            return null;
        }
        try {
            String value = Utf8.decode(Arrays.copyOfRange(payload, lineEnd + 1, payload.length));
            return new PartAnswer(line.id, line.status, line.load, value);
        } catch (CharacterCodingException malformed) {
            return null;
        }
    }

    /** A score is a dash or decimal digits; it is checked and not used. */
    private static boolean isScore(String text) {
        return text.equals("-")
                || !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
