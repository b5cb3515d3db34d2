package dunlinladder.routing;

/** An exponentially weighted moving average. */
final class Ewma {

    private final double weight;
    private double mean;

    /** Creates an average in which the latest value has the given weight, 0 to 1. */
    Ewma(double initialMean, double weight) {
        this.mean = initialMean;
        this.weight = weight;
    }

    void add(double value) {
        mean = next(mean, value, weight);
    }

    double mean() {
        return mean;
    }

    /** Returns the mean after one more value, for callers that keep the mean themselves. */
    static double next(double mean, double value, double weight) {
        return mean + (value - mean) * weight;
    }
}
