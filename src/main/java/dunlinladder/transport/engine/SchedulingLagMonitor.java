package dunlinladder.transport.engine;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How long a byte that has come waits until the thread that hears the engines reads it: a connection from this process
 * to itself, beside those to the engines. The age of an engine's answer can't be seen, but it has waited in the same
 * row.
 */
public final class SchedulingLagMonitor implements IOEventHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(SchedulingLagMonitor.class);

    private final SocketChannel sending;
    private final ByteBuffer beat = ByteBuffer.allocate(1);
    private final ByteBuffer heard = ByteBuffer.allocate(16);
    /** When the beat that is out was sent, by the system's clock of nanoseconds; 0 while none is out. */
    private long sentAt;

    private double last;

    /** Opens the connection. */
    public SchedulingLagMonitor(EngineConnectionPool connections) throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            connections.open(InetAddress.getLoopbackAddress().getHostAddress() + ":" + port, this);
            sending = listener.accept();
            sending.configureBlocking(false);
        }
    }

    /** Sends a beat unless one is out; to be called often. */
    public void probe() {
        synchronized (this) {
            if (sentAt != 0) {
                return;
            }
            sentAt = System.nanoTime();
        }
        try {
            sending.write(beat.clear());
        } catch (IOException e) {
            LOG.warn("the pulse is lost: {}", e.toString());
            lost();
        }
    }

    /** Seconds by which this process is behind, as far as is known: what is still out counts by its age. */
    public synchronized double lag() {
        return Math.max(last, sentAt == 0 ? 0 : (System.nanoTime() - sentAt) / 1e9);
    }

    private synchronized void lost() {
        sentAt = 0;
        last = 0;
    }

    @Override
    public void connected(IOSession session) {
        session.setEvent(SelectionKey.OP_READ);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer ahead) throws IOException {
        if (session.read(heard.clear()) < 0) {
            session.close();
            return;
        }
        synchronized (this) {
            last = sentAt == 0 ? last : (System.nanoTime() - sentAt) / 1e9;
            sentAt = 0;
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
        LOG.warn("the pulse: {}", e.toString());
    }

    @Override
    public void disconnected(IOSession session) {
        lost();
    }

    @Override
    public void close() throws IOException {
        sending.close();
    }
}
