package dunlinladder.routing;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** One request that this gateway has taken. Plain state; decides nothing. */
final class RequestState {

    /** An attempt that may have run: where it was sent, and when, in clock seconds. */
    record PossibleRun(EngineState engine, double sentAt) {}

    final RoutingEvent.Request details;
    final RoutingSettings.ServiceClass serviceClass;
    /** Attempts so far, the number of the next one. */
    int attemptCount;
    /** Attempts without an outcome, by number. */
    final Map<Integer, AttemptState> inFlight = new LinkedHashMap<>();
    /** The prefill engine on which the KV cache waits, or null; read on the path of every event. */
    EngineState cacheEngine;
    /** True while a KV cache may wait for it somewhere, whether an answer told of it or not. */
    boolean cacheMayRemain;
    /** Clock time in seconds at which the last attempt ended that tells how long a KV cache is held. */
    double cacheWaitsSince;
    /** Nothing is owed any more. */
    boolean ended;
    /** Its tenant was over its quota when it arrived. */
    boolean overQuota;
    /** The first attempt that may have run. */
    Optional<PossibleRun> possibleRun = Optional.empty();
    /** Engines at which an attempt was not known to have arrived in time. */
    final Set<EngineState> unconfirmedEngines = new LinkedHashSet<>();
    /** Engines that have failed it at this stage. */
    final Set<EngineState> attemptedEngines = new LinkedHashSet<>();

    RequestState(RoutingEvent.Request details, RoutingSettings.ServiceClass serviceClass) {
        this.details = details;
        this.serviceClass = serviceClass;
    }

    String id() {
        return details.id();
    }

    boolean has(RoutingSettings.Effect effect) {
        return serviceClass.effect() == effect;
    }

    /** Seconds within which the first token is wanted, by the class and the prompt's length. */
    double latencyObjective() {
        return serviceClass.aim()
                + serviceClass.aimPerKilotoken() * details.promptTokens() / LoadEstimator.TOKENS_PER_KILOTOKEN;
    }

    /** Tokens that the answer may take: from the hint where there is one, else the ceiling. */
    double outputTokens() {
        return details.hint() > 0 && serviceClass.tokenAim() > 0
                ? Math.min(details.hint() / serviceClass.tokenAim(), details.maxOut())
                : details.maxOut();
    }
}
