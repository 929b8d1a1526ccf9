package gladewing.expr;

import java.util.ArrayList;
import java.util.List;

/** Splits the text of an expression into tokens. */
final class Lexer {
    enum TokenKind {
        NAME,
        INT,
        DOUBLE,
        STRING,
        SYMBOL,
        END
    }

    /**
     * A token. The text is that of a name, symbol or number, the value that of a literal; from and
     * to are the offsets of its first character and of the first one after it.
     */
    record Token(TokenKind kind, String text, Object value, int from, int to) {
        boolean is(String symbol) {
            return kind == TokenKind.SYMBOL && text.equals(symbol);
        }
    }

    private static final List<String> TWO_CHARACTER_SYMBOLS =
            List.of("&&", "||", "==", "!=", "<=", ">=");

    private final String text;
    private int position;

    private Lexer(String text) {
        this.text = text;
    }

    /**
     * @throws SyntaxException at the first place that is not a valid token
     */
    static List<Token> tokens(String text) {
        Lexer lexer = new Lexer(text);
        List<Token> tokens = new ArrayList<>();
        do {
            tokens.add(lexer.next());
        } while (tokens.get(tokens.size() - 1).kind != TokenKind.END);
        return tokens;
    }

    private Token next() {
        while (position < text.length()
                && (" \t\r\n".indexOf(text.charAt(position)) >= 0 || skipComment())) {
            position++;
        }
        int from = position;
        if (position == text.length()) {
            return new Token(TokenKind.END, "the end", null, from, from);
        }
        char c = text.charAt(position);
        if ((c == 'r' || c == 'R')
                && position + 1 < text.length()
                && isQuote(text.charAt(position + 1))) {
            position++;
            return new Token(TokenKind.STRING, "", readString(from, true), from, position);
        }
        if (isLetter(c)) {
            while (position < text.length()
                    && (isLetter(text.charAt(position)) || isDigit(text.charAt(position)))) {
                position++;
            }
            return new Token(TokenKind.NAME, text.substring(from, position), null, from, position);
        }
        if (isDigit(c)
                || c == '.' && position + 1 < text.length() && isDigit(text.charAt(position + 1))) {
            return readNumber(from);
        }
        if (isQuote(c)) {
            return new Token(TokenKind.STRING, "", readString(from, false), from, position);
        }
        String symbol =
                position + 1 < text.length()
                                && TWO_CHARACTER_SYMBOLS.contains(
                                        text.substring(position, position + 2))
                        ? text.substring(position, position + 2)
                        : String.valueOf(c);
        if (symbol.length() == 1 && "()[]{}.,?:!<>+-*/%".indexOf(c) < 0) {
            throw new SyntaxException(
                    from,
                    c == '=' || c == '&' || c == '|'
                            ? "a single " + c + ", wanted: " + c + c
                            : c < ' ' || c > '~'
                                    ? String.format(
                                            "the character U+%04X has no meaning here", (int) c)
                                    : "the character " + c + " has no meaning here");
        }
        position += symbol.length();
        return new Token(TokenKind.SYMBOL, symbol, null, from, position);
    }

    /** Skips a comment up to the last character of its line; false if there is none here. */
    private boolean skipComment() {
        if (!text.startsWith("//", position)) {
            return false;
        }
        int end = text.indexOf('\n', position);
        position = (end < 0 ? text.length() : end) - 1;
        return true;
    }

    private static boolean isLetter(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_';
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isQuote(char c) {
        return c == '\'' || c == '"';
    }

    private Token readNumber(int from) {
        boolean hex = text.startsWith("0x", position) || text.startsWith("0X", position);
        boolean isInt = true;
        position += hex ? 2 : 0;
        for (; position < text.length(); position++) {
            char c = text.charAt(position);
            boolean sign =
                    (c == '+' || c == '-') && !hex && (text.charAt(position - 1) | 32) == 'e';
            if (!sign
                    && !isDigit(c)
                    && !isLetter(c)
                    && !(c == '.'
                            && position + 1 < text.length()
                            && isDigit(text.charAt(position + 1)))) {
                break;
            }
            isInt &= hex || isDigit(c);
        }
        String number = text.substring(from, position);
        try {
            if (isInt) {
                // 2^63 is accepted here although it is not an int: with a minus before it, it is
                // the smallest int. Without a minus the parser rejects it.
                String digits = hex ? number.substring(2) : number;
                Long value =
                        digits.equals("9223372036854775808") && !hex
                                ? Long.valueOf(Long.MIN_VALUE)
                                : Long.valueOf(Long.parseLong(digits, hex ? 16 : 10));
                return new Token(TokenKind.INT, number, value, from, position);
            }
            char last = number.charAt(number.length() - 1);
            if (isDigit(last)) {
                double value = Double.parseDouble(number);
                if (!Double.isInfinite(value)) {
                    return new Token(TokenKind.DOUBLE, number, value, from, position);
                }
            }
        } catch (NumberFormatException invalid) {
            // Reported below, together with numbers that are too large for a double.
        }
        throw new SyntaxException(
                from,
                "not a valid number: "
                        + shortened(number)
                        + " (an int has 64 bits, including the sign)");
    }

    static String shortened(String text) {
        return text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }

    private String readString(int from, boolean raw) {
        char quote = text.charAt(position++);
        StringBuilder value = new StringBuilder();
        while (position < text.length()
                && text.charAt(position) != quote
                && text.charAt(position) != '\n') {
            char c = text.charAt(position++);
            value.append(c == '\\' && !raw ? readEscape() : c);
        }
        if (position == text.length() || text.charAt(position) != quote) {
            throw new SyntaxException(from, "unterminated string, wanted: " + quote);
        }
        position++;
        return value.toString();
    }

    private char readEscape() {
        int from = position - 1;
        char c = position < text.length() ? text.charAt(position++) : ' ';
        int simple = "\\'\"`?nrtabfv".indexOf(c);
        if (simple >= 0) {
            return "\\'\"`?\n\r\t\u0007\b\f\u000b".charAt(simple);
        }
        int digits = c == 'x' || c == 'X' ? 2 : c == 'u' ? 4 : 0;
        int code = 0;
        for (int i = 0; i < digits; i++) {
            int digit =
                    position < text.length() ? Character.digit(text.charAt(position++), 16) : -1;
            code = digit < 0 || code < 0 ? -1 : code * 16 + digit;
        }
        if (digits == 0 || code < 0) {
            throw new SyntaxException(
                    from,
                    "an unknown escape, wanted: one of \\\\ \\' \\\" \\n \\r \\t \\xHH \\uHHHH"
                            + " (or r'...', in which \\ stands for itself)");
        }
        return (char) code;
    }
}
