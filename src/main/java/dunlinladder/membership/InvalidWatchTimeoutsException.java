package dunlinladder.membership;

/** Thrown when times of a watch contradict each other or are out of bounds; a fault of the code that passes them. */
public final class InvalidWatchTimeoutsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private InvalidWatchTimeoutsException(String message) {
        super(message);
    }

    static void require(boolean condition, String requirement, Number value) {
        if (!condition) {
            throw new InvalidWatchTimeoutsException("invalid watch timeouts: " + requirement + ", but is " + value);
        }
    }
}
