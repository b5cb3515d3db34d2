package dunlinladder.routing;

/**
 * Answers a second of each role (reads done, or streams begun) and the most seen of late, which is what the role can
 * do. Counted over long, a rate shows late after the start, when a cold budget needs it: so there by the time seen.
 * Plain state of one router.
 */
final class ThroughputMeter {

    private final double least;
    private final double window;
    private final double peakFade;
    private final boolean byTimeSeen;
    private final double[] rate = new double[RoutingSettings.Role.values().length];
    private final double[] at = new double[RoutingSettings.Role.values().length];
    private final double[] peak = new double[RoutingSettings.Role.values().length];
    private double firstAt = Double.POSITIVE_INFINITY;

    /**
     * Has seen nothing yet.
     *
     * @param least seconds that the time seen counts as at the least
     * @param window seconds over which answers are counted
     * @param peakFade seconds in which the remembered peak fades to a third
     * @param byTimeSeen whether a rate is taken over the time seen where that is shorter than the window
     */
    ThroughputMeter(double least, double window, double peakFade, boolean byTimeSeen) {
        this.least = least;
        this.window = window;
        this.peakFade = peakFade;
        this.byTimeSeen = byTimeSeen;
    }

    /** Counts one answer. */
    void count(RoutingSettings.Role role, double now) {
        int r = role.ordinal();
        firstAt = Math.min(firstAt, now);
        rate[r] = rate[r] * Math.exp((at[r] - now) / window) + 1 / window;
        double seen = byTimeSeen ? 1 - Math.exp(-Math.max(least, now - firstAt) / window) : 1;
        peak[r] = Math.max(rate[r] / seen, peak[r] * Math.exp((at[r] - now) / peakFade));
        at[r] = now;
    }

    /** Answers a second at the most, of late. */
    double peak(RoutingSettings.Role role) {
        return peak[role.ordinal()];
    }

    /** Clock time of the first answer of all; infinite before any. */
    double firstAt() {
        return firstAt;
    }
}
