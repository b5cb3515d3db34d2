package dunlinladder.transport.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The times at which each engine last answered or at least accepted a connection. Releases are sent first to the
 * engines that answered last. May be used by any thread.
 */
final class LastResponses {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long createdAt = System.nanoTime();
    /** Nanoseconds from {@link #createdAt} to the last response, by address. */
    private final Map<String, Long> responseNanos = new ConcurrentHashMap<>();

    /** Records that the engine at an address has answered now. */
    void record(String address) {
        responseNanos.put(address, System.nanoTime() - createdAt);
    }

    /** Removes the engines that have not answered for {@code seconds}. */
    void expireOlderThan(double seconds) {
        long minNanos = System.nanoTime() - createdAt - (long) (seconds * NANOS_PER_SECOND);
        responseNanos.values().removeIf(lastNanos -> lastNanos < minNanos);
    }

    /** Whether the engine at an address has answered after a time by {@link System#nanoTime}. */
    boolean hasRespondedSince(String address, long sinceNanos) {
        Long lastNanos = responseNanos.get(address);
        return lastNanos != null && createdAt + lastNanos > sinceNanos;
    }

    /** Returns a copy of the times, by address, in nanoseconds since this object was created. */
    Map<String, Long> snapshot() {
        return Map.copyOf(responseNanos);
    }
}
