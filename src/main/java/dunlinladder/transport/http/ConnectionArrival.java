package dunlinladder.transport.http;

/**
 * The time at which a connection was accepted, and how long it may have waited in the listen queue before. The client's
 * timeout starts when it sends its request, and the request may have waited as long as the connection; the operating
 * system does not report when either arrived.
 *
 * @param acceptedAt {@link System#nanoTime} at which the connection was accepted
 * @param maxQueuedNanos upper bound on its wait in the listen queue, in nanoseconds
 */
record ConnectionArrival(long acceptedAt, long maxQueuedNanos) {

    private static final double NANOS_PER_SECOND = 1e9;
    /**
     * A request that is complete within this time after its connection was registered may have been waiting since the
     * client connected.
     */
    private static final long IMMEDIATE_READ_NANOS = 50_000_000;

    /**
     * Returns an upper bound on the seconds since the first request of the connection was sent, 0 if it was not
     * complete soon after the connection was registered. A late I/O thread may read a waiting request long after the
     * accept; but a client may also send nothing for long after it has connected, and that time does not count.
     *
     * @param registeredAt {@link System#nanoTime} at which the I/O thread registered the connection
     * @param now {@link System#nanoTime} at which the request was complete
     */
    double maxSecondsSinceSend(long registeredAt, long now) {
        boolean readImmediately = now - registeredAt <= IMMEDIATE_READ_NANOS;
        return readImmediately ? (maxQueuedNanos + now - acceptedAt) / NANOS_PER_SECOND : 0;
    }
}
