package dunlinladder.routing;

/** A count that decays exponentially: it falls to a third (1/e) within its decay time. */
final class DecayingCounter {

    private final double decaySeconds;
    private double count;
    private double countedAt;

    DecayingCounter(double decaySeconds) {
        this.decaySeconds = decaySeconds;
    }

    /** Counts one more at clock time {@code now}, in seconds. */
    void increment(double now) {
        count = at(now) + 1;
        countedAt = now;
    }

    double at(double now) {
        return count * StrictMath.exp((countedAt - now) / decaySeconds);
    }

    void reset() {
        count = 0;
    }
}
