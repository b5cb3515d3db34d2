package dunlinladder.transport.engine;

import dunlinladder.core.Outcome.Ending;

/**
 * How far an attempt has come. What its end proves depends on it (protocol page, "Gateways to engines"): an engine
 * starts a request when the request's last byte has arrived, so an attempt that ends before that byte was written has
 * certainly not run, and one that ends after it may have.
 */
enum AttemptPhase {
    /** There is no connection yet. */
    CONNECTING(Ending.CONNECT_FAILED, Ending.CONNECT_FAILED),

    /** The last byte of the request is not written. */
    WRITING(Ending.CONNECT_FAILED, Ending.CONNECT_FAILED),

    /** The request is written, and nothing has come back: it may or may not have arrived. */
    WRITTEN(Ending.RESET, Ending.TIMEOUT),

    /** A byte of the answer has come back, and no event: the engine's process has read the request. */
    CONFIRMED(Ending.RESET, Ending.TIMEOUT),

    /** At least one event has come back. */
    STREAMING(Ending.RESET, Ending.RESET);

    private final Ending endingWhenBroken;
    private final Ending endingWhenTimedOut;

    AttemptPhase(Ending endingWhenBroken, Ending endingWhenTimedOut) {
        this.endingWhenBroken = endingWhenBroken;
        this.endingWhenTimedOut = endingWhenTimedOut;
    }

    /** How an attempt ends whose connection breaks in this phase, or never comes up. */
    Ending endingWhenBroken() {
        return endingWhenBroken;
    }

    /** How an attempt ends that is given up in this phase because the engine is silent for too long. */
    Ending endingWhenTimedOut() {
        return endingWhenTimedOut;
    }
}
