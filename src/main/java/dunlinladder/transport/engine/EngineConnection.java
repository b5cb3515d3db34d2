package dunlinladder.transport.engine;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A connection to an engine as the pool keeps it. It knows for how long it has been idle by the monotonic clock: what
 * HttpCore's pool keeps of it counts by the wall clock. May be used by any thread.
 */
final class EngineConnection implements ModalCloseable {

    private static final double NANOS_PER_SECOND = 1e9;

    private final IOSession session;
    /** By {@link System#nanoTime}. */
    private volatile long idleSince = System.nanoTime();

    EngineConnection(IOSession session) {
        this.session = session;
    }

    IOSession session() {
        return session;
    }

    boolean isOpen() {
        return session.isOpen();
    }

    /** It carries nothing from now on. */
    void markIdle() {
        idleSince = System.nanoTime();
    }

    /** Seconds since it last carried something. */
    double idleSeconds() {
        return (System.nanoTime() - idleSince) / NANOS_PER_SECOND;
    }

    /**
     * Ends our sending at once; closing follows when the selector's thread gets a core.
     *
     * @throws IOException where the connection has ended already
     */
    void endSending() throws IOException {
        if (session.channel() instanceof SocketChannel channel) {
            channel.shutdownOutput();
        }
    }

    @Override
    public void close(CloseMode mode) {
        session.close(mode);
    }

    @Override
    public void close() {
        session.close();
    }
}
