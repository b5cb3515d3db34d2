package dunlinladder.core;

/**
 * The clock for all deadlines, windows, waits and ages. It counts seconds, never runs backwards and is never set. Its
 * readings mean nothing outside this process; only {@link EngineStartTimes} handles times that other machines report.
 */
public final class MonotonicClock {

    /**
     * The reading when the clock is created. It is so high that times long before it are still over 0, because 0 stands
     * for "long ago".
     */
    static final double ORIGIN_SECONDS = 1e8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();

    /** Returns the current clock time in seconds. */
    public double now() {
        return ORIGIN_SECONDS + (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }
}
