package dunlinladder.core;

/**
 * Seconds that never run backwards, counted so that they equal Unix time at the start: what other machines state as
 * wall-clock time (an engine's start) then compares with them directly.
 */
public final class Clock {

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double startSeconds = System.currentTimeMillis() / MILLIS_PER_SECOND;
    private final long startNanos = System.nanoTime();

    /** The time now, in seconds. */
    public double now() {
        return startSeconds + (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }
}
