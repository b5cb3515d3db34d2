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
    /** A request that is whole so soon after the first read of its connection may have been there all the while. */
    private static final long READ_AT_ONCE_NANOS = 50_000_000;

    /**
     * Longest time in seconds since the first request of the connection, which is whole at {@code now}, was sent. A
     * reading thread that is late may find the request there long after the accept.
     *
     * @param firstReadAt {@link System#nanoTime} at which the connection was read for the first time
     */
    double maxSecondsSinceSend(long firstReadAt, long now) {
        boolean readAtOnce = now - firstReadAt <= READ_AT_ONCE_NANOS;
        return readAtOnce ? (maxQueuedNanos + now - acceptedAt) / NANOS_PER_SECOND : 0;
    }
}
