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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections on one address until it is told to stop. A failure of accept, whatever it is, ends nothing: the
 * descriptors or the memory that were missing come back, and the connection waits in the listen queue meanwhile. It is
 * tried again after a pause that grows with each failure in a row.
 *
 * <p>A thread of its own does all of it; {@link #stop} may be called by any other one.
 */
final class ConnectionAcceptor implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(ConnectionAcceptor.class);

    private static final long MIN_PAUSE_NANOS = 1_000_000;
    private static final long MAX_PAUSE_NANOS = 50_000_000;
    /** Of a pause: so much of it is random, lest gateways that share a machine try in step. */
    private static final double JITTER = 0.5;
    /** Failures in a row between two lines of the log. */
    private static final int FAILURES_PER_LOG_LINE = 100;
    /** For which {@link #stop} waits for the thread. */
    private static final long STOP_SECONDS = 1;

    /** What becomes of connections. */
    interface Listener {

        /** Waits until there is room for one more connection. */
        void awaitRoom() throws InterruptedException;

        /** A connection was accepted. */
        void accepted(SocketChannel channel, ConnectionArrival arrival);
    }

    private final ServerSocketChannel server;
    private final Selector selector;
    private final Counters counters;
    private final Listener listener;
    private final ListenQueueClock queueClock;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean stopped;
    /** Of accept, in a row; the thread's alone. */
    private int failures;

    /**
     * Listens; connections are accepted once this runs.
     *
     * @param queue connections that the system may hold before they are accepted
     * @throws IOException where the address cannot be listened on
     */
    ConnectionAcceptor(InetSocketAddress address, int queue, Counters counters, Listener listener) throws IOException {
        this.counters = counters;
        this.listener = listener;
        queueClock = new ListenQueueClock(queue, System.nanoTime());
        selector = TransientFailures.retry("open-selector", Selector::open);
        server = TransientFailures.retry("open-listener", ServerSocketChannel::open);
        server.socket().setReuseAddress(true);
        server.bind(address, queue);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** The port that is listened on. */
    int port() throws IOException {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                acceptNext();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
            ended.countDown();
        }
    }

    private void acceptNext() throws InterruptedException {
        try {
            if (selector.selectNow() == 0) {
                selector.select();
                // It was empty all the while: what has come now has just come.
                queueClock.foundEmpty(System.nanoTime());
            }
            selector.selectedKeys().clear();
            if (stopped) {
                return;
            }
            // Only now, as nobody has to make room for a connection that is not there.
            listener.awaitRoom();
            SocketChannel channel = stopped ? null : server.accept();
            if (channel != null) {
                failures = 0;
                long now = System.nanoTime();
                listener.accepted(channel, new ConnectionArrival(now, queueClock.accepted(now)));
            }
        } catch (IOException | RuntimeException e) {
            // Of any kind: a gateway that lives and accepts nothing would lose its clients in silence.
            pauseAfter(e);
        }
    }

    private void pauseAfter(Exception failure) {
        counters.increment(Counter.ACCEPT_FAILURES);
        if (failures % FAILURES_PER_LOG_LINE == 0) {
            LOG.warn("event=accept_failed reason=\"{}\"", failure.toString());
        }
        long pause = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS << Math.min(failures, Integer.SIZE / 2));
        failures++;
        LockSupport.parkNanos(
                (long) (pause * (1 - JITTER * ThreadLocalRandom.current().nextDouble())));
    }

    /** Accepts nothing more; the address is free when it returns, unless that takes longer than it should. */
    void stop() throws InterruptedException {
        stopped = true;
        selector.wakeup();
        if (!ended.await(STOP_SECONDS, TimeUnit.SECONDS)) {
            LOG.warn("event=accept_failed reason=\"still at work when told to stop\"");
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
