package dunlinladder.transport.engine;

import dunlinladder.transport.json.InvalidInputException;
import java.io.IOException;

/**
 * Thrown if an engine's stream contains data that is not part of an event of the protocol. HttpCore treats it as a
 * broken connection, which ends the attempt and closes the connection.
 */
final class InvalidStreamException extends IOException {

    private static final long serialVersionUID = 1;

    /** Creates an exception for the violation that {@code cause} describes. */
    InvalidStreamException(InvalidInputException cause) {
        super("invalid event stream: " + cause.getMessage(), cause);
    }
}
