package dunlinladder.transport.engine;

import java.io.IOException;

/**
 * Thrown if an engine ends its stream before the event that completes it. HttpCore treats it as a broken connection,
 * which ends the attempt and closes the connection.
 */
final class IncompleteStreamException extends IOException {

    private static final long serialVersionUID = 1;

    IncompleteStreamException() {
        super("the stream ended before its closing event");
    }
}
