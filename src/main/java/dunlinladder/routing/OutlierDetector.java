package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingEvent.AttemptEnded;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Idempotence;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.function.Predicate;

/**
 * Determines the engines that a request may go to. An engine that is an outlier among the peers of its role is ejected
 * and gets only probes.
 */
final class OutlierDetector {
    /** Seconds until the next probe; doubled for each failure in a row, {@link #MAX_PROBE_DOUBLINGS} times at most. */
    static final double PROBE_INTERVAL_SECONDS = 0.5;
    /** Maximum number of times that the probe interval is doubled. */
    private static final int MAX_PROBE_DOUBLINGS = 3;
    /**
     * Intervals added before a probe with hundreds of gateways, as all of them probe the same engine. With fewer
     * gateways, fewer intervals are added.
     */
    private static final double MAX_EXTRA_PROBE_INTERVALS = 6;
    /** Multiple of the peers' median delay from which an engine is an outlier. */
    private static final double OUTLIER_SLOWNESS = 4;
    /**
     * Consecutive failures from which an engine is an outlier (1 if this gateway does not observe all load), and
     * consecutive failed connects from which it counts as unreachable.
     */
    private static final int OUTLIER_FAILURES = 2;
    /**
     * Maximum ejected fraction of the usable engines of a role. Above it, failures and delays are no evidence against
     * single engines, and only unreachable engines stay ejected.
     */
    private static final double MAX_EJECTED_FRACTION = 0.5;
    /** Seconds for which an engine gets no requests after it has answered FULL because of its own load. */
    private static final double FULL_BACKOFF_SECONDS = 0.1;

    private final PolicyContext context;
    private final RetryPolicy retries;
    private final SlowStartLimiter slowStart;

    OutlierDetector(PolicyContext context, RetryPolicy retries) {
        this.context = context;
        this.retries = retries;
        slowStart = new SlowStartLimiter(context);
    }

    /**
     * Returns the engines that a request may go to: active, healthy or due for a probe, and within their slow-start
     * budget. If too many engines would be ejected, outliers are included unless they are unreachable. Engines that the
     * request has attempted are left out; if none remains, they are included unless they are outliers.
     */
    List<EngineState> candidates(RequestState request, Predicate<EngineState> role) {
        List<EngineState> usable = where(context.engines.values(), engine -> isUsable(request, engine, role));
        List<EngineState> healthy = where(
                usable, engine -> !isOutlier(engine) || engine.unanswered.isEmpty() && probeIsDue(request, engine));
        List<EngineState> reachable = where(
                usable, engine -> engine.consecutiveConnectFailures < OUTLIER_FAILURES || probeIsDue(request, engine));
        List<EngineState> fallback = reachable.isEmpty() ? usable : reachable;
        boolean tooManyEjected = usable.size() - healthy.size() > usable.size() * MAX_EJECTED_FRACTION;
        List<EngineState> untried =
                where(tooManyEjected ? fallback : healthy, engine -> !request.attemptedEngines.contains(engine));
        boolean useUntried = !untried.isEmpty() || request.attemptedEngines.isEmpty();
        return useUntried ? untried : where(fallback, engine -> !isOutlier(engine));
    }

    private boolean isUsable(RequestState request, EngineState engine, Predicate<EngineState> role) {
        return engine.active
                && context.now >= engine.fullUntil
                && role.test(engine)
                && request.details.eligible().test(engine.id)
                && retries.mayRunAt(request, engine)
                && slowStart.mayForward(engine); // last, as it may draw a random number
    }

    boolean isOutlier(EngineState engine) {
        int failures = context.observesAllLoad() ? OUTLIER_FAILURES : 1;
        return engine.consecutiveFailures >= failures || engine.slowness >= OUTLIER_SLOWNESS;
    }

    /**
     * Whether a request may probe an engine now. A probe should be a prefill or a SAFE request, as their retry is
     * harmless. Any other request may be a probe only one interval later.
     */
    private boolean probeIsDue(RequestState request, EngineState engine) {
        boolean retryHarmless = engine.role == Role.PREFILL || request.has(Idempotence.SAFE);
        return context.now >= engine.nextProbeAt + (retryHarmless ? 0 : probeInterval(engine));
    }

    private double probeInterval(EngineState engine) {
        return backoffSeconds(engine.consecutiveFailures) * (1 + MAX_EXTRA_PROBE_INTERVALS * context.unobservedLoad);
    }

    /** Returns the seconds to wait after this number of consecutive failures. */
    static double backoffSeconds(int failures) {
        return PROBE_INTERVAL_SECONDS * (1 << Math.min(failures, MAX_PROBE_DOUBLINGS));
    }

    void postponeProbe(EngineState engine) {
        engine.nextProbeAt = context.now + probeInterval(engine);
    }

    void recordSuccess(AttemptState attempt, double elapsed) {
        attempt.engine.consecutiveFailures = 0;
        context.throughput.count(attempt.engine.role, context.now);
        context.latency.record(attempt.engine, elapsed / attempt.relativeSize);
    }

    /** Updates the failures and delays of the engine from the outcome of an attempt. */
    void recordOutcome(AttemptState attempt, AttemptEnded event) {
        EngineState engine = attempt.engine;
        boolean connected = event.status() != Status.CONNECT_FAILED;
        engine.consecutiveConnectFailures = connected ? 0 : engine.consecutiveConnectFailures + 1;
        switch (event.status()) {
            case PREFILLED -> recordSuccess(attempt, event.elapsed());
            case FULL -> {
                if (event.note() == 0) {
                    engine.fullUntil = context.now + FULL_BACKOFF_SECONDS;
                    recordFailure(engine, 0);
                }
            }
            case TIMEOUT -> {
                if (!attempt.hasFirstToken()) {
                    double delay = event.elapsed() / attempt.relativeSize;
                    // if the delay is usual for the role, the timeout was too short
                    boolean late = delay > OUTLIER_SLOWNESS * context.latency.median(engine.role);
                    recordFailure(engine, late ? 1 : 0);
                    context.latency.record(engine, delay);
                }
            }
            case ERROR, CONNECT_FAILED, RESET -> recordFailure(engine, 1);
            default -> {}
        }
    }

    private void recordFailure(EngineState engine, int consecutiveIncrement) {
        engine.failures.increment(context.now);
        engine.consecutiveFailures += consecutiveIncrement;
        postponeProbe(engine);
    }
}
