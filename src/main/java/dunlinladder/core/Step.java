package dunlinladder.core;

/** What is to be done next for a request. */
public sealed interface Step {

    /** Send it to an engine; {@code timeout} is in seconds, 0 for as long as the client waits. */
    record Send(String engine, double timeout) implements Step {}

    /** Refuse it: trying again is harmless. {@code retryAfter} is in seconds, 0 for no advice. */
    record Refuse(double retryAfter) implements Step {}

    /** Fail it, with no promise. */
    record Fail() implements Step {}

    /** The client has left; nothing is owed any more. */
    record Drop() implements Step {}
}
