package dunlinladder.apiformat;

/** The body of a reply was asked for before the reply was complete: a mistake of the caller. */
public final class IncompleteReplyException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    IncompleteReplyException(String message) {
        super(message);
    }
}
