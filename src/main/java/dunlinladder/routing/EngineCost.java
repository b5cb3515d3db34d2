package dunlinladder.routing;

import static dunlinladder.routing.LoadEstimator.TOKENS_PER_KILOTOKEN;

/** What an engine costs a request: the weights by which engines are chosen, in prefills or streams. */
record EngineCost(PolicyContext context) {
    static final double MEMORY_FREE = 0.75; // fraction of KV memory past which a decode engine fills up
    private static final double MEMORY_WEIGHT = 10; // streams that the rest of the memory weighs
    private static final double FAILURE_WEIGHT = 2; // requests; an engine that fails fast clears its count fast
    private static final double PREFILL_BASE = 0.5; // prefills that each costs whatever its length
    private static final double MISSED_WEIGHT = 2; // of a token to read anew: it also pushes out what is cached
    private static final double REPORT_WEIGHT = 0.3; // of prefills queued by report: late, so below own ones
    private static final double RACK_WEIGHT = 2; // prefills at double the mean streams; the pair near, yet balanced
    private static final double ZONE_MARGIN = 2; // prefills by which an engine of another zone must be better
    private static final double ZONE_MARGIN_UNSEEN = 0.5; // the same, the less the less is seen

    /**
     * Of a prefill where own counts show all: what is ahead and, doubled, what would have to be read. A prefill of few
     * missing tokens is not one of a long prompt. Harms while what is cached is unknown.
     */
    double prefill(RequestState request, EngineState engine) {
        double queued = REPORT_WEIGHT * TOKENS_PER_KILOTOKEN * context.load.queuedKilotokens(engine);
        double missed = MISSED_WEIGHT * context.load.missedTokens(request, engine);
        double load = failures(engine)
                + PREFILL_BASE * engine.prefills
                + (engine.prefillTokens + queued + missed) / context.load.meanPrefillTokens();
        return load / engine.speed + RACK_WEIGHT * context.fleet.rackPressure(engine) + zoneMargin(engine);
    }

    /** Prefills at an engine, what is queued there by report and where it stands. */
    double prefillLoad(EngineState engine) {
        double meanTokens = context.load.meanPrefillTokens();
        double unseen = context.unobservedLoad;
        double own = failures(engine) + Math.max(engine.prefills, engine.prefillTokens / meanTokens);
        double load = (own + unseen * othersPrefills(engine)) / engine.speed
                - unseen
                + REPORT_WEIGHT * context.load.queuedKilotokens(engine) / (meanTokens / TOKENS_PER_KILOTOKEN)
                + RACK_WEIGHT * context.fleet.rackPressure(engine);
        return load + zoneMargin(engine);
    }

    /**
     * What other gateways have at a prefill engine, against the mean; at one that warms up as its answers take against
     * the usual. Guards against all queuing at the few warm ones; where all are warm it would cost what they cache.
     */
    private double othersPrefills(EngineState engine) {
        double floor = LatencyStatistics.DELAY_FLOOR_SECONDS;
        double usual = context.latency.median(engine.role);
        return context.isWarmingUp(engine) ? (context.latency.expected(engine) + floor) / (usual + floor) : 1;
    }

    /** Streams at an engine that decodes. */
    double decodeLoad(EngineState engine) {
        double unseen = context.unobservedLoad;
        double excess = context.seesAllLoad() ? Math.max(0, context.memory.fractionNow(engine) - MEMORY_FREE) : 0;
        return (engine.streamWeight + failures(engine) + unseen) / engine.speed - unseen + MEMORY_WEIGHT * excess;
    }

    double zoneMargin(EngineState engine) {
        double margin = context.seesAllLoad() ? ZONE_MARGIN : ZONE_MARGIN_UNSEEN * (1 - context.unobservedLoad);
        return engine.zone() == context.settings.zone() ? 0 : margin;
    }

    private double failures(EngineState engine) {
        return FAILURE_WEIGHT * engine.failures.at(context.now);
    }
}
