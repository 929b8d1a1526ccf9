package gladewing.versions;

import java.util.List;

/**
 * One edit of a text by lines: a range of lines is removed and other lines are inserted in its
 * place. A list of edits is ordered by line, and all its line numbers refer to the text before any
 * of the edits.
 *
 * @param startLine the first removed line, or the line to insert before; the first line is 1
 * @param removedLines how many lines are removed; 0 for an insertion
 * @param insertedLines the lines inserted at that place, without line ends
 */
public record LineEdit(int startLine, int removedLines, List<String> insertedLines) {

    /**
     * Applies the edits to a text.
     *
     * @return the edited text; null if the edits are out of order or refer to lines that the text
     *     does not have
     */
    public static String apply(String text, List<LineEdit> edits) {
        String[] lines = text.split("\n", -1);
        StringBuilder result = new StringBuilder(text.length());
        int next = 0;
        boolean isFirst = true;
        for (LineEdit edit : edits) {
            int start = edit.startLine - 1;
            if (start < next
                    || edit.removedLines < 0
                    || (long) start + edit.removedLines > lines.length) {
                return null;
            }
            for (; next < start; next++) {
                isFirst = appendLine(result, isFirst, lines[next]);
            }
            for (String inserted : edit.insertedLines) {
                isFirst = appendLine(result, isFirst, inserted);
            }
            next += edit.removedLines;
        }
        for (; next < lines.length; next++) {
            isFirst = appendLine(result, isFirst, lines[next]);
        }
        return result.toString();
    }

    private static boolean appendLine(StringBuilder result, boolean isFirst, String line) {
        if (!isFirst) {
            result.append('\n');
        }
        result.append(line);
        return false;
    }

    /**
     * Returns the edits that turn one text into the other: at most one edit, which replaces all
     * lines between the common first and the common last lines.
     */
    public static List<LineEdit> between(String before, String after) {
        String[] oldLines = before.split("\n", -1);
        String[] newLines = after.split("\n", -1);
        int head = 0;
        while (head < oldLines.length
                && head < newLines.length
                && oldLines[head].equals(newLines[head])) {
            head++;
        }
        int tail = 0;
        while (tail < oldLines.length - head
                && tail < newLines.length - head
                && oldLines[oldLines.length - 1 - tail].equals(
                        newLines[newLines.length - 1 - tail])) {
            tail++;
        }
        if (head == oldLines.length && head == newLines.length) {
            return List.of();
        }
        return List.of(
                new LineEdit(
                        head + 1,
                        oldLines.length - head - tail,
                        List.of(newLines).subList(head, newLines.length - tail)));
    }
}
