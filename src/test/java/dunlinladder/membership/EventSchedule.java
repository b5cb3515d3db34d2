package dunlinladder.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/** What a discovery will do in virtual time: events by the time at which they are due, then by the order of entry. */
final class EventSchedule {

    private record Due(double at, long number, WatchEvent event) {}

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    private long number;

    void add(double at, WatchEvent event) {
        queue.add(new Due(at, number++, event));
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** When the next event is due; infinite where there is none. */
    double nextAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().at;
    }

    /** Takes the next event out; there must be one. */
    WatchEvent poll() {
        return queue.remove().event;
    }

    void removeIf(Predicate<WatchEvent> which) {
        queue.removeIf(due -> which.test(due.event));
    }

    void clear() {
        queue.clear();
    }
}
