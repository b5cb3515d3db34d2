package dunlinladder.routing;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** An event that a {@link Router} handles. */
public sealed interface RoutingEvent {

    /**
     * How an attempt ended. {@code PREFILLED} means that the prefill is complete and the prefill engine holds its KV
     * cache.
     */
    enum Status {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NOT_SENT,
        PREFILLED;

        /** Whether an attempt that ended this way certainly had no effect; a prefill alone has none. */
        public boolean hadNoEffect() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || this == PREFILLED;
        }

        /** Whether the attempt may have reached its engine. */
        public boolean mayHaveArrived() {
            return this != CONNECT_FAILED;
        }
    }

    /** State of an engine in discovery; a {@code LEAVING} engine is draining and gets no new requests. */
    enum Lifecycle {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** Scope of a list of endpoints: changes, all, all as last stored (may be stale), or none after a failed call. */
    enum Scope {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /**
     * One engine in a list of endpoints.
     *
     * @param engine its id
     * @param cell its rack
     * @param weight its part of the load, relative to other engines of its role
     * @param startedAt clock seconds at which its process started; 0 if that was long ago
     */
    record Endpoint(
            String engine, int zone, int kind, int cell, Lifecycle lifecycle, double weight, double startedAt) {}

    /**
     * A client's request.
     *
     * @param expires clock seconds at which the client gives up
     * @param hint rough answer time in seconds at the latency objective for a token; 0 if absent
     * @param prefix key of the prompt's shared prefix; 0 for none
     * @param promptTokens tokens of the prompt, including those of the prefix
     * @param maxOut maximum tokens of the answer
     * @param retry whether the client has sent the request before
     * @param returned whether the client asks for the rest of an interrupted stream
     * @param eligible whether the engine with a given id may get the request at all
     */
    record Request(
            String id,
            int serviceClass,
            int tenant,
            long session,
            double expires,
            double hint,
            long prefix,
            double promptTokens,
            double prefixTokens,
            double maxOut,
            boolean retry,
            boolean returned,
            Predicate<String> eligible) {

        /** Accepts every engine. */
        public static final Predicate<String> ANY_ENGINE = engine -> true;
    }

    /** The endpoints have changed, or a discovery call has failed. */
    record EndpointsChanged(Scope scope, List<Endpoint> endpoints) implements RoutingEvent {}

    /** A client's request has arrived; it must get exactly one final answer. */
    record RequestArrived(Request request) implements RoutingEvent {}

    /**
     * The stream of an attempt has begun.
     *
     * @param elapsed seconds since the attempt was sent
     */
    record FirstTokenReceived(String id, int attempt, String engine, double elapsed) implements RoutingEvent {}

    /**
     * An attempt was written but is not confirmed, and the KV cache for it must not be held any longer. This happens
     * only with sockets; in the simulator, every send arrives.
     */
    record ConfirmationOverdue(String id, int attempt) implements RoutingEvent {}

    /**
     * An attempt has ended.
     *
     * @param elapsed seconds since the attempt was sent
     * @param closed whether the client needs no further answer
     * @param note prompt tokens found cached; with {@code FULL}, 1 if the engine could not get the KV cache
     * @param report the engine's load report by name; may be empty
     * @param arrived whether the attempt is known to have reached the engine's process
     */
    record AttemptEnded(
            String id,
            int attempt,
            String engine,
            Status status,
            double elapsed,
            boolean closed,
            double note,
            Map<String, Double> report,
            boolean arrived)
            implements RoutingEvent {}

    /** The client has disconnected and needs no further answer. */
    record ClientDisconnected(String id) implements RoutingEvent {}

    /** A timer that the router set is due. */
    record TimerFired(long token) implements RoutingEvent {}
}
