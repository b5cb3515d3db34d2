package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingEvent.AttemptEnded;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.function.Predicate;

/** Which engines a request may go to: outliers, against peers of their role, are ejected and get probes only. */
final class OutlierDetector {
    static final double PROBE_SECONDS = 0.5; // to the next probe; doubled for each failure in a row up to the last
    private static final int MAX_PROBE_DOUBLINGS = 3;
    private static final double MAX_PROBE_STRETCH = 6; // more waits where hundreds of gateways probe the same engine
    private static final double OUTLIER_SLOWNESS = 4; // times the peers' median delay
    private static final int OUTLIER_FAILURES = 2; // in a row; one where engines are seldom met
    private static final double MAX_EJECTED_FRACTION = 0.5; // of a role; past it the evidence speaks of all, not of one
    private static final double FULL_SECONDS = 0.1; // for which a full engine gets nothing while others are not

    private final PolicyContext context;
    private final RetryPolicy retries;
    private final SlowStartLimiter slowStart;

    OutlierDetector(PolicyContext context, RetryPolicy retries) {
        this.context = context;
        this.retries = retries;
        slowStart = new SlowStartLimiter(context);
    }

    /** Engines that a request may go to: active, healthy or due a probe, within the budget of a slow start. */
    List<EngineState> candidates(RequestState request, Predicate<EngineState> role) {
        List<EngineState> open = where(context.engines.values(), engine -> isOpen(request, engine, role));
        List<EngineState> healthy =
                where(open, engine -> !isOutlier(engine) || engine.unanswered.isEmpty() && probeIsDue(request, engine));
        List<EngineState> reached = where(
                open, engine -> engine.consecutiveConnectFailures < OUTLIER_FAILURES || probeIsDue(request, engine));
        List<EngineState> fallback = reached.isEmpty() ? open : reached;
        boolean tooManyEjected = open.size() - healthy.size() > open.size() * MAX_EJECTED_FRACTION;
        List<EngineState> untried =
                where(tooManyEjected ? fallback : healthy, engine -> !request.attemptedEngines.contains(engine));
        boolean anyUntried = !untried.isEmpty() || request.attemptedEngines.isEmpty();
        return anyUntried ? untried : where(fallback, engine -> !isOutlier(engine));
    }

    private boolean isOpen(RequestState request, EngineState engine, Predicate<EngineState> role) {
        return engine.active
                && context.now >= engine.fullUntil
                && role.test(engine)
                && request.details.eligible().test(engine.id)
                && retries.mayRunAt(request, engine)
                && slowStart.mayForward(engine); // last, as it may draw
    }

    boolean isOutlier(EngineState engine) {
        int failures = context.seesAllLoad() ? OUTLIER_FAILURES : 1;
        return engine.consecutiveFailures >= failures || engine.slowness >= OUTLIER_SLOWNESS;
    }

    /** A probe is a request that may be retried; another one only where none such came for long. */
    private boolean probeIsDue(RequestState request, EngineState engine) {
        boolean harmless = engine.role == Role.PREFILL || request.has(Effect.SAFE);
        return context.now >= engine.nextProbeAt + (harmless ? 0 : probeInterval(engine));
    }

    private double probeInterval(EngineState engine) {
        return backoffSeconds(engine.consecutiveFailures) * (1 + MAX_PROBE_STRETCH * context.unobservedLoad);
    }

    static double backoffSeconds(int failures) {
        return PROBE_SECONDS * (1 << Math.min(failures, MAX_PROBE_DOUBLINGS));
    }

    void postponeProbe(EngineState engine) {
        engine.nextProbeAt = context.now + probeInterval(engine);
    }

    void succeeded(AttemptState attempt, double elapsed) {
        attempt.engine.consecutiveFailures = 0;
        context.throughput.count(attempt.engine.role, context.now);
        context.latency.record(attempt.engine, elapsed / attempt.relativeSize);
    }

    /** What an outcome says of the engine. */
    void judge(AttemptState attempt, AttemptEnded event) {
        EngineState engine = attempt.engine;
        boolean connected = event.status() != Status.CONNECT_FAILED;
        engine.consecutiveConnectFailures = connected ? 0 : engine.consecutiveConnectFailures + 1;
        switch (event.status()) {
            case PREFILLED -> succeeded(attempt, event.elapsed());
            case FULL -> {
                if (event.note() == 0) {
                    engine.fullUntil = context.now + FULL_SECONDS;
                    failed(engine, 0);
                }
            }
            case TIMEOUT -> {
                if (!attempt.hasFirstToken()) {
                    double delay = event.elapsed() / attempt.relativeSize;
                    boolean late = delay > OUTLIER_SLOWNESS * context.latency.median(engine.role); // else impatience
                    failed(engine, late ? 1 : 0);
                    context.latency.record(engine, delay);
                }
            }
            case ERROR, CONNECT_FAILED, RESET -> failed(engine, 1);
            default -> {}
        }
    }

    private void failed(EngineState engine, int inRow) {
        engine.failures.increment(context.now);
        engine.consecutiveFailures += inRow;
        postponeProbe(engine);
    }
}
