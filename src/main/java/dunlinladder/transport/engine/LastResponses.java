package dunlinladder.transport.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When each engine was last found to answer, or at least to accept a connection. Releases go to those first that
 * answered last. May be used by any thread.
 */
final class LastResponses {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long createdAt = System.nanoTime();
    /** Nanoseconds since {@link #createdAt}, by address. */
    private final Map<String, Long> lastAt = new ConcurrentHashMap<>();

    /** An engine has answered now. */
    void record(String address) {
        lastAt.put(address, System.nanoTime() - createdAt);
    }

    /** Expires the engines that have not answered for {@code seconds}. */
    void expireOlderThan(double seconds) {
        long oldest = System.nanoTime() - createdAt - (long) (seconds * NANOS_PER_SECOND);
        lastAt.values().removeIf(at -> at < oldest);
    }

    /** Whether an engine has answered since a time by {@link System#nanoTime}. */
    boolean isLaterThan(String address, long nanos) {
        Long at = lastAt.get(address);
        return at != null && createdAt + at > nanos;
    }

    /** A copy: by address, nanoseconds on a clock of its own; greater is later. */
    Map<String, Long> snapshot() {
        return Map.copyOf(lastAt);
    }
}
