package dunlinladder.transport.engine;

/**
 * For how long kept connections are not reused. A reused connection that breaks under its next request may have lost
 * that request, which may have run. Where engines or what lies between end idle connections without a word, the next
 * ones would break the same way: for a while each request gets a new connection. May be used by any thread.
 */
final class ReuseSuspension {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double nanos;
    /** By {@link System#nanoTime}. */
    private volatile long begunAt;

    /** Creates a suspension that is over; each one lasts {@code seconds}. */
    ReuseSuspension(double seconds) {
        nanos = seconds * NANOS_PER_SECOND;
        begunAt = System.nanoTime() - (long) nanos - 1;
    }

    /** Begins a suspension, or begins it anew. */
    void begin() {
        begunAt = System.nanoTime();
    }

    /** Whether connections must not be reused now. */
    boolean isActive() {
        return System.nanoTime() - begunAt <= nanos;
    }
}
