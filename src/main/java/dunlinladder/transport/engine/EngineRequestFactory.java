package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Outcome;
import dunlinladder.core.Payload;

/** What a front has for the engines: a message for each one, made when it is known which. */
public interface EngineRequestFactory extends Payload {

    /** The message for an engine; called once for each attempt, before it starts. */
    EngineRequest requestFor(Engine engine);

    /**
     * Whether an engine's error says that the request itself is at fault, so that the request has failed.
     *
     * @param body as much of the answer as is kept
     */
    default boolean isRejection(int status, String body) {
        return false;
    }

    /**
     * An attempt ended.
     *
     * @param status of the engine's answer, 0 where there was none
     * @param firstSeconds from the attempt's start to its first event, NaN where there was none
     */
    default void attemptEnded(Engine engine, Outcome outcome, int status, double firstSeconds) {
        // Most fronts learn nothing from it.
    }
}
