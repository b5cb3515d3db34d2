package dunlinladder.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import org.junit.jupiter.api.Test;

/** Steps of the wall clock are counted, its ordinary course is not. */
class WallClockMonitorTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private long wallMillis = 1_700_000_000_000L;
    private long monotonicMillis = 5;

    @Test
    void countsStepsInEitherDirectionAndNothingElse() {
        Counters counters = new Counters();
        WallClockMonitor monitor =
                new WallClockMonitor(() -> wallMillis, () -> monotonicMillis * NANOS_PER_MILLI, counters);
        pass(60_000);
        monitor.check();
        assertEquals(0, counters.count(Counter.WALL_CLOCK_STEPS));
        wallMillis -= 3_600_000;
        monitor.check();
        pass(50);
        monitor.check();
        assertEquals(1, counters.count(Counter.WALL_CLOCK_STEPS));
        wallMillis += 7000;
        monitor.check();
        assertEquals("wall_clock_steps=2", counters.logText());
    }

    private void pass(long millis) {
        wallMillis += millis;
        monotonicMillis += millis;
    }
}
