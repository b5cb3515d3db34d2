package dunlinladder.lifecycle;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.WallClock;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects steps of the machine's wall clock by comparing it with the monotonic clock, which is never set. The result is
 * only logged and counted; nothing else in the program depends on it. Not thread-safe.
 */
final class WallClockMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(WallClockMonitor.class);

    /** Larger than the steps by which a clock is slewed, and than the time between the readings of the two clocks. */
    private static final double MIN_STEP_SECONDS = 0.1;

    /** Rounds logged seconds to milliseconds. */
    private static final double MILLIS_PER_SECOND = 1e3;

    private final WallClock wallClock;
    private final DoubleSupplier monotonicSeconds;
    private final Counters counters;
    private double lastOffsetSeconds;

    /** Creates a monitor that takes the current difference of the clocks as correct. */
    WallClockMonitor(WallClock wallClock, DoubleSupplier monotonicSeconds, Counters counters) {
        this.wallClock = wallClock;
        this.monotonicSeconds = monotonicSeconds;
        this.counters = counters;
        this.lastOffsetSeconds = offsetSeconds();
    }

    private double offsetSeconds() {
        return wallClock.now() - monotonicSeconds.getAsDouble();
    }

    /** Compares the clocks and reports a step. Must be called frequently. */
    void check() {
        double offsetSeconds = offsetSeconds();
        double step = offsetSeconds - lastOffsetSeconds;
        if (Math.abs(step) < MIN_STEP_SECONDS) {
            return;
        }
        lastOffsetSeconds = offsetSeconds;
        counters.increment(Counter.WALL_CLOCK_STEPS);
        LOG.warn("event=wall_clock_stepped seconds={}", Math.round(step * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
    }
}
