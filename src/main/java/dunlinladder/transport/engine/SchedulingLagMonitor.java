package dunlinladder.transport.engine;

import dunlinladder.core.DaemonThreads;
import dunlinladder.transport.http.TransientFailures;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how long a received byte waits until the thread that reads from the engines reads it. The waiting time of an
 * engine's answer is unknown, but a probe waits for the same thread. The probes are sent on a connection from this
 * process to itself.
 *
 * <p>The timer sends the probes, any thread reads the lag, and HttpCore's I/O thread receives the probes. The lock of
 * this object guards {@code probeSentAt} and {@code lastLagSeconds}; it is not held while the sockets are used. A
 * broken connection is replaced; without a connection the lag is 0.
 */
public final class SchedulingLagMonitor implements IOEventHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(SchedulingLagMonitor.class);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROBE_BYTES = 1;
    private static final int RECEIVE_BYTES = 16;

    /** The value of {@link #probeSentAt} while no probe is in flight. */
    private static final long NO_PROBE = 0;

    private final EngineConnectionPool connections;
    /** The sending end; null while there is no connection. */
    private volatile SocketChannel sender;

    /** The receiving end of the latest connection; used by the I/O thread only. */
    private IOSession receiver;

    private volatile boolean closed;
    /** Used by the timer only. */
    private final ByteBuffer probeBuffer = ByteBuffer.allocate(PROBE_BYTES);
    /** Used by the I/O thread only. */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(RECEIVE_BYTES);
    /** When the probe in flight was sent, by {@link System#nanoTime}. */
    private long probeSentAt = NO_PROBE;

    private double lastLagSeconds;

    /**
     * Opens the connection.
     *
     * @param connections the pool whose I/O thread is monitored
     * @throws IOException if this process fails to connect to itself for some seconds
     */
    public SchedulingLagMonitor(EngineConnectionPool connections) throws IOException {
        this.connections = connections;
        sender = TransientFailures.retry("lag-monitor", this::connect);
    }

    private SocketChannel connect() throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            connections.open(InetAddress.getLoopbackAddress().getHostAddress() + ":" + port, this);
            SocketChannel accepted = listener.accept();
            accepted.configureBlocking(false);
            return accepted;
        }
    }

    /** Sends a probe unless one is in flight or there is no connection; called often, by one thread. */
    public void probe() {
        SocketChannel current = sender;
        synchronized (this) {
            if (probeSentAt != NO_PROBE || current == null) {
                return;
            }
            probeSentAt = System.nanoTime();
        }
        try {
            current.write(probeBuffer.clear());
        } catch (IOException e) {
            logConnectionLost(e);
            reset();
        }
    }

    /** Returns the lag of this process in seconds, at least 0; a probe in flight counts with its age. */
    public synchronized double lag() {
        return Math.max(lastLagSeconds, probeSentAt == NO_PROBE ? 0 : probeAgeSeconds());
    }

    private double probeAgeSeconds() {
        return (System.nanoTime() - probeSentAt) / NANOS_PER_SECOND;
    }

    private synchronized void reset() {
        probeSentAt = NO_PROBE;
        lastLagSeconds = 0;
    }

    private static void logConnectionLost(Exception reason) {
        LOG.warn("event=lag_monitor_lost reason=\"{}\"", reason.toString());
    }

    // ---- Called by the I/O thread ----

    @Override
    public void connected(IOSession session) {
        receiver = session;
        session.setEvent(SelectionKey.OP_READ);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (session.read(receiveBuffer.clear()) < 0) {
            session.close();
            return;
        }
        synchronized (this) {
            lastLagSeconds = probeSentAt == NO_PROBE ? lastLagSeconds : probeAgeSeconds();
            probeSentAt = NO_PROBE;
        }
    }

    @Override
    public void outputReady(IOSession session) {
        session.clearEvent(SelectionKey.OP_WRITE);
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) {
        // No timeout is set.
    }

    @Override
    public void exception(IOSession session, Exception e) {
        logConnectionLost(e);
    }

    @Override
    public void disconnected(IOSession session) {
        SocketChannel lostSender = sender;
        if (session != receiver || lostSender == null || closed) {
            // The session belongs to an earlier connection, or to one that is still being established and that its own
            // thread retries, or the monitor is closed.
            return;
        }
        sender = null;
        reset();
        Closer.closeQuietly(lostSender);
        DaemonThreads.create(this::reconnect, "lag-monitor").start();
    }

    /** Connects again; not called by the I/O thread, which would wait for itself. */
    private void reconnect() {
        try {
            sender = TransientFailures.retry("lag-monitor", this::connect);
        } catch (IOException e) {
            logConnectionLost(e);
        }
    }

    /** Stops the measurement. */
    @Override
    public void close() throws IOException {
        closed = true;
        SocketChannel current = sender;
        if (current != null) {
            current.close();
        }
    }
}
