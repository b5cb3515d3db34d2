package dunlinladder.core;

import java.util.Map;

/**
 * How an attempt ended.
 *
 * @param note prompt tokens found kept; with {@code FULL}, 1 when the engine had no state to fetch
 * @param report load figures that came with the answer, often none
 */
public record Outcome(Ending ending, double note, Map<String, Double> report) {

    /** The ways in which an attempt ends. */
    public enum Ending {
        OK,
        PREFILLED,
        FULL,
        CONNECT_FAILED,
        ERROR,
        RESET,
        TIMEOUT,
        CANCELLED,
        /** The engine understood the request and finds it at fault itself: any other would say the same. */
        REJECTED;

        /** Whether the attempt certainly had no effect. */
        public boolean neverRan() {
            return this == PREFILLED || this == FULL || this == CONNECT_FAILED;
        }
    }

    /** An ending that brought no figures. */
    public static Outcome of(Ending ending) {
        return new Outcome(ending, 0, Map.of());
    }
}
