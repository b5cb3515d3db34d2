package dunlinladder.routing;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** State of one request that this gateway has accepted. Decides nothing. */
final class RequestState {

    /** An attempt that may have run: the engine it was sent to, and the clock time of the send in seconds. */
    record PossibleRun(EngineState engine, double sentAt) {}

    final RoutingEvent.Request details;
    final RoutingSettings.ServiceClass serviceClass;
    /** Number of attempts so far, which is also the number of the next attempt. */
    int attemptCount;
    /** Attempts without an outcome, by number. */
    final Map<Integer, AttemptState> inFlight = new LinkedHashMap<>();
    /** The prefill engine that holds the KV cache, or null (not an Optional, as it is read for every event). */
    EngineState cacheEngine;
    /** Whether an engine may hold a KV cache for the request, even if no answer has shown it. */
    boolean cacheMayBeHeld;
    /**
     * Clock time in seconds at which the wait of the KV cache last started; see {@link RetryPolicy#cacheWaitExceeded}.
     */
    double cacheHeldSince;
    /** Whether the request has its final answer or its client has disconnected. */
    boolean ended;
    /** Whether its tenant was over its quota when it arrived. */
    boolean overQuota;
    /** The first attempt that may have run. */
    Optional<PossibleRun> possibleRun = Optional.empty();
    /** Engines at which an attempt of the request was not confirmed in time. */
    final Set<EngineState> unconfirmedEngines = new LinkedHashSet<>();
    /** Engines that have failed the request at this stage, or at which an earlier attempt was not confirmed. */
    final Set<EngineState> attemptedEngines = new LinkedHashSet<>();

    RequestState(RoutingEvent.Request details, RoutingSettings.ServiceClass serviceClass) {
        this.details = details;
        this.serviceClass = serviceClass;
    }

    String id() {
        return details.id();
    }

    boolean has(RoutingSettings.Idempotence idempotence) {
        return serviceClass.idempotence() == idempotence;
    }

    /** Returns the latency objective of the first token in seconds, from the service class and the prompt's length. */
    double latencyObjective() {
        return serviceClass.baseLatencyObjective()
                + serviceClass.latencyObjectivePerKilotoken()
                        * details.promptTokens()
                        / LoadEstimator.TOKENS_PER_KILOTOKEN;
    }

    /** Returns the tokens that the answer may have: from the hint if there is one, else the maximum. */
    double outputTokens() {
        return details.hint() > 0 && serviceClass.tokenLatencyObjective() > 0
                ? Math.min(details.hint() / serviceClass.tokenLatencyObjective(), details.maxOut())
                : details.maxOut();
    }
}
