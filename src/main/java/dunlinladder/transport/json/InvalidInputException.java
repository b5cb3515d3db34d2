package dunlinladder.transport.json;

/**
 * Reports invalid input from outside: a configuration, a list of engines or a client's request. The message describes
 * the fault and is shown unchanged to the operator or the client.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator or the client. */
    public InvalidInputException(String message) {
        super(message);
    }
}
