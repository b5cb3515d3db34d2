package dunlinladder.routing;

import java.util.HashMap;
import java.util.Map;

/** How often keys come: counts, halved each time their sum passes a bound, so that the latest weigh most. */
final class DecayingFrequency {
    /** Sum of the counts past which they are halved. */
    private static final int MAX_COUNTED = 100;
    /** Counts of other keys assumed before any. */
    private static final double PRIOR_COUNT = 20;

    private final Map<Long, Double> counts = new HashMap<>();
    private double total;

    void count(long key) {
        counts.merge(key, 1.0, Double::sum);
        if (++total > MAX_COUNTED) {
            total /= 2;
            counts.replaceAll((counted, count) -> count / 2);
            counts.values().removeIf(count -> count * MAX_COUNTED < 1);
        }
    }

    /** A key's part, 0 to 1, of all that was counted and of what was assumed before. */
    double fraction(long key) {
        return counts.getOrDefault(key, 0.0) / (total + PRIOR_COUNT);
    }
}
