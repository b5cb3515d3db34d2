package dunlinladder.core;

/**
 * The machine's wall clock, which may be set at any moment, by seconds or hours, in either direction. No wait, deadline
 * or age is measured with it. It is read only to interpret times that other machines state in Unix time, and its
 * reading is then checked for plausibility.
 */
@FunctionalInterface
public interface WallClock {

    /** Milliseconds in a second of Unix time. */
    double MILLIS_PER_SECOND = 1e3;

    /** Returns the current Unix time in seconds. */
    double now();

    /** Returns the wall clock of this machine. */
    static WallClock ofThisMachine() {
        return () -> System.currentTimeMillis() / MILLIS_PER_SECOND;
    }
}
