package dunlinladder.transport.http;

/**
 * Bounds how long a connection can have waited in the listen queue: it came after the queue was last found empty, and
 * at most as many as the queue holds were before it. Times are {@link System#nanoTime}. One thread at a time.
 */
final class ListenQueueClock {

    /** When each of the last connections was accepted, as many as the queue holds. */
    private final long[] acceptedAt;

    private long accepted;
    private long lastEmptyAt;

    ListenQueueClock(int queueLength, long now) {
        acceptedAt = new long[queueLength];
        lastEmptyAt = now;
    }

    /** Nothing waits in the queue. */
    void foundEmpty(long now) {
        lastEmptyAt = now;
    }

    /** A connection was accepted; returns the longest time in nanoseconds for which it can have waited. */
    long accepted(long now) {
        int place = (int) (accepted % acceptedAt.length);
        long since = accepted < acceptedAt.length ? lastEmptyAt : Math.max(lastEmptyAt, acceptedAt[place]);
        acceptedAt[place] = now;
        accepted++;
        return now - since;
    }
}
