package dunlinladder.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Requests wait here while this process lags: short of processor time it hears late of engines, and rejected clients
 * would ask again at once. As it catches up they are admitted, one at first, then twice as many at each look.
 */
final class AdmissionQueue<T> {
    private static final double MAX_WAIT_FRACTION = 0.5; // of the objective, or of the time left if that is less

    private final double maxSchedulingLag;
    private final Queue<T> waiting = new ArrayDeque<>();
    private int batchSize = 1;

    /** Above {@code maxSchedulingLag} nothing is admitted. */
    AdmissionQueue(double maxSchedulingLag) {
        this.maxSchedulingLag = maxSchedulingLag;
    }

    /** Whether a request that comes now is admitted at once; else it waits behind those that already do. */
    boolean isOpen(double schedulingLag) {
        return waiting.isEmpty() && schedulingLag <= maxSchedulingLag;
    }

    /** Seconds for which a request may wait here before it is rejected. */
    static double maxWaitSeconds(double latencyObjective, double secondsLeft) {
        return Math.min(latencyObjective, secondsLeft) * MAX_WAIT_FRACTION;
    }

    void add(T request) {
        waiting.add(request);
    }

    void remove(T request) {
        waiting.remove(request);
    }

    /** One look at the lag, at even times: how many of those that wait are to be admitted now. */
    int admissible(double schedulingLag) {
        if (schedulingLag > maxSchedulingLag) {
            batchSize = 1;
            return 0;
        }
        int admissible = Math.min(batchSize, waiting.size());
        batchSize = waiting.size() > admissible ? 2 * batchSize : 1;
        return admissible;
    }

    T next() {
        return waiting.remove();
    }
}
