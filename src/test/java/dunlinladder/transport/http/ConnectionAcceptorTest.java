package dunlinladder.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks the bound on the time that a connection has waited in the listen queue, with a real socket. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConnectionAcceptorTest {

    private static final long QUIET_NANOS = 2_000_000_000L;

    private final BlockingQueue<ConnectionArrival> arrivals = new ArrayBlockingQueue<>(4);

    /**
     * No client connects for two seconds, then one does. Its wait must be counted from its arrival, not from the start
     * of the quiet time.
     */
    @Test
    void connectionAfterAQuietTimeHasNotWaited() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ConnectionAcceptor acceptor = new ConnectionAcceptor(anyPort, 16, new Counters(), new Recorder());
        Thread thread = new Thread(acceptor);
        thread.start();
        long quietUntil = System.nanoTime() + QUIET_NANOS;
        while (System.nanoTime() < quietUntil) {
            Thread.onSpinWait();
        }
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), acceptor.port())) {
            ConnectionArrival arrival = arrivals.take();
            assertTrue(client.isConnected() && arrival.maxQueuedNanos() < QUIET_NANOS / 2, arrival.toString());
        } finally {
            acceptor.stop();
        }
    }

    /** Guards against an address on which nobody is accepted any more, after memory was missing once. */
    @Test
    void acceptsAgainAfterAnError() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Counters counters = new Counters();
        Recorder recorder = new Recorder();
        recorder.errorsLeft.set(2);
        ConnectionAcceptor acceptor = new ConnectionAcceptor(anyPort, 16, counters, recorder);
        Thread thread = new Thread(acceptor);
        thread.start();
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), acceptor.port());
                Socket second = new Socket(InetAddress.getLoopbackAddress(), acceptor.port())) {
            assertNotNull(arrivals.take());
            assertEquals(-1, first.getInputStream().read(), "the connection that failed is closed");
            assertTrue(second.isConnected());
            assertEquals(2, counters.count(Counter.ACCEPT_FAILURES));
        } finally {
            acceptor.stop();
        }
    }

    private final class Recorder implements ConnectionAcceptor.Listener {

        /** The next calls throw an error, the first of them before a connection is accepted. */
        private final AtomicInteger errorsLeft = new AtomicInteger();

        @Override
        public void awaitCapacity() {
            if (errorsLeft.compareAndSet(2, 1)) {
                throw new OutOfMemoryError("thrown by the test");
            }
        }

        @Override
        public void accepted(SocketChannel channel, ConnectionArrival arrival) {
            if (errorsLeft.compareAndSet(1, 0)) {
                throw new OutOfMemoryError("thrown by the test");
            }
            arrivals.add(arrival);
        }
    }
}
