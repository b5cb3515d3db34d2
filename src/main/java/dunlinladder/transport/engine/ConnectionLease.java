package dunlinladder.transport.engine;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Seconds;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One wait for a connection to an engine: for a place in the pool, then for the connection to come up. It ends once, by
 * the connection, by a failure, or after the time it may take, which the timer counts by the monotonic clock:
 * HttpCore's own time-outs compare readings of the wall clock and do not fire once that was set back.
 *
 * <p>The lock of this object guards its fields. It is not held while callbacks run or futures are cancelled.
 */
final class ConnectionLease {

    private static final Logger LOG = LoggerFactory.getLogger(ConnectionLease.class);

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpHost host;
    private final LeaseCallback callback;
    private final Counters counters;
    private final long startedAt = System.nanoTime();
    private boolean ended;
    /** What is waited for now; null before the first wait, and where that was over at once. */
    private Future<?> pending;

    private Future<?> timeout;

    ConnectionLease(HttpHost host, LeaseCallback callback, Counters counters) {
        this.host = host;
        this.callback = callback;
        this.counters = counters;
    }

    /** Ends the wait after {@code seconds}, unless it is over. */
    void endAfter(double seconds, ScheduledExecutorService timer) {
        synchronized (this) {
            if (ended) {
                return;
            }
            timeout = timer.schedule(this::timedOut, (long) (seconds * MICROS_PER_SECOND), TimeUnit.MICROSECONDS);
        }
    }

    /** Names what is waited for, to be cancelled when the time is over; at once where it is. */
    void waitFor(Future<?> future) {
        boolean late;
        synchronized (this) {
            late = ended;
            // The wait for a place is named last where another thread frees one meanwhile.
            pending = pending == null || pending.isDone() ? future : pending;
        }
        if (late) {
            future.cancel(true);
        }
    }

    /** Whether it has ended; what comes then is no longer wanted. */
    synchronized boolean hasEnded() {
        return ended;
    }

    /** Hands the connection over; false where the wait has ended, and then it is not wanted. */
    boolean connected(PoolEntry<HttpHost, EngineConnection> entry, boolean reused) {
        if (!end()) {
            return false;
        }
        callback.connected(entry, reused);
        return true;
    }

    /** There is no connection, for this reason. */
    void failed(Counter counter, String reason) {
        if (!end()) {
            return;
        }
        counters.increment(counter);
        LOG.info(
                "event=engine_connect_failed address={} seconds={} reason=\"{}\"",
                host.toHostString(),
                Seconds.text((System.nanoTime() - startedAt) / NANOS_PER_SECOND),
                reason);
        callback.notConnected();
    }

    private void timedOut() {
        failed(Counter.CONNECTS_TIMED_OUT, "not up in time");
        Future<?> unwanted;
        synchronized (this) {
            unwanted = pending;
        }
        if (unwanted != null) {
            unwanted.cancel(true);
        }
    }

    /** Whether this is the end. */
    private synchronized boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        return true;
    }

    /** Waits for one part of a connection on behalf of a lease. */
    abstract static class Part<T> implements FutureCallback<T> {

        private final ConnectionLease lease;

        Part(ConnectionLease lease) {
            this.lease = lease;
        }

        /** The lease that waits. */
        final ConnectionLease lease() {
            return lease;
        }

        /** Frees what the part had taken, as it will not be used. */
        abstract void abandon();

        @Override
        public final void failed(Exception e) {
            abandon();
            lease.failed(Counter.CONNECTS_FAILED, String.valueOf(e));
        }

        @Override
        public final void cancelled() {
            abandon();
            lease.failed(Counter.CONNECTS_FAILED, "cancelled");
        }
    }
}
