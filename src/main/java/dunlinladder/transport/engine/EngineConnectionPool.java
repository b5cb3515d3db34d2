package dunlinladder.transport.engine;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
import dunlinladder.transport.http.ConfinedEventHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
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
 * Outgoing connections: HttpCore's requester opens them and its pool keeps them. The pool holds sessions rather than
 * HttpCore's endpoints: an attempt is given up by closing its connection at once, whereas releasing an endpoint waits
 * for its exchange to end. Nothing is sent twice here.
 *
 * <p>All methods may be called by any thread. One I/O thread of HttpCore serves all connections; the timer returns
 * connections to the pool. This class has no lock except those of the pool itself.
 */
public final class EngineConnectionPool implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EngineConnectionPool.class);

    private static final int IO_THREADS = 1;
    private static final int SELECT_INTERVAL_MILLIS = 50;
    private static final double MICROS_PER_SECOND = 1e6;

    private final HttpAsyncRequester requester;
    private final StrictConnPool<HttpHost, EngineConnection> pool;
    private final Limits limits;
    private final ScheduledExecutorService timer;
    private final Counters counters;
    private final ReuseSuspension reuseSuspension;
    private final LastResponses lastResponses = new LastResponses();

    /** Starts the requester; {@code timer} returns connections to the pool after the reuse delay. */
    public EngineConnectionPool(Limits limits, ScheduledExecutorService timer, Counters counters) {
        this.limits = limits;
        this.timer = timer;
        this.counters = counters;
        this.reuseSuspension = new ReuseSuspension(limits.reuseSuspensionSeconds());
        this.pool = createPool(limits.engineConnections());
        this.requester = createRequester(new EngineProtocol(limits));
        requester.start();
    }

    private static StrictConnPool<HttpHost, EngineConnection> createPool(int maxConnections) {
        // The pool's default limit per route is 5; here only the limit on the total number applies.
        return new StrictConnPool<>(
                maxConnections,
                maxConnections,
                TimeValue.NEG_ONE_MILLISECOND,
                PoolReusePolicy.LIFO,
                EngineConnection::close,
                null);
    }

    private static HttpAsyncRequester createRequester(EngineProtocol protocol) {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(IO_THREADS)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                .build();
        return new HttpAsyncRequester(
                config,
                // A handler that is passed to open() arrives as the attachment.
                (session, attachment) -> new ConfinedEventHandler(
                        () -> attachment instanceof IOEventHandler handler ? handler : protocol.createHandler(session)),
                null,
                null,
                null,
                // The requester requires a pool of sessions, but this class keeps the connections in a separate pool.
                new StrictConnPool<>(1, 1),
                null,
                null,
                null,
                null);
    }

    /**
     * Opens a connection outside the pool. {@code handler} is called by the I/O thread, which also reads from the
     * engines.
     *
     * @throws IOException if the connection is not established in time, or if this thread is interrupted; its interrupt
     *     status is then set
     */
    void open(String address, IOEventHandler handler) throws IOException {
        try {
            CompletableFuture<IOSession> sessionFuture = new CompletableFuture<>();
            requester.requestSession(
                    EngineAddress.host(address), Timeout.DISABLED, handler, new CompletingCallback(sessionFuture));
            sessionFuture.get((long) (limits.connectSeconds() * MICROS_PER_SECOND), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while connecting to " + address, e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("cannot connect to " + address, e);
        }
    }

    /** Passes a result of HttpCore to a {@link CompletableFuture}, whose timeouts use the monotonic clock. */
    private record CompletingCallback(CompletableFuture<IOSession> target) implements FutureCallback<IOSession> {

        @Override
        public void completed(IOSession session) {
            target.complete(session);
        }

        @Override
        public void failed(Exception e) {
            target.completeExceptionally(e);
        }

        @Override
        public void cancelled() {
            target.cancel(false);
        }
    }

    // ---- Leases ----

    /**
     * Finds an idle connection to an address or opens a new one, and passes it to the callback. Reports to the callback
     * if no connection is available within {@link Limits#connectSeconds}.
     */
    void lease(String address, LeaseCallback callback) {
        HttpHost host;
        try {
            host = EngineAddress.host(address);
        } catch (IOException e) {
            callback.notConnected();
            return;
        }
        ConnectionLease lease = new ConnectionLease(host, callback, counters);
        Future<?> slot = pool.lease(host, null, Timeout.DISABLED, new SlotStep(lease, host));
        if (!lease.hasEnded()) {
            lease.startTimeout(limits.connectSeconds(), timer);
            if (!slot.isDone()) {
                lease.setPending(slot);
            }
        }
    }

    /** Waits for a slot in the pool. */
    private final class SlotStep extends ConnectionLease.Step<PoolEntry<HttpHost, EngineConnection>> {
        private final HttpHost host;

        SlotStep(ConnectionLease lease, HttpHost host) {
            super(lease);
            this.host = host;
        }

        @Override
        public void completed(PoolEntry<HttpHost, EngineConnection> entry) {
            if (isReusable(entry)) {
                if (!lease().connected(entry, true)) {
                    pool.release(entry, true);
                }
                return;
            }
            entry.discardConnection(CloseMode.IMMEDIATE);
            if (lease().hasEnded()) {
                pool.release(entry, false);
                return;
            }
            counters.increment(Counter.CONNECTS);
            lease().setPending(requester.requestSession(host, Timeout.DISABLED, null, new ConnectStep(lease(), entry)));
        }

        @Override
        void releaseAcquired() {
            // No slot has been acquired.
        }
    }

    /** Waits for a connection to be established. */
    private final class ConnectStep extends ConnectionLease.Step<IOSession> {
        private final PoolEntry<HttpHost, EngineConnection> entry;

        ConnectStep(ConnectionLease lease, PoolEntry<HttpHost, EngineConnection> entry) {
            super(lease);
            this.entry = entry;
        }

        @Override
        public void completed(IOSession session) {
            entry.assignConnection(new EngineConnection(session));
            if (!lease().connected(entry, false)) {
                discard(entry);
            }
        }

        @Override
        void releaseAcquired() {
            pool.release(entry, false);
        }
    }

    private boolean isReusable(PoolEntry<HttpHost, EngineConnection> entry) {
        EngineConnection connection = entry.getConnection();
        return connection != null
                && connection.isOpen()
                && connection.idleSeconds() < limits.idleSeconds()
                && !reuseSuspension.isActive();
    }

    /**
     * Suspends the reuse of connections after a reused connection broke during its next request: for a while each
     * request gets a new connection.
     */
    void suspendReuse() {
        reuseSuspension.begin();
    }

    /**
     * Returns a connection to the pool after the reuse delay. An engine may send excess bytes after a response, and
     * these must not be read as the next response. Bytes that are received on an idle connection close it.
     */
    void giveBack(PoolEntry<HttpHost, EngineConnection> entry) {
        lastResponses.record(entry.getRoute().toHostString());
        entry.getConnection().markIdle();
        timer.schedule(
                () -> pool.release(entry, entry.getConnection().isOpen()),
                (long) (limits.reuseDelaySeconds() * MICROS_PER_SECOND),
                TimeUnit.MICROSECONDS);
    }

    /**
     * Closes a connection at once, even if it carries a request. A channel that is registered with a selector is fully
     * closed only when the selector's thread runs. Until then the engine would treat the attempt as running, although
     * its client may already have been rejected. Therefore the sending direction is shut down here at once.
     */
    void discard(PoolEntry<HttpHost, EngineConnection> entry) {
        EngineConnection connection = entry.getConnection();
        if (connection != null) {
            try {
                connection.endSending();
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

    /**
     * Returns, by address, when an engine last answered or at least accepted a connection, in nanoseconds since this
     * pool was created.
     */
    Map<String, Long> lastResponses() {
        return lastResponses.snapshot();
    }

    /**
     * Whether the engine at an address has answered, or at least accepted a connection, since a time by
     * {@link System#nanoTime}.
     */
    boolean hasRespondedSince(String address, long sinceNanos) {
        return lastResponses.hasRespondedSince(address, sinceNanos);
    }

    /** Closes the connections that have been idle for too long; called periodically. */
    public void closeIdle() {
        lastResponses.expireOlderThan(limits.idleSeconds());
        pool.enumAvailable(entry -> {
            EngineConnection connection = entry.getConnection();
            if (connection != null && connection.idleSeconds() >= limits.idleSeconds()) {
                entry.discardConnection(CloseMode.GRACEFUL);
            }
        });
    }

    /** Closes all connections at once and stops the I/O thread. */
    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
        requester.close(CloseMode.IMMEDIATE);
    }
}
