package dunlinladder.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Confines an {@link Error} of a connection's handler, or of its creation, to that connection. HttpCore closes one
 * connection when its handler throws an exception, but an error ends the I/O thread, and with it all connections that
 * the thread serves.
 *
 * <p>Used by the I/O thread only.
 */
public final class ConfinedEventHandler implements IOEventHandler {

    private static final Logger LOG = LoggerFactory.getLogger(ConfinedEventHandler.class);

    private final Supplier<IOEventHandler> factory;
    /** Null until the connection is established, and if the handler could not be created. */
    private IOEventHandler handler;

    /** Creates a handler that passes all events to the one that {@code factory} creates for the first event. */
    public ConfinedEventHandler(Supplier<IOEventHandler> factory) {
        this.factory = factory;
    }

    /** The handling of one event. */
    private interface Event {
        void handle() throws IOException;
    }

    @Override
    public void connected(IOSession session) throws IOException {
        closeOnError(session, () -> {
            handler = factory.get();
            handler.connected(session);
        });
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        closeOnError(session, () -> handler.inputReady(session, source));
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        closeOnError(session, () -> handler.outputReady(session));
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) throws IOException {
        closeOnError(session, () -> handler.timeout(session, timeout));
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        try {
            if (handler != null) {
                handler.exception(session, cause);
            }
        } catch (Error e) {
            log(session, e);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        try {
            if (handler != null) {
                handler.disconnected(session);
            }
        } catch (Error e) {
            log(session, e);
        }
    }

    /** Turns an error into an exception, for which HttpCore closes the connection and fails its exchange. */
    private static void closeOnError(IOSession session, Event event) throws IOException {
        try {
            event.handle();
        } catch (Error e) {
            log(session, e);
            throw new IOException("the handler of the connection failed", e);
        }
    }

    private static void log(IOSession session, Error error) {
        LOG.error("event=connection_error session={}", session.getId(), error);
    }
}
