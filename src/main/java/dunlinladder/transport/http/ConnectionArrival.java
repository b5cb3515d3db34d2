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
    /** A request that is whole so soon after its connection was taken up may have been there all the while. */
    private static final long READ_AT_ONCE_NANOS = 50_000_000;

    /**
     * Longest time in seconds since the first request of the connection, which is whole at {@code now}, was sent. A
     * reading thread that is late may find the request there long after the accept; a client may also be silent on its
     * connection for long before it sends one, which is no wait.
     *
     * @param takenUpAt {@link System#nanoTime} at which the reading thread took the connection up
     */
    double maxSecondsSinceSend(long takenUpAt, long now) {
        boolean readAtOnce = now - takenUpAt <= READ_AT_ONCE_NANOS;
        return readAtOnce ? (maxQueuedNanos + now - acceptedAt) / NANOS_PER_SECOND : 0;
    }
}
