package dunlinladder.transport.engine;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
import dunlinladder.core.Seconds;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outgoing connections: HttpCore's requester opens them and its pool keeps them. The pool holds the bare sessions
 * rather than endpoints, because an attempt is given up by closing its connection at once, while an endpoint's own
 * release waits for the exchange to end. Nothing here sends anything twice.
 *
 * <p>All methods may be called by any thread. One I/O thread of HttpCore serves all connections; the timer gives
 * connections back. There is no lock here beside those of the pool itself.
 */
public final class EngineConnectionPool implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EngineConnectionPool.class);

    private static final int IO_THREADS = 1;
    private static final int SELECT_INTERVAL_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpAsyncRequester requester;
    private final StrictConnPool<HttpHost, IOSession> pool;
    private final Limits limits;
    private final Timeout connectTimeout;
    private final ScheduledExecutorService timer;
    private final Counters counters;
    private final ReuseSuspension reuseSuspension;
    private final LastResponses lastResponses = new LastResponses();

    /** Starts the requester; {@code timer} gives connections back for reuse after their moment of rest. */
    public EngineConnectionPool(Limits limits, ScheduledExecutorService timer, Counters counters) {
        this.limits = limits;
        this.connectTimeout = Timeout.ofMilliseconds((long) (limits.connectSeconds() * MILLIS_PER_SECOND));
        this.timer = timer;
        this.counters = counters;
        this.reuseSuspension = new ReuseSuspension(limits.reuseSuspensionSeconds());
        this.pool = createPool(limits.engineConnections());
        this.requester = createRequester(new EngineProtocol(limits), pool);
        requester.start();
    }

    private static StrictConnPool<HttpHost, IOSession> createPool(int maxConnections) {
        // The pool's own limit for a route is 5 by default; here only the total binds.
        return new StrictConnPool<>(
                maxConnections,
                maxConnections,
                TimeValue.NEG_ONE_MILLISECOND,
                PoolReusePolicy.LIFO,
                IOSession::close,
                null);
    }

    private static HttpAsyncRequester createRequester(
            EngineProtocol protocol, StrictConnPool<HttpHost, IOSession> pool) {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(IO_THREADS)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                .build();
        return new HttpAsyncRequester(
                config,
                // A handler given to open() comes as the attachment.
                (session, attachment) ->
                        attachment instanceof IOEventHandler handler ? handler : protocol.handlerOf(session),
                null,
                null,
                null,
                pool,
                null,
                null,
                null,
                null);
    }

    /**
     * Opens a connection beside the pool; its events run on the thread that reads from the engines.
     *
     * @throws IOException if it does not come up in time, or this thread is interrupted, which it then still is
     */
    void open(String address, IOEventHandler handler) throws IOException {
        try {
            requester
                    .requestSession(EngineAddress.host(address), connectTimeout, handler, null)
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before a connection to " + address, e);
        } catch (ExecutionException e) {
            throw new IOException("no connection to " + address, e);
        }
    }

    // ---- Leases ----

    /** Finds an open connection to an address, or opens one, and hands it to the callback. */
    void lease(String address, LeaseCallback callback) {
        HttpHost host;
        try {
            host = EngineAddress.host(address);
        } catch (IOException e) {
            callback.notConnected();
            return;
        }
        long startedAt = System.nanoTime();
        pool.lease(
                host,
                null,
                connectTimeout,
                new ConnectCallback<PoolEntry<HttpHost, IOSession>>(host, startedAt, callback) {
                    @Override
                    public void completed(PoolEntry<HttpHost, IOSession> entry) {
                        connect(host, startedAt, entry, callback);
                    }
                });
    }

    private void connect(HttpHost host, long startedAt, PoolEntry<HttpHost, IOSession> entry, LeaseCallback callback) {
        if (entry.hasConnection() && entry.getConnection().isOpen() && !reuseSuspension.isActive()) {
            callback.connected(entry, true);
            return;
        }
        entry.discardConnection(CloseMode.IMMEDIATE);
        counters.increment(Counter.CONNECTS);
        requester.requestSession(host, connectTimeout, null, new ConnectCallback<IOSession>(host, startedAt, callback) {
            @Override
            public void completed(IOSession session) {
                entry.assignConnection(session);
                callback.connected(entry, false);
            }

            @Override
            public void failed(Exception e) {
                pool.release(entry, false);
                super.failed(e);
            }
        });
    }

    /** Waits for one part of a connection; if that fails, there is none. */
    private abstract class ConnectCallback<T> implements FutureCallback<T> {
        private final HttpHost host;
        private final long startedAt;
        private final LeaseCallback callback;

        ConnectCallback(HttpHost host, long startedAt, LeaseCallback callback) {
            this.host = host;
            this.startedAt = startedAt;
            this.callback = callback;
        }

        @Override
        public void failed(Exception e) {
            boolean timedOut = e == null || e instanceof TimeoutException || e instanceof SocketTimeoutException;
            counters.increment(timedOut ? Counter.CONNECTS_TIMED_OUT : Counter.CONNECTS_FAILED);
            LOG.info(
                    "event=engine_connect_failed address={} seconds={} reason=\"{}\"",
                    host.toHostString(),
                    Seconds.text((System.nanoTime() - startedAt) / NANOS_PER_SECOND),
                    e);
            callback.notConnected();
        }

        @Override
        public void cancelled() {
            failed(null);
        }
    }

    /** A reused connection broke under its next request: for a while each request gets a new one. */
    void suspendReuse() {
        reuseSuspension.begin();
    }

    /**
     * Gives a connection back for the next request, after a moment: an engine may send more behind a response than
     * belongs to it, and that must not be taken for the next response. What comes on a connection that waits for
     * nothing closes it.
     */
    void giveBack(PoolEntry<HttpHost, IOSession> entry) {
        lastResponses.record(entry.getRoute().toHostString());
        timer.schedule(
                () -> {
                    entry.updateExpiry(idleTime());
                    pool.release(entry, entry.getConnection().isOpen());
                },
                (long) (limits.reuseDelaySeconds() * MICROS_PER_SECOND),
                TimeUnit.MICROSECONDS);
    }

    /**
     * Closes a connection now, whatever it carries. A channel that a selector knows is closed for good by the
     * selector's thread, when that gets a core; until then the engine would take the attempt for one that is still out,
     * while its client may already have been rejected. So our sending is ended here and at once.
     */
    void discard(PoolEntry<HttpHost, IOSession> entry) {
        IOSession session = entry.getConnection();
        if (session != null && session.channel() instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                LOG.debug(
                        "event=engine_connection_ended address={} reason=\"{}\"",
                        entry.getRoute().toHostString(),
                        e.toString());
            }
        }
        entry.discardConnection(CloseMode.IMMEDIATE);
        pool.release(entry, false);
    }

    // ---- Idle connections ----

    /** When each address was last found to answer, or at least to accept, on a clock of its own. */
    Map<String, Long> lastResponses() {
        return lastResponses.snapshot();
    }

    /** Closes what has been idle too long; to be called now and then. */
    public void closeIdle() {
        lastResponses.expireOlderThan(limits.idleSeconds());
        pool.closeExpired();
        pool.closeIdle(idleTime());
    }

    private TimeValue idleTime() {
        return TimeValue.ofMilliseconds((long) (limits.idleSeconds() * MILLIS_PER_SECOND));
    }

    /** Closes all connections at once and ends the I/O thread. */
    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
        requester.close(CloseMode.IMMEDIATE);
    }
}
