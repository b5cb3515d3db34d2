package dunlinladder.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Holds requests back while the scheduling lag of this process is too high. A process without enough processor time
 * handles the answers of engines late, and rejected clients would retry at once. When the lag falls, requests are
 * admitted: one at first, then twice as many at each check.
 */
final class AdmissionQueue<T> {
    /** Maximum wait as a fraction of the latency objective, or of the time left if that is less. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private final double maxSchedulingLag;
    private final Queue<T> waiting = new ArrayDeque<>();
    private int batchSize = 1;

    /** Creates a queue that admits no request while the lag is above {@code maxSchedulingLag} seconds. */
    AdmissionQueue(double maxSchedulingLag) {
        this.maxSchedulingLag = maxSchedulingLag;
    }

    /** Whether a new request is admitted at once; else it waits behind the requests that are queued already. */
    boolean isOpen(double schedulingLag) {
        return waiting.isEmpty() && schedulingLag <= maxSchedulingLag;
    }

    /** Returns the seconds that a request may wait here before it is rejected. */
    static double maxWaitSeconds(double latencyObjective, double secondsLeft) {
        return Math.min(latencyObjective, secondsLeft) * MAX_WAIT_FRACTION;
    }

    void add(T request) {
        waiting.add(request);
    }

    void remove(T request) {
        waiting.remove(request);
    }

    /** Returns how many waiting requests to admit now. Must be called at even intervals, once for each check. */
    int nextBatchSize(double schedulingLag) {
        if (schedulingLag > maxSchedulingLag) {
            batchSize = 1;
            return 0;
        }
        int size = Math.min(batchSize, waiting.size());
        batchSize = waiting.size() > size ? 2 * batchSize : 1;
        return size;
    }

    T next() {
        return waiting.remove();
    }
}
