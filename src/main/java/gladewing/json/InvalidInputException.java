package gladewing.json;

/**
 * Input is malformed or a value of it is invalid. It has no stack trace: the message alone is shown
 * to the operator, so it has to say which field is wrong.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the message that the operator is shown. */
    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}
