package gladewing.benchlink;

/** A message that can't be used; its text is all that the operator is shown. */
final class BadMessage extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadMessage(String text) {
        super(text, null, false, false);
    }
}
