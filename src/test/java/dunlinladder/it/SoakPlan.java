package dunlinladder.it;

import java.util.Locale;
import java.util.Random;

/**
 * Parameters of one run of the soak, drawn from its seed.
 *
 * @param lookupSeconds longest deadline of a lookup
 * @param listingSeconds longest deadline of a listing
 * @param clockErrorSeconds error of the gateways' wall clocks at their start
 * @param crowd number of idle client connections to each gateway
 */
record SoakPlan(
        int gateways,
        int engines,
        double lookupSeconds,
        double listingSeconds,
        double clockErrorSeconds,
        int crowd,
        int faultThreads) {

    private static final int MIN_GATEWAYS = 2;
    private static final int MAX_GATEWAYS = 4;
    private static final int MIN_ENGINES = 8;
    private static final int MAX_ENGINES = 12;
    private static final int MAX_FAULT_THREADS = 3;
    private static final double MIN_DEADLINE_SECONDS = 0.4;
    private static final double MAX_DEADLINE_SECONDS = 10;
    private static final double CLOCK_ERROR_SECONDS = 3600;
    private static final double IDLE_CONNECTIONS_CHANCE = 0.2;
    private static final int IDLE_CONNECTIONS = 500;
    /**
     * As specified, SIGKILL comes no sooner after SIGTERM than the longest deadline plus {@link #KILL_GRACE_SECONDS}. A
     * deadline above this maximum counts as the maximum.
     */
    private static final double MAX_DEADLINE_BEFORE_KILL_SECONDS = 3;
    /** As specified, added to the longest deadline. */
    private static final double KILL_GRACE_SECONDS = 0.7;

    static SoakPlan draw(Random random) {
        return new SoakPlan(
                MIN_GATEWAYS + random.nextInt(MAX_GATEWAYS - MIN_GATEWAYS + 1),
                MIN_ENGINES + random.nextInt(MAX_ENGINES - MIN_ENGINES + 1),
                drawDeadline(random),
                drawDeadline(random),
                (random.nextInt(3) - 1) * CLOCK_ERROR_SECONDS,
                random.nextDouble() < IDLE_CONNECTIONS_CHANCE ? IDLE_CONNECTIONS : 0,
                1 + random.nextInt(MAX_FAULT_THREADS));
    }

    /** Draws a deadline on a logarithmic scale, so that short deadlines are as frequent as long ones. */
    private static double drawDeadline(Random random) {
        double ratio = MAX_DEADLINE_SECONDS / MIN_DEADLINE_SECONDS;
        return MIN_DEADLINE_SECONDS * StrictMath.pow(ratio, random.nextDouble());
    }

    double longestDeadline() {
        return Math.max(lookupSeconds, listingSeconds);
    }

    /** Returns the seconds from SIGTERM to the earliest SIGKILL that the platform protocol specification allows. */
    double killSeconds() {
        return Math.min(longestDeadline(), MAX_DEADLINE_BEFORE_KILL_SECONDS) + KILL_GRACE_SECONDS;
    }

    /** Draws the deadline of one request, in seconds. */
    double drawRequestDeadline(boolean listing, Random random) {
        double longest = listing ? listingSeconds : lookupSeconds;
        return MIN_DEADLINE_SECONDS + (longest - MIN_DEADLINE_SECONDS) * random.nextDouble();
    }

    /** Returns the settings of the gateways. */
    String settings() {
        return RunningGateway.SETTINGS
                .replace("\"deadline\":4.0", "\"deadline\":" + formatSeconds(lookupSeconds))
                .replace("\"deadline\":10.0", "\"deadline\":" + formatSeconds(listingSeconds));
    }

    static String formatSeconds(double seconds) {
        return String.format(Locale.ROOT, "%.3f", seconds);
    }
}
