package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;

/**
 * Answers a second of each role (prefills done, or streams begun) and the most seen of late, which is what the role can
 * do. Counted over long, a rate shows late after the start, when slow start needs it: so there by the time seen.
 * Records and estimates; decides nothing.
 */
final class ThroughputMeter {
    /** Seconds over which answers are counted where gateways are few. */
    static final double WINDOW_SECONDS = 4;
    /** How many times longer they are counted where a gateway sees next to nothing; some twenty answers. */
    private static final double MAX_WINDOW_STRETCH = 5;
    /** Seconds in which the remembered peak fades to a third. */
    private static final double PEAK_FADE_SECONDS = 60;

    private final double window;
    private final boolean byTimeSeen;
    private final double[] rate = new double[Role.values().length];
    private final double[] countedAt = new double[Role.values().length];
    private final double[] peak = new double[Role.values().length];
    private double firstAt = Double.POSITIVE_INFINITY;

    /** {@code unobservedLoad} is the part of the fleet's load, 0 to 1, that this gateway does not see. */
    ThroughputMeter(double unobservedLoad) {
        window = WINDOW_SECONDS * (1 + unobservedLoad * (MAX_WINDOW_STRETCH - 1));
        byTimeSeen = unobservedLoad > 0;
    }

    /** Counts one answer at clock time {@code now}. */
    void count(Role role, double now) {
        int index = role.ordinal();
        double countedBefore = countedAt[index];
        firstAt = Math.min(firstAt, now);
        rate[index] = rate[index] * Math.exp((countedBefore - now) / window) + 1 / window;
        double seen = byTimeSeen ? 1 - Math.exp(-Math.max(WINDOW_SECONDS, now - firstAt) / window) : 1;
        double fadedPeak = peak[index] * Math.exp((countedBefore - now) / PEAK_FADE_SECONDS);
        peak[index] = Math.max(rate[index] / seen, fadedPeak);
        countedAt[index] = now;
    }

    /** Answers a second at the most, of late. */
    double peak(Role role) {
        return peak[role.ordinal()];
    }

    /** Clock time of the first answer of all, in seconds; infinite before any. */
    double firstAt() {
        return firstAt;
    }
}
