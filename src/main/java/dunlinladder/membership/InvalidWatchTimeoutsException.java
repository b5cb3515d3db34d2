package dunlinladder.membership;

/** Times of a watch that contradict each other or are out of bounds: a fault of the code that chose them. */
public final class InvalidWatchTimeoutsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private InvalidWatchTimeoutsException(String message) {
        super(message);
    }

    static void require(boolean holds, String requirement, Number value) {
        if (!holds) {
            throw new InvalidWatchTimeoutsException("must be " + requirement + ": " + value);
        }
    }
}
