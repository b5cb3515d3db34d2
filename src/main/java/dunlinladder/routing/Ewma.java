package dunlinladder.routing;

/** An exponentially weighted moving average. */
final class Ewma {

    private final double weight;
    private double mean;

    /** {@code weight} is that of the latest sample, 0 to 1. */
    Ewma(double initialMean, double weight) {
        this.mean = initialMean;
        this.weight = weight;
    }

    void add(double sample) {
        mean = next(mean, sample, weight);
    }

    double mean() {
        return mean;
    }

    /** The mean after one more sample, for callers that keep the mean themselves. */
    static double next(double mean, double sample, double weight) {
        return mean + (sample - mean) * weight;
    }
}
