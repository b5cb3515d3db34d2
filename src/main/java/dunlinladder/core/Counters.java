package dunlinladder.core;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;

/** The values of all counters of one gateway. Safe for use by several threads. */
public final class Counters {

    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);

    /** Increments a counter by one. */
    public void increment(Counter counter) {
        counts.incrementAndGet(counter.ordinal());
    }

    /** Returns the current value of a counter. */
    public long count(Counter counter) {
        return counts.get(counter.ordinal());
    }

    /** Returns all counters that are not 0, formatted for the log. */
    public String logText() {
        return Arrays.stream(Counter.values())
                .filter(counter -> count(counter) > 0)
                .map(counter -> counter.logName() + "=" + count(counter))
                .collect(Collectors.joining(" "));
    }
}
