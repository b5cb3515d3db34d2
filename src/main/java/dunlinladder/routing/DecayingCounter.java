package dunlinladder.routing;

/** A count that falls to a third (1/e) within its fade time. */
final class DecayingCounter {

    private final double fadeSeconds;
    private double count;
    private double countedAt;

    DecayingCounter(double fadeSeconds) {
        this.fadeSeconds = fadeSeconds;
    }

    /** Counts one more at clock time {@code now}, in seconds. */
    void increment(double now) {
        count = at(now) + 1;
        countedAt = now;
    }

    double at(double now) {
        return count * Math.exp((countedAt - now) / fadeSeconds);
    }

    void reset() {
        count = 0;
    }
}
