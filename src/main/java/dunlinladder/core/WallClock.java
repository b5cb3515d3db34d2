package dunlinladder.core;

/**
 * The machine's wall clock, which may be set at any moment, by seconds or hours, in either direction. No wait, deadline
 * or age is counted by it: it is asked only for what other machines state in Unix time, and then checked for sense.
 */
@FunctionalInterface
public interface WallClock {

    /** Milliseconds in a second of Unix time. */
    double MILLIS_PER_SECOND = 1e3;

    /** Unix time now, in seconds. */
    double now();

    /** The wall clock of this machine. */
    static WallClock ofThisMachine() {
        return () -> System.currentTimeMillis() / MILLIS_PER_SECOND;
    }
}
