package dunlinladder.routing;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What a {@link Router} is told. */
public sealed interface RoutingEvent {

    /**
     * How an attempt ended. {@code PREFILLED} means that the prompt is read and its KV cache waits at the prefill
     * engine.
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

        /** Whether the attempt certainly had no effect. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || this == PREFILLED;
        }

        /** Whether the attempt can have reached its engine. */
        public boolean mayHaveArrived() {
            return this != CONNECT_FAILED;
        }
    }

    /** What discovery says of an engine; a {@code LEAVING} one drains and gets nothing new. */
    enum Lifecycle {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** The extent of a list of endpoints: changes, all, all as last held (may be stale), or a failed call. */
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
     * @param weight its part of the load against that of others of its role
     * @param startedAt clock seconds at which its process started; 0 when that was long ago
     */
    record Endpoint(
            String engine, int zone, int kind, int cell, Lifecycle lifecycle, double weight, double startedAt) {}

    /**
     * A client's request.
     *
     * @param expires clock seconds at which the client gives up
     * @param hint rough answer time in seconds at the latency objective for a token; 0 if absent
     * @param prefix key of the shared beginning of the prompt; 0 for none
     * @param promptTokens tokens of the prompt, those of the prefix included
     * @param maxOut tokens that the answer has at most
     * @param eligible whether an engine, by its id, may have the request at all
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

        /** Every engine may have the request. */
        public static final Predicate<String> ANY_ENGINE = engine -> true;
    }

    /** The endpoints have changed, or discovery could not be asked. */
    record EndpointsChanged(Scope scope, List<Endpoint> endpoints) implements RoutingEvent {}

    /** A client's request has arrived; it is owed exactly one final answer. */
    record RequestArrived(Request request) implements RoutingEvent {}

    /**
     * The stream of an attempt has begun.
     *
     * @param elapsed seconds since the attempt was sent
     */
    record FirstTokenReceived(String id, int attempt, String engine, double elapsed) implements RoutingEvent {}

    /**
     * An attempt was written, and nothing shows that it has arrived, while the KV cache that waits for it cannot wait
     * any longer. Only sockets bring this about: the simulator's sends arrive.
     */
    record ConfirmationOverdue(String id, int attempt) implements RoutingEvent {}

    /**
     * An attempt has ended.
     *
     * @param elapsed seconds since the attempt was sent
     * @param closed whether the client is owed nothing any more
     * @param note prompt tokens found cached; with {@code FULL} 1 when the engine could not get the KV cache
     * @param report the engine's load report by name; may be empty
     * @param arrived whether it is known to have reached the engine's process
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

    /** The client has disconnected; it is owed nothing any more. */
    record ClientDisconnected(String id) implements RoutingEvent {}

    /** A timer that the router set is due. */
    record TimerFired(long token) implements RoutingEvent {}
}
