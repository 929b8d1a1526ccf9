package gladewing.http;

import java.util.Locale;

/**
 * The headers of one message. They are kept as one text in which each byte of a header takes one
 * byte; strings for each name and value would take many times the memory.
 */
final class HeaderBlock {
    private static final int INITIAL_CAPACITY = 256;

    private static final char LINE_END = '\n';

    private static final char NAME_END = ':';

    /**
     * Lines of the form {@code name:value}, each between two line ends. Names are in lower case,
     * and values without surrounding white space.
     */
    private StringBuilder lines = new StringBuilder(0);

    private int count;

    /** Adds a header after those before it. */
    void add(String name, String value) {
        if (count == 0) {
            lines.ensureCapacity(INITIAL_CAPACITY);
            lines.append(LINE_END);
        }
        lines.append(name.toLowerCase(Locale.ROOT))
                .append(NAME_END)
                .append(value.strip())
                .append(LINE_END);
        count++;
    }

    /** Removes all headers, and the memory for them. */
    void clear() {
        lines = new StringBuilder(0);
        count = 0;
    }

    int count() {
        return count;
    }

    /** How much memory the headers take, in bytes. */
    int heldBytes() {
        return lines.capacity();
    }

    /** Gives back memory that is reserved for further headers. */
    void trim() {
        lines.trimToSize();
    }

    /**
     * The position of the first header with this name at or after a position, or -1.
     *
     * @param name in lower case
     */
    int find(String name, int fromPosition) {
        boolean canBeName = name.indexOf(NAME_END) < 0;
        return canBeName ? lines.indexOf(LINE_END + name + NAME_END, fromPosition) : -1;
    }

    /** The position after a header that {@link #find} has found. */
    int next(int position) {
        return position + 1;
    }

    /** The value of a header that {@link #find} has found. */
    String value(String name, int position) {
        int start = position + name.length() + 2;
        return lines.substring(start, lines.indexOf(String.valueOf(LINE_END), start));
    }

    /** The value of the first header with this name, or null. */
    String first(String name) {
        int position = find(name, 0);
        return position < 0 ? null : value(name, position);
    }
}
