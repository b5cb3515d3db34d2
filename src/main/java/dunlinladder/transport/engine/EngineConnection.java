package dunlinladder.transport.engine;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A connection to an engine as the pool keeps it. Its idle time is measured by the monotonic clock, because HttpCore's
 * pool measures it by the wall clock. May be used by any thread.
 */
final class EngineConnection implements ModalCloseable {

    private static final double NANOS_PER_SECOND = 1e9;

    private final IOSession session;
    /** Start of the idle time, by {@link System#nanoTime}. */
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

    /** Marks the connection as idle from now on. */
    void markIdle() {
        idleSince = System.nanoTime();
    }

    /** Returns the seconds since the connection became idle. */
    double idleSeconds() {
        return (System.nanoTime() - idleSince) / NANOS_PER_SECOND;
    }

    /**
     * Shuts down the sending direction at once. The connection is fully closed later, when the selector's thread is
     * scheduled.
     *
     * @throws IOException if the connection has already ended
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
