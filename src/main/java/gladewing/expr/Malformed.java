package gladewing.expr;

/** Ends the reading of one text; it never leaves the package. */
final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1;

    final int at;

    Malformed(int at, String what) {
        super(what, null, false, false);
        this.at = at;
    }
}
