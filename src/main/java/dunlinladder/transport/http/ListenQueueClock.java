package dunlinladder.transport.http;

/**
 * Computes an upper bound on the time that a connection has waited in the listen queue. The connection arrived after
 * the queue was last found empty, and the connections ahead of it were at most as many as the queue holds. Times are
 * {@link System#nanoTime}. Used by one thread at a time.
 */
final class ListenQueueClock {

    /** Accept times of the last connections, as many as the queue holds; a ring buffer. */
    private final long[] acceptedAt;

    private long acceptedCount;
    private long lastEmptyAt;

    ListenQueueClock(int queueLength, long now) {
        acceptedAt = new long[queueLength];
        lastEmptyAt = now;
    }

    /** Records that no connection waits in the queue. */
    void recordEmpty(long now) {
        lastEmptyAt = now;
    }

    /** Records that a connection was accepted. Returns an upper bound on its wait in the queue, in nanoseconds. */
    long recordAccept(long now) {
        int slot = (int) (acceptedCount % acceptedAt.length);
        long arrivedAfter = acceptedCount < acceptedAt.length ? lastEmptyAt : Math.max(lastEmptyAt, acceptedAt[slot]);
        acceptedAt[slot] = now;
        acceptedCount++;
        return now - arrivedAfter;
    }
}
