package dunlinladder.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts how often keys occur. The counts are halved when their sum exceeds a limit, so that recent keys weigh most.
 */
final class DecayingFrequency {
    /** Sum of the counts above which they are halved. */
    private static final int MAX_TOTAL_COUNT = 100;
    /** Count that is added to the sum, so that fractions are small while few keys have been counted. */
    private static final double PRIOR_COUNT = 20;

    private final Map<Long, Double> counts = new HashMap<>();
    private double total;

    void count(long key) {
        counts.merge(key, 1.0, Double::sum);
        if (++total > MAX_TOTAL_COUNT) {
            total /= 2;
            counts.replaceAll((counted, count) -> count / 2);
            counts.values().removeIf(count -> count * MAX_TOTAL_COUNT < 1);
        }
    }

    /** Returns a key's fraction, 0 to 1, of all counts including the assumed one. */
    double fraction(long key) {
        return counts.getOrDefault(key, 0.0) / (total + PRIOR_COUNT);
    }
}
