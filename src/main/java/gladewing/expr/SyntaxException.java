package gladewing.expr;

/** A syntax error, thrown by the lexer and the parser; it is caught within this package. */
final class SyntaxException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Offset of the error in the expression's text, in characters. */
    final int offset;

    SyntaxException(int offset, String message) {
        super(message, null, false, false);
        this.offset = offset;
    }
}
