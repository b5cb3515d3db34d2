package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Payload;

/**
 * The payload of a front: creates the request for each engine once the engine is chosen, and evaluates the engine's
 * answer.
 */
public interface EngineRequestFactory extends Payload {

    /** Returns the request for an engine; called once for each attempt, before the attempt starts. */
    EngineRequest requestFor(Engine engine);

    /**
     * Whether an engine's error says that the request itself is at fault, so that the request has failed. Called by
     * HttpCore's I/O thread.
     *
     * @param status HTTP status of the engine's response
     * @param body the part of the response body that was kept
     */
    default boolean isRejection(int status, String body) {
        return false;
    }

    /**
     * Reports that an attempt has ended. Called once for each attempt, by the thread that ends it and with the lock of
     * the attempt held, so it must not wait.
     *
     * @param status HTTP status of the engine's response, 0 if there was none
     * @param firstTokenSeconds seconds from the attempt's start to its first event, NaN if there was none
     */
    default void attemptEnded(Engine engine, Outcome outcome, int status, double firstTokenSeconds) {
        // Most fronts do not use it.
    }
}
