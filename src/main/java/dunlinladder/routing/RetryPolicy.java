package dunlinladder.routing;

import dunlinladder.routing.AttemptState.Stage;
import dunlinladder.routing.RequestState.PossibleRun;
import dunlinladder.routing.RoutingSettings.Idempotence;

/** Decides whether and where a request may be retried, and how long an attempt may take. */
final class RetryPolicy {
    /** Seconds between checks of the waiting requests; well below every latency objective. */
    static final double RECHECK_INTERVAL_SECONDS = 0.02;
    /** Seconds before the deadline in which no further attempt is made; more than two recheck intervals. */
    private static final double DEADLINE_MARGIN_SECONDS = 0.05;
    /** Fraction of {@code releaseWithin} that a KV cache may wait for a decode engine; the rest covers delays. */
    private static final double MAX_CACHE_WAIT_FRACTION = 0.5;
    /** Fraction of {@code releaseWithin} that a KV cache may wait while no attempt reaches a decode engine. */
    private static final double MAX_UNREACHED_WAIT_FRACTION = 0.8;
    /** Timeout of an attempt as a multiple of the usual delay. */
    private static final double TIMEOUT_MULTIPLE = 6;
    /** Minimum timeout of an attempt as a fraction of the latency objective. */
    private static final double MIN_TIMEOUT_FRACTION = 0.4;
    /** Retries that each arrival adds to the retry budget, which prevents retries from amplifying an overload. */
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    /** Maximum retry budget, which is also the initial one, in retries. */
    private static final double MAX_RETRY_BUDGET = 20;

    private final PolicyContext context;
    private double retryBudget = MAX_RETRY_BUDGET;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    void refillBudget() {
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_ARRIVAL);
    }

    void spendBudget() {
        retryBudget -= 1;
    }

    int attemptsLeft(RequestState request) {
        return context.settings.maxAttempts() - request.attemptCount;
    }

    /** Whether no further attempt is allowed or can help. */
    boolean isExhausted(RequestState request) {
        boolean mayNotRunAgain = request.possibleRun
                .filter(run -> request.has(Idempotence.UNSAFE) || isWindowOver(request, run, 0))
                .isPresent();
        return mayNotRunAgain
                || context.now > request.details.expires() - DEADLINE_MARGIN_SECONDS
                || attemptsLeft(request) <= 0;
    }

    /** Whether the window for repeats of a possible run has ended, or will end within {@code margin} seconds. */
    private boolean isWindowOver(RequestState request, PossibleRun run, double margin) {
        return context.now - run.sentAt() > request.serviceClass.rerunRule().windowSeconds() - margin;
    }

    /**
     * Whether a request may run at an engine. A request that may have run is not repeated unless its service class
     * allows it: a SAFE request may run at any engine, a KEYED one only at engines that still drop its repeats.
     */
    boolean mayRunAt(RequestState request, EngineState engine) {
        if (engine.role == RoutingSettings.Role.PREFILL
                || request.possibleRun.isEmpty()
                || request.has(Idempotence.SAFE)) {
            return true;
        }
        PossibleRun run = request.possibleRun.get();
        return !isWindowOver(request, run, RECHECK_INTERVAL_SECONDS)
                && request.serviceClass.rerunRule().covers(run.engine().location(), engine.location());
    }

    /** Whether a final answer may promise that a retry by the client is harmless. */
    boolean isClientRetryHarmless(RequestState request) {
        return request.possibleRun.isEmpty() || request.serviceClass.rerunRule().allowsClientRetry();
    }

    /** Returns the timeout of an attempt in seconds; 0 (the client's deadline) if no retry could follow in time. */
    double timeout(AttemptState attempt, boolean isOutlier) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        boolean prefill = attempt.stage == Stage.PREFILL;
        boolean canRetry = attemptsLeft(request) >= (prefill ? 2 : 1)
                && (prefill || request.has(Idempotence.SAFE))
                && retryBudget >= 1;
        double expectedDelay = isOutlier ? 0 : context.latency.expected(engine);
        double usualDelay = Math.max(context.latency.median(engine.role), expectedDelay) * attempt.relativeSize;
        double minTimeout = MIN_TIMEOUT_FRACTION * request.latencyObjective();
        double timeout = Math.max(minTimeout, TIMEOUT_MULTIPLE * usualDelay);
        return canRetry && timeout < request.details.expires() - context.now - minTimeout ? timeout : 0;
    }

    /** Whether a KV cache has waited too long for a decode engine. */
    boolean cacheWaitedTooLong(RequestState request) {
        return cacheWaitSeconds(request) > context.settings.rules().releaseWithin() * MAX_CACHE_WAIT_FRACTION;
    }

    /**
     * Records the end of an attempt and returns whether the KV cache has to be released instead of used again. The wait
     * of the KV cache starts again, except after a decode attempt that is not known to have reached its engine. On
     * sockets, the wait goes on until a send arrives.
     */
    boolean cacheWaitExceeded(AttemptState attempt, RoutingEvent.AttemptEnded event) {
        RequestState request = attempt.request;
        boolean unreached = attempt.stage == Stage.DECODE && !event.arrived();
        request.cacheHeldSince = unreached ? request.cacheHeldSince : context.now;
        return cacheWaitSeconds(request) > context.settings.rules().releaseWithin() * MAX_UNREACHED_WAIT_FRACTION;
    }

    private double cacheWaitSeconds(RequestState request) {
        return context.now - request.cacheHeldSince;
    }
}
