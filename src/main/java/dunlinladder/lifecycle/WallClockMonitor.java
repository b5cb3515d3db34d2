package dunlinladder.lifecycle;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.WallClock;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells when the machine's wall clock is stepped: compares it with the monotonic clock, which is never set. Nothing in
 * the program depends on it but the log and a count. One thread at a time.
 */
final class WallClockMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(WallClockMonitor.class);

    /** Above the steps by which a clock is slewed, and what passes between two readings. */
    private static final double MIN_STEP_SECONDS = 0.1;

    /** The log states milliseconds. */
    private static final double ROUNDING = 1e3;

    private final WallClock wallClock;
    private final DoubleSupplier monotonicSeconds;
    private final Counters counters;
    private double lastOffsetSeconds;

    /** Starts with the clocks as they are. */
    WallClockMonitor(WallClock wallClock, DoubleSupplier monotonicSeconds, Counters counters) {
        this.wallClock = wallClock;
        this.monotonicSeconds = monotonicSeconds;
        this.counters = counters;
        this.lastOffsetSeconds = offsetSeconds();
    }

    private double offsetSeconds() {
        return wallClock.now() - monotonicSeconds.getAsDouble();
    }

    /** Compares the clocks; to be called often. */
    void check() {
        double offsetSeconds = offsetSeconds();
        double step = offsetSeconds - lastOffsetSeconds;
        if (Math.abs(step) < MIN_STEP_SECONDS) {
            return;
        }
        lastOffsetSeconds = offsetSeconds;
        counters.increment(Counter.WALL_CLOCK_STEPS);
        LOG.warn("event=wall_clock_stepped seconds={}", Math.round(step * ROUNDING) / ROUNDING);
    }
}
