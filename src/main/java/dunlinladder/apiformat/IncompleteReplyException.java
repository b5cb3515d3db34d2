package dunlinladder.apiformat;

/** Thrown if the body of a reply is requested before the reply is complete, which is an error of the caller. */
public final class IncompleteReplyException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    IncompleteReplyException(String message) {
        super(message);
    }
}
