package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Payload;

/**
 * What a front has for the engines: a request for each one, made when it is known which, and what the front makes of
 * the engine's answer.
 */
public interface EngineRequestFactory extends Payload {

    /** The request for an engine; called once for each attempt, before it starts. */
    EngineRequest requestFor(Engine engine);

    /**
     * Whether an engine's error says that the request itself is at fault, so that the request has failed. Called by
     * HttpCore's I/O thread.
     *
     * @param status of the engine's response
     * @param body as much of the response as is kept
     */
    default boolean isRejection(int status, String body) {
        return false;
    }

    /**
     * An attempt has ended. Called once for each attempt, by the thread that ends it and under that attempt's lock, so
     * it must not wait.
     *
     * @param status of the engine's response, 0 where there was none
     * @param firstTokenSeconds from the attempt's start to its first event, NaN where there was none
     */
    default void attemptEnded(Engine engine, Outcome outcome, int status, double firstTokenSeconds) {
        // Most fronts learn nothing from it.
    }
}
