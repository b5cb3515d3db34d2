package dunlinladder.routing;

import dunlinladder.routing.AttemptState.Stage;
import dunlinladder.routing.RequestState.PossibleRun;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;

/** Retries and time-outs: whether and where a request may go once more, and how long a try may take. */
final class RetryPolicy {
    static final double SWEEP_SECONDS = 0.02; // between looks at requests that wait; well under every objective
    private static final double END_MARGIN_SECONDS = 0.05; // before the deadline; over two sweeps
    private static final double MAX_CACHE_WAIT_FRACTION = 0.5; // of releaseWithin; the rest is for delays
    private static final double MAX_UNREACHED_FRACTION = 0.8; // of releaseWithin, without reaching a decode engine
    private static final double TIMEOUT_MULTIPLE = 6; // of the usual delay
    private static final double MIN_TIMEOUT_FRACTION = 0.4; // of the latency objective
    private static final double RETRIES_EARNED = 0.2; // by each arrival, so that retries cannot amplify an overload
    private static final double MAX_RETRIES_SAVED = 20;

    private final PolicyContext context;
    private double retryBudget = MAX_RETRIES_SAVED;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    void earn() {
        retryBudget = Math.min(MAX_RETRIES_SAVED, retryBudget + RETRIES_EARNED);
    }

    void spend() {
        retryBudget -= 1;
    }

    int attemptsLeft(RequestState request) {
        return context.settings.maxAttempts() - request.attemptCount;
    }

    /** Whether no further attempt can help or is allowed. */
    boolean isExhausted(RequestState request) {
        boolean mayNotRunAgain = request.possibleRun
                .filter(run -> request.has(Effect.UNSAFE) || request.has(Effect.KEYED) && isForgotten(request, run, 0))
                .isPresent();
        return mayNotRunAgain
                || context.now > request.details.expires() - END_MARGIN_SECONDS
                || attemptsLeft(request) <= 0;
    }

    /** Whether engines have forgotten the key of a possible run, or will within a margin of seconds. */
    private boolean isForgotten(RequestState request, PossibleRun run, double margin) {
        return context.now - run.sentAt() > request.serviceClass.repeatWindow() - margin;
    }

    /** Rule 2: a request that may have run goes only where its repeats are dropped, in time. */
    boolean mayRunAt(RequestState request, EngineState engine) {
        if (engine.role == RoutingSettings.Role.PREFILL || request.possibleRun.isEmpty() || request.has(Effect.SAFE)) {
            return true;
        }
        PossibleRun run = request.possibleRun.get();
        if (request.has(Effect.UNSAFE) || isForgotten(request, run, SWEEP_SECONDS)) {
            return false;
        }
        return switch (request.serviceClass.group()) {
            case ALL -> true;
            case ZONE -> engine.zone() == run.engine().zone();
            case CELL -> engine.rack() == run.engine().rack();
        };
    }

    /** Whether a final answer may promise that asking again is harmless. */
    boolean isClientRetryHarmless(RequestState request) {
        boolean dropped = request.has(Effect.KEYED) && request.serviceClass.group() == Group.ALL;
        return request.possibleRun.isEmpty() || request.has(Effect.SAFE) || dropped;
    }

    /** Seconds until an attempt is given up; 0 (until the client leaves) where nothing better could follow it. */
    double timeout(AttemptState attempt, boolean isOutlier) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        boolean prefill = attempt.stage == Stage.PREFILL;
        boolean canRetry =
                attemptsLeft(request) >= (prefill ? 2 : 1) && (prefill || request.has(Effect.SAFE)) && retryBudget >= 1;
        double expected = isOutlier ? 0 : context.latency.expected(engine);
        double usual = Math.max(context.latency.median(engine.role), expected) * attempt.relativeSize;
        double min = MIN_TIMEOUT_FRACTION * request.latencyObjective();
        double timeout = Math.max(min, TIMEOUT_MULTIPLE * usual);
        return canRetry && timeout < request.details.expires() - context.now - min ? timeout : 0;
    }

    /** Whether KV cache has waited too long for a decode engine. */
    boolean waitedTooLong(RequestState request) {
        return cacheWaitSeconds(request) > context.settings.rules().releaseWithin() * MAX_CACHE_WAIT_FRACTION;
    }

    /**
     * An attempt has ended: whether the KV cache has to be released instead of used once more. Its time begins anew,
     * but not with a decode engine that is not known to have been reached: on sockets it runs on until a send arrives.
     */
    boolean cacheWaitExceeded(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        boolean unreached = attempt.stage == Stage.DECODE && !event.arrived();
        request.cacheWaitsSince = unreached ? request.cacheWaitsSince : context.now;
        return cacheWaitSeconds(request) > context.settings.rules().releaseWithin() * MAX_UNREACHED_FRACTION;
    }

    private double cacheWaitSeconds(RequestState request) {
        return context.now - request.cacheWaitsSince;
    }
}
