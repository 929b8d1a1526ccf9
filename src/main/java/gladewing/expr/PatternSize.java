package gladewing.expr;

/**
 * The number of elements of a regular expression with its counted repetitions expanded; an upper
 * bound of the size of the compiled pattern. It is computed without compiling the pattern, because
 * the time to compile one grows with that size.
 */
final class PatternSize {
    private static final int MAX_DEPTH = 32;

    private final String regex;
    private int position;
    private int depth;

    private PatternSize(String regex) {
        this.regex = regex;
    }

    static long of(String regex) {
        PatternSize size = new PatternSize(regex);
        long all = 0;
        // Unbalanced closing parentheses are skipped; compiling the pattern reports them.
        while (size.position < regex.length()) {
            all = CostModel.add(all, size.group());
            size.position++;
        }
        return all;
    }

    /** The size up to the closing parenthesis or the end. */
    private long group() {
        if (++depth > MAX_DEPTH) {
            position = regex.length();
            return Long.MAX_VALUE;
        }
        long all = 1;
        long last = 1;
        while (position < regex.length() && regex.charAt(position) != ')') {
            char c = regex.charAt(position);
            long times = c == '{' ? repetitions() : 0;
            if (times > 0) {
                all = CostModel.add(all, CostModel.multiply(last, times));
                last = CostModel.multiply(last, times + 1);
                continue;
            }
            last = atom(c);
            all = CostModel.add(all, last);
        }
        depth--;
        return all;
    }

    private long atom(char c) {
        position++;
        if (c == '(') {
            long inner = group();
            position++;
            return CostModel.add(2, inner);
        }
        if (c == '\\') {
            // \Q...\E is not treated apart: reading quoted brackets as brackets never makes the
            // size
            // smaller.
            position++;
        } else if (c == '[') {
            int from = position;
            position += regex.startsWith("^", position) ? 1 : 0;
            position += regex.startsWith("]", position) ? 1 : 0;
            while (position < regex.length() && regex.charAt(position) != ']') {
                position += regex.charAt(position) == '\\' ? 2 : 1;
            }
            position = Math.min(position + 1, regex.length());
            return 1 + (position - from) / 2;
        }
        return 1;
    }

    /**
     * One more than the largest count of {n}, {n,} or {n,m}; 0 if the text here is none of these.
     */
    private long repetitions() {
        int end = regex.indexOf('}', position);
        String inner = end < 0 ? "" : regex.substring(position + 1, end);
        if (!inner.matches("[0-9]{1,4}(,[0-9]{0,4})?")) {
            return 0;
        }
        position = end + 1;
        int comma = inner.indexOf(',');
        long minimum = Long.parseLong(comma < 0 ? inner : inner.substring(0, comma));
        boolean hasMaximum = comma >= 0 && comma + 1 < inner.length();
        return 1 + Math.max(minimum, hasMaximum ? Long.parseLong(inner.substring(comma + 1)) : 0);
    }
}
