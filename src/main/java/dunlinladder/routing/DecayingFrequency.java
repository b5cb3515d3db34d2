package dunlinladder.routing;

import java.util.HashMap;
import java.util.Map;

/** Counts of keys, halved each time their sum passes a bound, so that the latest weigh most. */
final class DecayingFrequency {

    private final double most;
    private final double prior;
    private final Map<Long, Double> counts = new HashMap<>();
    private double sum;

    DecayingFrequency(double most, double prior) {
        this.most = most;
        this.prior = prior;
    }

    void count(long key) {
        counts.merge(key, 1.0, Double::sum);
        if (++sum > most) {
            sum /= 2;
            counts.replaceAll((k, count) -> count / 2);
            counts.values().removeIf(count -> count * most < 1);
        }
    }

    /** A key's part of all that was counted and of what was assumed before. */
    double part(long key) {
        return counts.getOrDefault(key, 0.0) / (sum + prior);
    }
}
