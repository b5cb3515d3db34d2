package dunlinladder.membership;

/**
 * Capped exponential backoff with full jitter. A pause is drawn uniformly between 0 and a bound that doubles with each
 * consecutive failure, so that gateways that lost discovery at the same time do not all retry at the same time.
 *
 * @param initialSeconds bound of the pause after 0 consecutive failures; over 0
 * @param maxSeconds limit of the doubled bound; at least {@code initialSeconds}
 */
public record Backoff(double initialSeconds, double maxSeconds) {

    /** Number of doublings after which every bound in use has reached its limit; keeps the power finite. */
    private static final int MAX_DOUBLINGS = 20;

    /** Checks the bounds. */
    public Backoff {
        InvalidWatchTimeoutsException.require(initialSeconds > 0, "initialSeconds must be over 0", initialSeconds);
        InvalidWatchTimeoutsException.require(
                maxSeconds >= initialSeconds, "maxSeconds must not be under initialSeconds", maxSeconds);
    }

    /**
     * Returns the length of a pause in seconds.
     *
     * @param failures number of consecutive failures, 0 or more
     * @param fraction a uniformly distributed random number from 0 to 1
     */
    public double pauseSeconds(int failures, double fraction) {
        double doubled = initialSeconds * StrictMath.pow(2, Math.min(failures, MAX_DOUBLINGS));
        return fraction * Math.min(maxSeconds, doubled);
    }
}
