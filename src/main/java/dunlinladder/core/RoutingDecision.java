package dunlinladder.core;

/** What is to be done next for a request. */
public sealed interface RoutingDecision {

    /** For {@link Reject}: the client is not told when to retry. */
    double NO_ADVICE = 0;

    /**
     * Send it to an engine.
     *
     * @param engine the engine's id
     * @param timeout seconds until the first token, 0 for as long as the client waits
     */
    record Forward(String engine, double timeout) implements RoutingDecision {}

    /**
     * Reject it: a retry is harmless.
     *
     * @param retryAfter seconds after which the client may retry, {@link #NO_ADVICE} for none
     */
    record Reject(double retryAfter) implements RoutingDecision {}

    /** Fail it; whether a retry is harmless is not known. */
    record Fail() implements RoutingDecision {}

    /** Do nothing more: the client has left. */
    record Discard() implements RoutingDecision {}
}
