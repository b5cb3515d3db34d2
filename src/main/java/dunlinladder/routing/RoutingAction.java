package dunlinladder.routing;

/** An action that a {@link Router} asks its host to execute. */
public sealed interface RoutingAction {

    /**
     * Forwards a request to an engine.
     *
     * @param timeout seconds until the attempt is given up; 0 means until the client's deadline
     */
    record Forward(String id, String engine, double timeout) implements RoutingAction {}

    /**
     * Final answer: not served, and a retry is harmless.
     *
     * @param retryAfter seconds after which the client may retry; 0 for no advice
     */
    record Reject(String id, double retryAfter) implements RoutingAction {}

    /** Final answer: failed, without a promise about retries. */
    record Fail(String id) implements RoutingAction {}

    /** Asks every engine to release the KV cache that it holds for a request. */
    record ReleaseCache(String id) implements RoutingAction {}

    /** Asks for a {@link RoutingEvent.TimerFired} after {@code delay} seconds. */
    record SetTimer(long token, double delay) implements RoutingAction {}

    /** Asks discovery to send endpoint changes from now on. */
    record WatchEndpoints() implements RoutingAction {}
}
