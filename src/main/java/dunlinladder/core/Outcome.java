package dunlinladder.core;

import java.util.Map;

/**
 * The result of an attempt that has ended.
 *
 * @param ending how the attempt ended
 * @param note a number whose meaning depends on the ending, as defined in the platform protocol specification: with
 *     {@code OK} and {@code PREFILLED}, the number of prompt tokens that the engine had cached; with {@code FULL}, 1
 *     when the engine found no KV cache to fetch; otherwise 0
 * @param report load figures that came with the response, keyed by their names in the platform protocol specification;
 *     often empty
 */
public record Outcome(Ending ending, double note, Map<String, Double> report) {

    private static final double NO_KV_CACHE = 1;

    /** The ways in which an attempt ends. */
    public enum Ending {
        /** The stream is complete. */
        OK,
        /** The prompt is prefilled and the engine holds its KV cache. */
        PREFILLED,
        /** The engine had no capacity, or found no KV cache to fetch; the request did not run. */
        FULL,
        /** The last byte of the request was not written, whatever the reason; the request did not run. */
        CONNECT_FAILED,
        /** The engine answered with an error. */
        ERROR,
        /**
         * After the request was written, the connection broke, the stream stayed silent for too long, or the stream
         * ended before the event that completes it.
         */
        RESET,
        /** The request was written, but no first token, or no answer to a prefill, came in time. */
        TIMEOUT,
        /** The gateway gave the attempt up because the client had left or the request had expired. */
        CANCELLED,
        /** The engine rejected the request as invalid; every other engine would reject it as well. */
        REJECTED;

        /** Whether an attempt that ended this way certainly had no effect; a prefill alone has none. */
        public boolean hadNoEffect() {
            return this == PREFILLED || this == FULL || this == CONNECT_FAILED;
        }
    }

    /** Returns an outcome without a note and without load figures. */
    public static Outcome of(Ending ending) {
        return new Outcome(ending, 0, Map.of());
    }

    /** Returns the outcome of a decode attempt that found no KV cache to fetch. */
    public static Outcome kvCacheMissing(Map<String, Double> report) {
        return new Outcome(Ending.FULL, NO_KV_CACHE, report);
    }

    /** Whether the engine found no KV cache to fetch. */
    public boolean isKvCacheMissing() {
        return ending == Ending.FULL && note == NO_KV_CACHE;
    }
}
