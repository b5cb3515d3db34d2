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
 * Measures how long a byte that has arrived waits until the thread that reads from the engines reads it: a connection
 * from this process to itself, beside those to the engines. The age of an engine's answer can't be seen, but it has
 * waited in the same queue.
 *
 * <p>The timer sends the probes, any thread asks for the lag, HttpCore's I/O thread receives. The lock of this object
 * guards {@code probeSentAt} and {@code lastLagSeconds}; it is not held while the sockets are used. A connection that
 * breaks is made anew; without one there is no lag to tell of.
 */
public final class SchedulingLagMonitor implements IOEventHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(SchedulingLagMonitor.class);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROBE_BYTES = 1;
    private static final int RECEIVE_BYTES = 16;

    /** The value of {@link #probeSentAt} while no probe is out. */
    private static final long NO_PROBE = 0;

    private final EngineConnectionPool connections;
    /** The end that sends; null while there is no connection. */
    private volatile SocketChannel sender;

    /** The end that receives, of the connection that was made last; the I/O thread's alone. */
    private IOSession receiver;

    private volatile boolean closed;
    /** Used by the timer only. */
    private final ByteBuffer probe = ByteBuffer.allocate(PROBE_BYTES);
    /** Used by the I/O thread only. */
    private final ByteBuffer received = ByteBuffer.allocate(RECEIVE_BYTES);
    /** When the probe that is out was sent, by {@link System#nanoTime}. */
    private long probeSentAt = NO_PROBE;

    private double lastLagSeconds;

    /**
     * Opens the connection.
     *
     * @param connections whose I/O thread is watched
     * @throws IOException if this process can't connect to itself, for some seconds
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

    /** Sends a probe unless one is out or there is no connection; to be called often, by one thread. */
    public void probe() {
        SocketChannel current = sender;
        synchronized (this) {
            if (probeSentAt != NO_PROBE || current == null) {
                return;
            }
            probeSentAt = System.nanoTime();
        }
        try {
            current.write(probe.clear());
        } catch (IOException e) {
            logLost(e);
            reset();
        }
    }

    /** Seconds by which this process is behind, at least 0; a probe that is still out counts by its age. */
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

    private static void logLost(Exception reason) {
        LOG.warn("event=lag_monitor_lost reason=\"{}\"", reason.toString());
    }

    // ---- Called by the I/O thread ----

    @Override
    public void connected(IOSession session) {
        receiver = session;
        session.setEvent(SelectionKey.OP_READ);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer ahead) throws IOException {
        if (session.read(received.clear()) < 0) {
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
        // Has none.
    }

    @Override
    public void exception(IOSession session, Exception e) {
        logLost(e);
    }

    @Override
    public void disconnected(IOSession session) {
        SocketChannel lost = sender;
        if (session != receiver || lost == null || closed) {
            // An earlier try to connect, or one that is under way and is repeated by its own thread.
            return;
        }
        sender = null;
        reset();
        Closer.closeQuietly(lost);
        DaemonThreads.create(this::reconnect, "lag-monitor").start();
    }

    /** Not on the I/O thread, which would wait for itself. */
    private void reconnect() {
        try {
            sender = TransientFailures.retry("lag-monitor", this::connect);
        } catch (IOException e) {
            logLost(e);
        }
    }

    /** Ends the measurement. */
    @Override
    public void close() throws IOException {
        closed = true;
        SocketChannel current = sender;
        if (current != null) {
            current.close();
        }
    }
}
