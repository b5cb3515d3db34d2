package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;

/**
 * Measures the answers per second of each role (prefills completed, or streams begun) and their recent peak, which
 * estimates the capacity of the role. A rate over a long window would rise late after the start, when slow start needs
 * it, so the rate is then corrected for the time observed so far. Records and estimates; decides nothing.
 */
final class ThroughputMeter {
    /** Seconds over which answers are counted with few gateways. */
    static final double WINDOW_SECONDS = 4;
    /** Factor on that window if this gateway observes next to no load; the window then has some twenty answers. */
    private static final double MAX_WINDOW_FACTOR = 5;
    /** Seconds in which the peak decays to a third. */
    private static final double PEAK_DECAY_SECONDS = 60;

    private final double window;
    private final boolean correctForStart;
    private final double[] rate = new double[Role.values().length];
    private final double[] countedAt = new double[Role.values().length];
    private final double[] peak = new double[Role.values().length];
    private double firstAt = Double.POSITIVE_INFINITY;

    /** {@code unobservedLoad} is the fraction of the fleet's load, 0 to 1, that this gateway does not observe. */
    ThroughputMeter(double unobservedLoad) {
        window = WINDOW_SECONDS * (1 + unobservedLoad * (MAX_WINDOW_FACTOR - 1));
        correctForStart = unobservedLoad > 0;
    }

    /** Counts one answer at clock time {@code now}. */
    void count(Role role, double now) {
        int index = role.ordinal();
        double previousAt = countedAt[index];
        firstAt = Math.min(firstAt, now);
        rate[index] = rate[index] * StrictMath.exp((previousAt - now) / window) + 1 / window;
        double windowFraction =
                correctForStart ? 1 - StrictMath.exp(-Math.max(WINDOW_SECONDS, now - firstAt) / window) : 1;
        double decayedPeak = peak[index] * StrictMath.exp((previousAt - now) / PEAK_DECAY_SECONDS);
        peak[index] = Math.max(rate[index] / windowFraction, decayedPeak);
        countedAt[index] = now;
    }

    /** Returns the recent peak in answers per second. */
    double peak(Role role) {
        return peak[role.ordinal()];
    }

    /** Returns the clock time of the first answer of any role, in seconds; infinite before any. */
    double firstAt() {
        return firstAt;
    }
}
