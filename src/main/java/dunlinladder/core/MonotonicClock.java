package dunlinladder.core;

/**
 * The clock of all deadlines, windows, waits and ages: seconds that never run backwards and are never set. Its readings
 * mean nothing outside this process; what other machines state of times is {@link EngineStartTimes}'s alone.
 */
public final class MonotonicClock {

    /**
     * The reading at the start, high enough that times long before it are still over 0, which stands for "long ago".
     */
    static final double ORIGIN_SECONDS = 1e8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();

    /** The time now, in seconds. */
    public double now() {
        return ORIGIN_SECONDS + (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }
}
