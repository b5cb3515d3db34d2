package dunlinladder.transport.http;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.io.Closer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections on one address until it is stopped. It continues after every failure of accept: a lack of file
 * descriptors or memory passes, and until then the connection waits in the listen queue. Each retry follows a pause
 * that grows with the number of consecutive failures.
 *
 * <p>Runs on its own thread; {@link #stop} may be called from any other thread.
 */
final class ConnectionAcceptor implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(ConnectionAcceptor.class);

    private static final long MIN_PAUSE_NANOS = 1_000_000;
    private static final long MAX_PAUSE_NANOS = 50_000_000;
    /** Share of a pause that is random, so that gateways on one machine do not retry at the same time. */
    private static final double JITTER = 0.5;
    /** One of this many consecutive failures is logged. */
    private static final int FAILURES_PER_LOG_LINE = 100;
    /** Time for which {@link #stop} waits for the accepting thread to end. */
    private static final long STOP_TIMEOUT_SECONDS = 1;

    /** Receives the accepted connections. */
    interface Listener {

        /** Waits until one more connection is allowed. */
        void awaitCapacity() throws InterruptedException;

        /** Takes over a connection that was accepted; it is closed if this method throws. */
        void accepted(SocketChannel channel, ConnectionArrival arrival);
    }

    private final ServerSocketChannel server;
    private final Selector selector;
    private final Counters counters;
    private final Listener listener;
    private final ListenQueueClock queueClock;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean stopped;
    /** Consecutive failures of accept; used by the accepting thread only. */
    private int consecutiveFailures;

    /**
     * Starts to listen; connections are accepted once this object runs.
     *
     * @param queueLength maximum number of connections that wait in the listen queue to be accepted
     * @throws IOException if the address cannot be listened on
     */
    ConnectionAcceptor(InetSocketAddress address, int queueLength, Counters counters, Listener listener)
            throws IOException {
        this.counters = counters;
        this.listener = listener;
        queueClock = new ListenQueueClock(queueLength, System.nanoTime());
        selector = TransientFailures.retry("open-selector", Selector::open);
        server = TransientFailures.retry("open-listener", ServerSocketChannel::open);
        server.socket().setReuseAddress(true);
        server.bind(address, queueLength);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Returns the port that is listened on. */
    int port() throws IOException {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                acceptOrPause();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
            ended.countDown();
        }
    }

    private void acceptOrPause() throws InterruptedException {
        try {
            try {
                acceptNext();
            } catch (IOException | RuntimeException | Error e) {
                // Catches every kind of failure: a running gateway that accepts nothing would lose its clients
                // unnoticed.
                pauseAfter(e);
            }
        } catch (Error e) {
            // Memory is missing even for the report; goes on without it.
            Thread.onSpinWait();
        }
    }

    private void acceptNext() throws IOException, InterruptedException {
        if (selector.selectNow() == 0) {
            selector.select();
            // The queue was empty until select() returned, so its connections have only just arrived.
            queueClock.recordEmpty(System.nanoTime());
        }
        selector.selectedKeys().clear();
        if (stopped) {
            return;
        }
        // Called only when a connection is waiting; otherwise idle connections would be closed for nothing.
        listener.awaitCapacity();
        SocketChannel channel = stopped ? null : server.accept();
        if (channel != null) {
            handOver(channel);
            consecutiveFailures = 0;
        }
    }

    private void handOver(SocketChannel channel) {
        long now = System.nanoTime();
        try {
            listener.accepted(channel, new ConnectionArrival(now, queueClock.recordAccept(now)));
        } catch (RuntimeException | Error e) {
            Closer.closeQuietly(channel);
            throw e;
        }
    }

    private void pauseAfter(Throwable failure) {
        counters.increment(Counter.ACCEPT_FAILURES);
        if (consecutiveFailures % FAILURES_PER_LOG_LINE == 0) {
            LOG.warn("event=accept_failed reason=\"{}\"", failure.toString());
        }
        long pause = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS << Math.min(consecutiveFailures, Integer.SIZE / 2));
        consecutiveFailures++;
        LockSupport.parkNanos(
                (long) (pause * (1 - JITTER * ThreadLocalRandom.current().nextDouble())));
    }

    /** Stops accepting. The address is free on return, unless the accepting thread has not ended within the timeout. */
    void stop() throws InterruptedException {
        stopped = true;
        selector.wakeup();
        if (!ended.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            LOG.warn("event=accept_failed reason=\"the accepting thread has not ended in time\"");
        }
    }

    private void close() {
        try {
            server.close();
            selector.close();
        } catch (IOException e) {
            LOG.warn("event=accept_failed reason=\"{}\"", e.toString());
        }
    }
}
