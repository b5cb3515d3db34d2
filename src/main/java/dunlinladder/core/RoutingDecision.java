package dunlinladder.core;

/** What is to be done next for a request. */
public sealed interface RoutingDecision {

    /** Send it to an engine; {@code timeout} is in seconds, 0 for as long as the client waits. */
    record Forward(String engine, double timeout) implements RoutingDecision {}

    /** Refuse it: trying again is harmless. {@code retryAfter} is in seconds, 0 for no advice. */
    record Reject(double retryAfter) implements RoutingDecision {}

    /** Fail it, with no promise. */
    record Fail() implements RoutingDecision {}

    /** The client has left; nothing is owed any more. */
    record Discard() implements RoutingDecision {}
}
