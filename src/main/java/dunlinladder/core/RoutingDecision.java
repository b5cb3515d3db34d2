package dunlinladder.core;

/** A decision of the routing policy about the next step for a request. */
public sealed interface RoutingDecision {

    /** For {@link Reject}: the answer does not say when to retry. */
    double NO_ADVICE = 0;

    /**
     * Send the request to an engine.
     *
     * @param engine the engine's id
     * @param timeout seconds to wait for the first token, 0 to wait for as long as the client waits
     */
    record Forward(String engine, double timeout) implements RoutingDecision {}

    /**
     * Reject the request: a retry is harmless.
     *
     * @param retryAfter seconds after which the client may retry, {@link #NO_ADVICE} for none
     */
    record Reject(double retryAfter) implements RoutingDecision {}

    /** Fail the request; whether a retry is harmless is not known. */
    record Fail() implements RoutingDecision {}

    /** Do nothing more: the client has left. */
    record Discard() implements RoutingDecision {}
}
