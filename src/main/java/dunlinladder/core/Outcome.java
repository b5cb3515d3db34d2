package dunlinladder.core;

import java.util.Map;

/**
 * How an attempt ended.
 *
 * @param ending in which of the known ways
 * @param note a figure that goes with the ending, as on the protocol page: prompt tokens that the engine had cached;
 *     with {@code FULL}, 1 when the engine found no KV cache to fetch
 * @param report load figures that came with the response, by their names on the protocol page; often none
 */
public record Outcome(Ending ending, double note, Map<String, Double> report) {

    private static final double NO_KV_CACHE = 1;

    /** The ways in which an attempt ends. */
    public enum Ending {
        /** The stream is complete. */
        OK,
        /** The prompt is prefilled and its KV cache waits at the engine. */
        PREFILLED,
        /** The engine had no capacity, or found no KV cache to fetch; the request did not run. */
        FULL,
        /** Nothing was sent. */
        CONNECT_FAILED,
        /** The engine answered with an error. */
        ERROR,
        /** The connection broke. */
        RESET,
        /** Nothing came in time. */
        TIMEOUT,
        /** The gateway gave the attempt up, as the client had left. */
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

    /** The end of a decode attempt that found no KV cache to fetch. */
    public static Outcome kvCacheMissing(Map<String, Double> report) {
        return new Outcome(Ending.FULL, NO_KV_CACHE, report);
    }

    /** Whether the engine found no KV cache to fetch. */
    public boolean isKvCacheMissing() {
        return ending == Ending.FULL && note == NO_KV_CACHE;
    }
}
