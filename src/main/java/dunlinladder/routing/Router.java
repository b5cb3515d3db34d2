package dunlinladder.routing;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What the decision module is told and what it answers: the settings of a site, the events that reach one router, and
 * the actions that it asks for. Times are seconds; {@code now} is the clock of the event.
 *
 * <p>A reader does the prefill and keeps the KV cache (the state) until a writer pulls it and decodes.
 */
public interface Router {

    /** Handles one event and returns the actions to carry out, in order. */
    List<Action> handle(double now, Event event);

    /** What a kind of server does: prefill only, decode only, or both. */
    enum Role {
        PREFILL,
        DECODE,
        MIXED
    }

    /** Whether a request may be repeated after an attempt that might have run. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop the repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. {@code PREFILLED} means that the prompt is read and its state waits at the reader. */
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

        /** True when the attempt certainly had no effect. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || this == PREFILLED;
        }
    }

    /** What discovery says of a server. */
    enum Lifecycle {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** The extent of a list: changes, all, all as last held (may be stale), or a failed call. */
    enum Scope {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /** A class of requests; {@code aim} is the TTFT target, {@code tokenAim} the one for time per token. */
    record ServiceClass(
            double aim,
            double aimPerKilotoken,
            double aimStretch,
            double tokenAim,
            Effect effect,
            Group group,
            double repeatWindow,
            double worth,
            double lateWorth) {}

    /** The rules' figures; see the wire's rules of the same names. */
    record Rules(
            double answerSlack,
            double stopSendingWithin,
            double fallMultiple,
            double tipAfter,
            double cold,
            double coldFrom,
            double releaseWithin) {}

    /** What a router is told at its start. {@code quotas}: a tenant's requests per second, all routers. */
    record Settings(
            int balancers,
            int zone,
            List<ServiceClass> classes,
            List<Double> quotas,
            List<Role> roleByKind,
            List<Double> kvTokens,
            int maxAttempts,
            boolean readInPlace,
            boolean retryAfter,
            double maxRetryAfter,
            boolean listOnRequest,
            Rules rules) {}

    /** One server in a list; {@code startedAt} is 0 when it started long ago. */
    record Member(String worker, int zone, int kind, int cell, Lifecycle lifecycle, double weight, double startedAt) {}

    /**
     * A client's request; {@code hint} is a rough answer time at the token aim, 0 if absent. {@code fits} tells whether
     * a server, by its id, may have it at all.
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
            Predicate<String> fits) {

        /** A request that any server may have. */
        public Request(
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
                boolean returned) {
            this(
                    id,
                    serviceClass,
                    tenant,
                    session,
                    expires,
                    hint,
                    prefix,
                    promptTokens,
                    prefixTokens,
                    maxOut,
                    retry,
                    returned,
                    worker -> true);
        }
    }

    /** Anything that a router hears. */
    sealed interface Event permits Members, Arrival, FirstToken, Outcome, ClientGone, Timer {}

    /** News of the list of servers. */
    record Members(Scope scope, List<Member> members) implements Event {}

    /** A client's request came in; it is owed exactly one final answer. */
    record Arrival(Request request) implements Event {}

    /** An attempt's stream began. */
    record FirstToken(String id, int attempt, String worker, double elapsed) implements Event {}

    /**
     * An attempt ended. {@code closed}: nothing is owed any more. {@code note}: prompt tokens found kept, or 1 with
     * {@code FULL} when there was no state. {@code report}: the server's load figures, may be empty.
     */
    record Outcome(
            String id,
            int attempt,
            String worker,
            Status status,
            double elapsed,
            boolean closed,
            double note,
            Map<String, Double> report)
            implements Event {}

    /** The client left; nothing is owed any more. */
    record ClientGone(String id) implements Event {}

    /** A timer that the module asked for is due. */
    record Timer(long token) implements Event {}

    /** Anything that a router does. */
    sealed interface Action permits Send, Refuse, Fail, Release, SetTimer, Follow {}

    /** Sends a request to a server; {@code timeout} 0 means until the client gives up. */
    record Send(String id, String worker, double timeout) implements Action {}

    /** Final answer: not served, and trying again is harmless. */
    record Refuse(String id, double retryAfter) implements Action {}

    /** Final answer: failed, with no promise. */
    record Fail(String id) implements Action {}

    /** Lets go of every state held for a request. */
    record Release(String id) implements Action {}

    /** Asks for a {@link Timer} event. */
    record SetTimer(long token, double delay) implements Action {}

    /** Asks discovery for changes from now on. */
    record Follow() implements Action {}
}
