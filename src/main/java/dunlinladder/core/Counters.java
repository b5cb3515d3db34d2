package dunlinladder.core;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;

/** The counts of one gateway. Safe for use by several threads. */
public final class Counters {

    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);

    /** Counts one more. */
    public void increment(Counter counter) {
        counts.incrementAndGet(counter.ordinal());
    }

    /** The count so far. */
    public long count(Counter counter) {
        return counts.get(counter.ordinal());
    }

    /** All counts that are not 0, as the log states them. */
    public String logText() {
        return Arrays.stream(Counter.values())
                .filter(counter -> count(counter) > 0)
                .map(counter -> counter.logName() + "=" + count(counter))
                .collect(Collectors.joining(" "));
    }
}
