package dunlinladder.transport.engine;

import dunlinladder.core.Outcome.Ending;

/**
 * The phase of an attempt, which determines the outcome if the attempt breaks or times out. An engine starts a request
 * when the last byte of the request has arrived. An attempt that ends before that byte was written has therefore
 * certainly not run; one that ends later may have run (platform protocol specification, "Gateways to engines").
 */
enum AttemptPhase {
    /** The connection is not established yet. */
    CONNECTING(Ending.CONNECT_FAILED, Ending.CONNECT_FAILED),

    /** The connection is established, and the last byte of the request is not written yet. */
    WRITING(Ending.CONNECT_FAILED, Ending.CONNECT_FAILED),

    /** The request is written, and nothing was received yet: the request may or may not have arrived. */
    WRITTEN(Ending.RESET, Ending.TIMEOUT),

    /** A byte of the answer was received, but no event yet: the engine's process has read the request. */
    CONFIRMED(Ending.RESET, Ending.TIMEOUT),

    /** At least one event was received. */
    STREAMING(Ending.RESET, Ending.RESET);

    private final Ending endingWhenBroken;
    private final Ending endingWhenTimedOut;

    AttemptPhase(Ending endingWhenBroken, Ending endingWhenTimedOut) {
        this.endingWhenBroken = endingWhenBroken;
        this.endingWhenTimedOut = endingWhenTimedOut;
    }

    /** Returns the ending of an attempt whose connection breaks in this phase or cannot be established. */
    Ending endingWhenBroken() {
        return endingWhenBroken;
    }

    /** Returns the ending of an attempt that is given up in this phase because the engine was silent for too long. */
    Ending endingWhenTimedOut() {
        return endingWhenTimedOut;
    }
}
