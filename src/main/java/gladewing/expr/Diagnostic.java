package gladewing.expr;

/**
 * A fault at one place of an expression: the expression's text, the offset of the place in it and
 * the message. Lines and columns count from 1.
 */
public record Diagnostic(String source, int offset, String message) {
    /** Characters shown before and after the place, so that they fit a terminal's line. */
    private static final int CONTEXT_BEFORE = 60;

    private static final int CONTEXT_AFTER = 40;

    public int line() {
        int line = 1;
        for (int i = 0; i < Math.min(offset, source.length()); i++) {
            line += source.charAt(i) == '\n' ? 1 : 0;
        }
        return line;
    }

    public int column() {
        return offset - lineStart() + 1;
    }

    private int lineStart() {
        return offset == 0 ? 0 : source.lastIndexOf('\n', offset - 1) + 1;
    }

    /** The place and the message, then the line of the text, then a caret below the place. */
    @Override
    public String toString() {
        int start = Math.max(lineStart(), offset - CONTEXT_BEFORE);
        int end = source.indexOf('\n', offset);
        end = Math.min(end < 0 ? source.length() : end, offset + CONTEXT_AFTER);
        // Control characters, which a terminal would act on, are shown as dots.
        String shown =
                source.substring(
                                Math.min(start, source.length()),
                                Math.max(Math.min(start, source.length()), end))
                        .replaceAll("\\p{Cntrl}", ".");
        return "line "
                + line()
                + " column "
                + column()
                + ": "
                + message
                + "\n    "
                + shown
                + "\n    "
                + " ".repeat(offset - start)
                + "^";
    }
}
