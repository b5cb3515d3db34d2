package dunlinladder.it;

import java.util.Locale;
import java.util.Random;

/**
 * What one run of the soak is made of, drawn by its seed.
 *
 * @param lookupSeconds longest deadline of a lookup
 * @param listingSeconds longest deadline of a listing
 * @param clockErrorSeconds by which the gateways' wall clocks are off at their start
 * @param crowd idle connections of clients to each gateway
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
    private static final double SHORTEST_DEADLINE_SECONDS = 0.4;
    private static final double LONGEST_DEADLINE_SECONDS = 10;
    private static final double CLOCK_ERROR_SECONDS = 3600;
    private static final double CROWD_CHANCE = 0.2;
    private static final int CROWD_CONNECTIONS = 500;
    /** The page: SIGKILL comes no sooner behind SIGTERM than the longest deadline, taken as this where it is longer. */
    private static final double MAX_KILL_DEADLINE_SECONDS = 3;
    /** The page: "plus 0.7 s". */
    private static final double KILL_GRACE_SECONDS = 0.7;

    static SoakPlan draw(Random random) {
        return new SoakPlan(
                MIN_GATEWAYS + random.nextInt(MAX_GATEWAYS - MIN_GATEWAYS + 1),
                MIN_ENGINES + random.nextInt(MAX_ENGINES - MIN_ENGINES + 1),
                deadline(random),
                deadline(random),
                (random.nextInt(3) - 1) * CLOCK_ERROR_SECONDS,
                random.nextDouble() < CROWD_CHANCE ? CROWD_CONNECTIONS : 0,
                1 + random.nextInt(MAX_FAULT_THREADS));
    }

    /** Short ones as often as long ones. */
    private static double deadline(Random random) {
        double ratio = LONGEST_DEADLINE_SECONDS / SHORTEST_DEADLINE_SECONDS;
        return SHORTEST_DEADLINE_SECONDS * Math.pow(ratio, random.nextDouble());
    }

    double longestDeadline() {
        return Math.max(lookupSeconds, listingSeconds);
    }

    /** From SIGTERM to the earliest SIGKILL that the page allows. */
    double killSeconds() {
        return Math.min(longestDeadline(), MAX_KILL_DEADLINE_SECONDS) + KILL_GRACE_SECONDS;
    }

    /** A deadline of one request. */
    double deadlineOf(boolean listing, Random random) {
        double longest = listing ? listingSeconds : lookupSeconds;
        return SHORTEST_DEADLINE_SECONDS + (longest - SHORTEST_DEADLINE_SECONDS) * random.nextDouble();
    }

    /** The settings of the gateways. */
    String settings() {
        return RunningGateway.SETTINGS
                .replace("\"deadline\":4.0", "\"deadline\":" + text(lookupSeconds))
                .replace("\"deadline\":10.0", "\"deadline\":" + text(listingSeconds));
    }

    static String text(double seconds) {
        return String.format(Locale.ROOT, "%.3f", seconds);
    }
}
