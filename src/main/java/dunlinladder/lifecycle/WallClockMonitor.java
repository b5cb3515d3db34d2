package dunlinladder.lifecycle;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells when the machine's wall clock is stepped: compares it with the monotonic clock, which is never set. Nothing in
 * the program depends on it but the log and a count. One thread at a time.
 */
final class WallClockMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(WallClockMonitor.class);

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Above the steps by which a clock is slewed, and what passes between two readings. */
    private static final long MIN_STEP_MILLIS = 100;

    private final LongSupplier wallMillis;
    private final LongSupplier monotonicNanos;
    private final Counters counters;
    private long lastOffsetMillis;

    /** Starts with the clocks as they are. */
    WallClockMonitor(LongSupplier wallMillis, LongSupplier monotonicNanos, Counters counters) {
        this.wallMillis = wallMillis;
        this.monotonicNanos = monotonicNanos;
        this.counters = counters;
        this.lastOffsetMillis = offsetMillis();
    }

    private long offsetMillis() {
        return wallMillis.getAsLong() - monotonicNanos.getAsLong() / NANOS_PER_MILLI;
    }

    /** Compares the clocks; to be called often. */
    void check() {
        long offsetMillis = offsetMillis();
        long step = offsetMillis - lastOffsetMillis;
        if (Math.abs(step) < MIN_STEP_MILLIS) {
            return;
        }
        lastOffsetMillis = offsetMillis;
        counters.increment(Counter.WALL_CLOCK_STEPS);
        LOG.warn("event=wall_clock_stepped millis={}", step);
    }
}
