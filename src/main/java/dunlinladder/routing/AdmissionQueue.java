package dunlinladder.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Lets requests in no faster than this process can follow them. A gateway that is short of processor time hears late of
 * what engines have done: what they then hold for it waits too long, and the end of a stream comes late to its client.
 * More requests make both worse, and so do refusals, as clients ask again at once. So while the process is behind,
 * requests wait before anything is done for them; as it catches up they are let in, one at first, then twice as many at
 * each look.
 *
 * @param <T> what waits
 */
final class AdmissionQueue<T> {

    private final double most;
    private final Queue<T> waiting = new ArrayDeque<>();
    private int step = 1;

    /** {@code most} is the lag in seconds above which nothing is let in. */
    AdmissionQueue(double most) {
        this.most = most;
    }

    /** Whether a request that comes now is let in at once; else it waits behind those that already do. */
    boolean open(double lag) {
        return waiting.isEmpty() && lag <= most;
    }

    /** Has a request wait. */
    void add(T request) {
        waiting.add(request);
    }

    /** A request no longer waits. */
    void remove(T request) {
        waiting.remove(request);
    }

    /** One look at the lag, at even times: how many of those that wait are to be let in now. */
    int look(double lag) {
        if (lag > most) {
            step = 1;
            return 0;
        }
        int now = Math.min(step, waiting.size());
        step = waiting.size() > now ? 2 * step : 1;
        return now;
    }

    /** Takes the request that has waited longest. */
    T next() {
        return waiting.remove();
    }
}
