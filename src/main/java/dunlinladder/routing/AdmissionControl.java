package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;

/** Load shedding: decides whether a request is still worth an attempt, and when a rejected client may retry. */
final class AdmissionControl {
    /**
     * Maximum expected wait of a new request, as a fraction of its latency objective, or of the time left if that is
     * less; the rest covers estimation errors.
     */
    private static final double MAX_WAIT_FRACTION = 0.8;
    /** The same fraction for a request of a tenant that is over its quota. */
    private static final double MAX_WAIT_FRACTION_OVER_QUOTA = 0.5;
    /**
     * Fraction by which the maximum wait is reduced if this gateway observes next to none of the load, as it then
     * estimates the expected wait from few answers. The reduction is smaller if it observes more.
     */
    private static final double UNOBSERVED_WAIT_REDUCTION = 0.5;
    /**
     * Probe intervals added to the age from which delays are stale, if this gateway observes next to none of the load.
     * The age is then 5 s instead of 0.5 s.
     */
    private static final double MAX_EXTRA_STALE_INTERVALS = 9;
    /** Minimum retry advice in seconds, before jitter. */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.1;

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

    /**
     * Returns the expected seconds to the first token via an engine that prefills, from the current delays; at least
     * the seconds until the backlog is done.
     */
    double expectedWait(RequestState request, EngineState engine) {
        double decodeDelay = engine.role == Role.PREFILL ? context.latency.median(Role.DECODE) : 0;
        return Math.max(context.latency.expected(request, engine) + decodeDelay, backlogSeconds());
    }

    private double backlogSeconds() {
        return context.load.backlogSeconds(outliers::isOutlier);
    }

    /**
     * Whether to reject a new request that would miss its objective, or a retry that would miss its deadline. The limit
     * for a new request is lower if its tenant is over quota. Without rejects, the queues would stay as long as the
     * objective, and all requests would be late for good. If the delays of the engine are stale, the request is not
     * rejected: a reject yields no new delays, and after an outage every request would be rejected for good.
     */
    boolean mustReject(RequestState request, EngineState engine) {
        return !isStale(engine) && expectedWait(request, engine) > maxWait(request);
    }

    private double maxWait(RequestState request) {
        double secondsLeft = request.details.expires() - context.now;
        if (request.attemptCount > 0) {
            return secondsLeft;
        }
        return Math.min(request.latencyObjective(), secondsLeft)
                * (request.overQuota ? MAX_WAIT_FRACTION_OVER_QUOTA : MAX_WAIT_FRACTION)
                * (1 - UNOBSERVED_WAIT_REDUCTION * context.unobservedLoad);
    }

    /** Whether the delays by which a request would be rejected are too old for a reject. */
    private boolean isStale(EngineState engine) {
        double updatedAt =
                context.observesAllLoad() ? engine.delayRecordedAt : context.latency.lastAttemptEndAt(engine.role);
        double maxAge =
                OutlierDetector.PROBE_INTERVAL_SECONDS * (1 + MAX_EXTRA_STALE_INTERVALS * context.unobservedLoad);
        return engine.unanswered.isEmpty() && context.now - updatedAt > maxAge;
    }

    /** Returns the seconds after which a rejected client may retry; 0 for no advice. */
    double retryAfter() {
        RoutingSettings settings = context.settings;
        return settings.sendsRetryAfter() ? retryAfter(backlogSeconds(), settings, context.random.nextDouble()) : 0;
    }

    /**
     * Returns the seconds until the backlog is done, multiplied by 0.5 plus {@code jitter} (0 to 1), so that clients do
     * not all retry at once. The result is at most the maximum of the settings.
     */
    static double retryAfter(double backlogSeconds, RoutingSettings settings, double jitter) {
        // the comparison also replaces NaN
        double wait = backlogSeconds > MIN_RETRY_AFTER_SECONDS ? backlogSeconds : MIN_RETRY_AFTER_SECONDS;
        return Math.min(settings.maxRetryAfter(), wait * (0.5 + jitter));
    }
}
