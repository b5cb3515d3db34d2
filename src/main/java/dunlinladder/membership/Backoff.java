package dunlinladder.membership;

/**
 * Capped exponential backoff with full jitter: a pause is drawn evenly between 0 and a bound that doubles with each
 * failure in a row, so that gateways that lost discovery together do not ask again in step.
 *
 * @param initialSeconds bound of the pause without a failure in a row, over 0
 * @param maxSeconds limit of the doubled bound, not under {@code initialSeconds}
 */
public record Backoff(double initialSeconds, double maxSeconds) {

    /** Doublings after which every bound that is in use has reached its limit; keeps the power finite. */
    private static final int MAX_DOUBLINGS = 20;

    /** Checks the bounds. */
    public Backoff {
        InvalidWatchTimeoutsException.require(initialSeconds > 0, "initialSeconds over 0", initialSeconds);
        InvalidWatchTimeoutsException.require(
                maxSeconds >= initialSeconds, "maxSeconds not under initialSeconds", maxSeconds);
    }

    /**
     * The length of a pause in seconds.
     *
     * @param failures failures in a row, 0 or more
     * @param fraction a random number from 0 to 1, drawn evenly
     */
    public double pauseSeconds(int failures, double fraction) {
        double doubled = initialSeconds * Math.pow(2, Math.min(failures, MAX_DOUBLINGS));
        return fraction * Math.min(maxSeconds, doubled);
    }
}
