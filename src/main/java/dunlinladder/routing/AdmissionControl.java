package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;

/** Load shedding: whether a request is still worth an engine's time, and when a rejected client may come again. */
final class AdmissionControl {
    private static final double MAX_WAIT_FRACTION = 0.8; // of the objective; the rest is for error
    private static final double MAX_WAIT_FRACTION_OVER_QUOTA = 0.5;
    private static final double DOUBT = 0.5; // part of that held back where the wait is guessed from a few answers
    private static final double MAX_STALE_STRETCH = 9; // more waits until news is old, many gateways: some 5 s
    private static final double MIN_RETRY_AFTER_SECONDS = 0.1; // where next to nothing waits

    private final PolicyContext context;
    private final OutlierDetector outliers;
    private final TenantTokenBuckets quotas;

    AdmissionControl(PolicyContext context, OutlierDetector outliers) {
        this.context = context;
        this.outliers = outliers;
        quotas = new TenantTokenBuckets(context);
    }

    void requestArrived(RequestState request) {
        request.overQuota = quotas.isOverQuota(request.details.tenant(), context.now);
    }

    /** Seconds until the first token by way of an engine that prefills, from what answers now take. */
    double expectedWait(RequestState request, EngineState engine) {
        double decode = engine.role == Role.PREFILL ? context.latency.median(Role.DECODE) : 0;
        return Math.max(context.latency.expected(request, engine) + decode, backlogSeconds());
    }

    private double backlogSeconds() {
        return context.load.backlogSeconds(outliers::isOutlier);
    }

    /**
     * Rejects a new request that would miss its objective, over quota sooner, and a retry that is too late: queues as
     * long as the objective keep all late for good. Where the news is old it is tried all the same: rejecting brings no
     * news, and after an outage everything would be rejected for good.
     */
    boolean mustReject(RequestState request, EngineState engine) {
        return !isStale(engine) && expectedWait(request, engine) > maxWait(request);
    }

    private double maxWait(RequestState request) {
        double left = request.details.expires() - context.now;
        if (request.attemptCount > 0) {
            return left;
        }
        return Math.min(request.latencyObjective(), left)
                * (request.overQuota ? MAX_WAIT_FRACTION_OVER_QUOTA : MAX_WAIT_FRACTION)
                * (1 - DOUBT * context.unobservedLoad);
    }

    private boolean isStale(EngineState engine) {
        double heardAt = context.seesAllLoad() ? engine.delayAt : context.latency.heardAt(engine.role);
        double oldAfter = OutlierDetector.PROBE_SECONDS * (1 + MAX_STALE_STRETCH * context.unobservedLoad);
        return engine.unanswered.isEmpty() && context.now - heardAt > oldAfter;
    }

    /** Seconds after which a rejected client may ask again; 0 for no advice. */
    double retryAfter() {
        RoutingSettings settings = context.settings;
        return settings.retryAfter() ? retryAfter(backlogSeconds(), settings, context.random.nextDouble()) : 0;
    }

    /** When what waits will be done, spread by {@code chance} (0 to 1) so that not all come again at once. */
    static double retryAfter(double backlogSeconds, RoutingSettings settings, double chance) {
        double wait = backlogSeconds > MIN_RETRY_AFTER_SECONDS ? backlogSeconds : MIN_RETRY_AFTER_SECONDS; // NaN too
        return Math.min(settings.maxRetryAfter(), wait * (0.5 + chance));
    }
}
