package gladewing.frames;

import gladewing.router.Load;
import java.nio.charset.StandardCharsets;

/** An answer frame: how one part ended, the node's report where there is one, and the value as it came. */
public record Answer(String id, String end, Load load, String value) {
    public static final String OK = "ok";
    public static final String ERROR = "err";
    public static final String BUSY = "busy";

    /** Null where the rest of the frame is no answer. */
    public static Answer read(byte[] rest) {
        int lineEnd = 0;
        while (lineEnd < rest.length && rest[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd == rest.length) {
            return null;
        }
        String[] line = new String(rest, 0, lineEnd, StandardCharsets.UTF_8).split(" ", -1);
        if (line.length != 4 || line[0].isEmpty()
                || !line[1].equals(OK) && !line[1].equals(ERROR) && !line[1].equals(BUSY)) {
            return null;
        }
        String value = new String(rest, lineEnd + 1, rest.length - lineEnd - 1, StandardCharsets.UTF_8);
        return new Answer(line[0], line[1], LoadReport.read(line[3]), value);
    }
}
