package dunlinladder.transport.json;

/**
 * Input from outside - a configuration, a list of engines, a client's request - is not what it has to be. The message
 * says what is wrong and is shown to the operator or the client as it stands.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a message for the operator or the client. */
    public InvalidInputException(String message) {
        super(message);
    }
}
