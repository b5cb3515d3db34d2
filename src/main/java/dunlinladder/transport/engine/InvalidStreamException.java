package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import java.io.IOException;

/**
 * An engine's stream holds what is no event of the protocol. HttpCore takes it for a broken connection, which ends the
 * attempt and closes the connection.
 */
final class InvalidStreamException extends IOException {

    private static final long serialVersionUID = 1;

    /** Creates an exception with the finding as its cause. */
    InvalidStreamException(InvalidInputException cause) {
        super("invalid event stream: " + cause.getMessage(), cause);
    }
}
