package dunlinladder.transport.http;

/**
 * When a connection was accepted, and for how long it may have waited in the listen queue before. A client's time
 * counts from its send, and what it sent may have waited as long: the system does not tell when it came.
 *
 * @param acceptedAt {@link System#nanoTime} at which it was accepted
 * @param maxQueuedNanos longest time for which it can have waited before that
 */
record ConnectionArrival(long acceptedAt, long maxQueuedNanos) {

    private static final double NANOS_PER_SECOND = 1e9;
    /** A request that is whole so soon after the accept may have been there with the connection. */
    private static final long READ_AT_ONCE_NANOS = 50_000_000;

    /** Longest time in seconds since the first request of the connection, which is whole at {@code now}, was sent. */
    double maxSecondsSinceSend(long now) {
        long sinceAccept = now - acceptedAt;
        return sinceAccept > READ_AT_ONCE_NANOS ? 0 : (maxQueuedNanos + sinceAccept) / NANOS_PER_SECOND;
    }
}
