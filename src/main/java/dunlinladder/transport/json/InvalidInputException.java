package dunlinladder.transport.json;

/** Input that does not follow the wire; the message says what was wrong. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a message for the operator. */
    public InvalidInputException(String message) {
        super(message);
    }
}
