package dunlinladder.core;

/**
 * Seconds that never run backwards, counted so that they equal Unix time at the start: what other machines state as
 * wall-clock time (an engine's start) then compares with them directly.
 */
public final class Clock {

    private final double base = System.currentTimeMillis() / 1e3;
    private final long from = System.nanoTime();

    /** The time now. */
    public double now() {
        return base + (System.nanoTime() - from) / 1e9;
    }
}
