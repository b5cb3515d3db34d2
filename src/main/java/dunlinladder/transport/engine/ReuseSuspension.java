package dunlinladder.transport.engine;

/**
 * Suspends the reuse of idle connections for some time. If a reused connection breaks during its next request, that
 * request is lost, although it may have run. If engines or devices on the way to them drop idle connections without
 * notice, the next reused connections would break the same way, so each request gets a new connection for a while. May
 * be used by any thread.
 */
final class ReuseSuspension {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double durationNanos;
    /** Start of the last suspension, by {@link System#nanoTime}. */
    private volatile long startedAt;

    /** Creates a suspension that is over; each suspension lasts {@code seconds}. */
    ReuseSuspension(double seconds) {
        durationNanos = seconds * NANOS_PER_SECOND;
        startedAt = System.nanoTime() - (long) durationNanos - 1;
    }

    /** Starts a suspension, or starts the current one again. */
    void begin() {
        startedAt = System.nanoTime();
    }

    /** Whether connections must not be reused now. */
    boolean isActive() {
        return System.nanoTime() - startedAt <= durationNanos;
    }
}
