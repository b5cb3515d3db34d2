package dunlinladder.transport.http;

import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the heap that the data of all requests takes together. Safe for use by several threads. */
public final class MemoryBudget {

    private final long maxBytes;
    private final Counters counters;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Creates a budget of {@code maxBytes} bytes of heap; refusals are counted. */
    public MemoryBudget(long maxBytes, Counters counters) {
        this.maxBytes = maxBytes;
        this.counters = counters;
    }

    /** Creates a reservation of 0 bytes for one request. */
    public Reservation open() {
        return new Reservation();
    }

    private boolean reserve(long bytes) {
        long before =
                reservedBytes.getAndUpdate(reserved -> reserved + bytes <= maxBytes ? reserved + bytes : reserved);
        boolean granted = before + bytes <= maxBytes;
        if (!granted) {
            counters.increment(Counter.REQUEST_MEMORY_REFUSED);
        }
        return granted;
    }

    /** The part of the budget that the data of one request takes. */
    public final class Reservation {

        private long bytes;
        private boolean released;

        private Reservation() {}

        /**
         * Changes the reservation to {@code newBytes}. A smaller one is always granted.
         *
         * @return false, without effect, if the budget has no room for it or the reservation was released
         */
        public synchronized boolean resize(long newBytes) {
            if (released || newBytes > bytes && !reserve(newBytes - bytes)) {
                return false;
            }
            if (newBytes < bytes) {
                reservedBytes.addAndGet(newBytes - bytes);
            }
            bytes = newBytes;
            return true;
        }

        /** Returns all bytes to the budget; nothing more is reserved afterwards. */
        public synchronized void release() {
            released = true;
            reservedBytes.addAndGet(-bytes);
            bytes = 0;
        }
    }
}
