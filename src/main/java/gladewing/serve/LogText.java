package gladewing.serve;

/**
 * Makes texts fit for the log. Reasons that are logged quote what data nodes, discovery and others
 * have sent: a line end in it must not look like a line of its own, and it may be of any length.
 */
final class LogText {
    /** The most characters of one message; what follows is cut off. */
    static final int MAX_MESSAGE_LENGTH = 4096;

    /** The most characters of one record, with the trace of an error. */
    static final int MAX_RECORD_LENGTH = 4 * MAX_MESSAGE_LENGTH;

    private static final char LINE_SEPARATOR = '\u2028';
    private static final char PARAGRAPH_SEPARATOR = '\u2029';

    private LogText() {}

    /** The text on one line, with control characters as escapes, and cut if it is too long. */
    static String message(String text) {
        String shown = cut(text, MAX_MESSAGE_LENGTH);
        StringBuilder line = new StringBuilder(shown.length());
        for (int i = 0; i < shown.length(); i++) {
            char c = shown.charAt(i);
            if (Character.isISOControl(c) || c == LINE_SEPARATOR || c == PARAGRAPH_SEPARATOR) {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
        return line.toString();
    }

    /** A whole record, with its line end, and cut if it is too long. */
    static String record(String text) {
        return text.length() <= MAX_RECORD_LENGTH
                ? text
                : cut(text, MAX_RECORD_LENGTH) + System.lineSeparator();
    }

    private static String cut(String text, int maxLength) {
        return text.length() <= maxLength
                ? text
                : text.substring(0, maxLength) + "... (" + text.length() + " characters)";
    }
}
