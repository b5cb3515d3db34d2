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
 * Waits for a connection to an engine: first for a slot in the pool, then for the connection to be established. A lease
 * ends once, with a connection, a failure or a timeout. The timer measures the timeout by the monotonic clock, because
 * HttpCore's own timeouts compare readings of the wall clock and do not fire after it was set back.
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
    /** The future of the current step; null before the first step, and if that step completed at once. */
    private Future<?> pending;

    private Future<?> timeout;

    ConnectionLease(HttpHost host, LeaseCallback callback, Counters counters) {
        this.host = host;
        this.callback = callback;
        this.counters = counters;
    }

    /** Ends the lease after {@code seconds} unless it has ended before. */
    void startTimeout(double seconds, ScheduledExecutorService timer) {
        synchronized (this) {
            if (ended) {
                return;
            }
            timeout = timer.schedule(this::timedOut, (long) (seconds * MICROS_PER_SECOND), TimeUnit.MICROSECONDS);
        }
    }

    /** Sets the future of the current step. It is cancelled on timeout, or at once if the lease has already ended. */
    void setPending(Future<?> future) {
        boolean alreadyEnded;
        synchronized (this) {
            alreadyEnded = ended;
            // Another thread may free a slot before the leasing thread sets the slot's future here. The connection's
            // future is already set in that case, and is kept.
            pending = pending == null || pending.isDone() ? future : pending;
        }
        if (alreadyEnded) {
            future.cancel(true);
        }
    }

    /** Whether the lease has ended; a connection that is established later is not used. */
    synchronized boolean hasEnded() {
        return ended;
    }

    /**
     * Ends the lease with a connection; returns false if the lease has already ended and the connection is not used.
     */
    boolean connected(PoolEntry<HttpHost, EngineConnection> entry, boolean reused) {
        if (!end()) {
            return false;
        }
        callback.connected(entry, reused);
        return true;
    }

    /** Ends the lease without a connection; counts the failure and logs its reason. */
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
        failed(Counter.CONNECTS_TIMED_OUT, "not established in time");
        Future<?> toCancel;
        synchronized (this) {
            toCancel = pending;
        }
        if (toCancel != null) {
            toCancel.cancel(true);
        }
    }

    /** Marks the lease as ended; returns false if it had already ended. */
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

    /** Waits for one step of a lease. */
    abstract static class Step<T> implements FutureCallback<T> {

        private final ConnectionLease lease;

        Step(ConnectionLease lease) {
            this.lease = lease;
        }

        /** Returns the lease that this step belongs to. */
        final ConnectionLease lease() {
            return lease;
        }

        /** Releases the resources that this step has acquired, because they will not be used. */
        abstract void releaseAcquired();

        @Override
        public final void failed(Exception e) {
            releaseAcquired();
            lease.failed(Counter.CONNECTS_FAILED, String.valueOf(e));
        }

        @Override
        public final void cancelled() {
            releaseAcquired();
            lease.failed(Counter.CONNECTS_FAILED, "cancelled");
        }
    }
}
