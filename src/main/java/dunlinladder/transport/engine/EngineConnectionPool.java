package dunlinladder.transport.engine;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
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
    private static final double MICROS_PER_SECOND = 1e6;

    private final HttpAsyncRequester requester;
    private final StrictConnPool<HttpHost, EngineConnection> pool;
    private final Limits limits;
    private final ScheduledExecutorService timer;
    private final Counters counters;
    private final ReuseSuspension reuseSuspension;
    private final LastResponses lastResponses = new LastResponses();

    /** Starts the requester; {@code timer} gives connections back for reuse after their moment of rest. */
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
        // The pool's own limit for a route is 5 by default; here only the total binds.
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
                // A handler given to open() comes as the attachment.
                (session, attachment) ->
                        attachment instanceof IOEventHandler handler ? handler : protocol.handlerOf(session),
                null,
                null,
                null,
                // It wants a pool of sessions; the connections here are kept by the pool beside it.
                new StrictConnPool<>(1, 1),
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
            CompletableFuture<IOSession> opened = new CompletableFuture<>();
            requester.requestSession(
                    EngineAddress.host(address), Timeout.DISABLED, handler, new CompletingCallback(opened));
            opened.get((long) (limits.connectSeconds() * MICROS_PER_SECOND), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before a connection to " + address, e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no connection to " + address, e);
        }
    }

    /** Completes a future, whose time-outs count by the monotonic clock, by one of HttpCore's. */
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

    /** Finds an open connection to an address, or opens one, and hands it to the callback. */
    void lease(String address, LeaseCallback callback) {
        HttpHost host;
        try {
            host = EngineAddress.host(address);
        } catch (IOException e) {
            callback.notConnected();
            return;
        }
        ConnectionLease lease = new ConnectionLease(host, callback, counters);
        Future<?> place = pool.lease(host, null, Timeout.DISABLED, new PlacePart(lease, host));
        if (!lease.hasEnded()) {
            lease.endAfter(limits.connectSeconds(), timer);
            if (!place.isDone()) {
                lease.waitFor(place);
            }
        }
    }

    /** Waits for a place in the pool. */
    private final class PlacePart extends ConnectionLease.Part<PoolEntry<HttpHost, EngineConnection>> {
        private final HttpHost host;

        PlacePart(ConnectionLease lease, HttpHost host) {
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
            lease().waitFor(requester.requestSession(host, Timeout.DISABLED, null, new SessionPart(lease(), entry)));
        }

        @Override
        void abandon() {
            // There is no place to be given back.
        }
    }

    /** Waits for a connection to come up. */
    private final class SessionPart extends ConnectionLease.Part<IOSession> {
        private final PoolEntry<HttpHost, EngineConnection> entry;

        SessionPart(ConnectionLease lease, PoolEntry<HttpHost, EngineConnection> entry) {
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
        void abandon() {
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

    /** A reused connection broke under its next request: for a while each request gets a new one. */
    void suspendReuse() {
        reuseSuspension.begin();
    }

    /**
     * Gives a connection back for the next request, after a moment: an engine may send more behind a response than
     * belongs to it, and that must not be taken for the next response. What comes on a connection that waits for
     * nothing closes it.
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
     * Closes a connection now, whatever it carries. A channel that a selector knows is closed for good by the
     * selector's thread, when that gets a core; until then the engine would take the attempt for one that is still out,
     * while its client may already have been rejected. So our sending is ended here and at once.
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

    /** When each address was last found to answer, or at least to accept, on a clock of its own. */
    Map<String, Long> lastResponses() {
        return lastResponses.snapshot();
    }

    /** Whether an address was found to answer, or at least to accept, since a time by {@link System#nanoTime}. */
    boolean wasHeardSince(String address, long nanos) {
        return lastResponses.isLaterThan(address, nanos);
    }

    /** Closes what has been idle too long; to be called now and then. */
    public void closeIdle() {
        lastResponses.expireOlderThan(limits.idleSeconds());
        pool.enumAvailable(entry -> {
            EngineConnection connection = entry.getConnection();
            if (connection != null && connection.idleSeconds() >= limits.idleSeconds()) {
                entry.discardConnection(CloseMode.GRACEFUL);
            }
        });
    }

    /** Closes all connections at once and ends the I/O thread. */
    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
        requester.close(CloseMode.IMMEDIATE);
    }
}
