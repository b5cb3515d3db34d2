package dunlinladder.routing;

import static dunlinladder.routing.LoadEstimator.TOKENS_PER_KILOTOKEN;

/**
 * Computes the costs and loads by which the selectors choose engines. Their unit is one average prefill at an engine of
 * average speed, or one average stream for {@link #decodeLoad}.
 */
record EngineCost(PolicyContext context) {
    /** Fraction of KV memory in use, 0 to 1, above which an engine that decodes counts as short of memory. */
    static final double HIGH_MEMORY_FRACTION = 0.75;
    /** Streams added per unit of the memory fraction above {@link #HIGH_MEMORY_FRACTION}: 2.5 if the memory is full. */
    private static final double STREAMS_PER_EXCESS_MEMORY = 10;
    /**
     * Prefills or streams added to the load for each recent failure. An engine that fails fast has few requests in
     * flight, so without this its load would be low.
     */
    private static final double FAILURE_WEIGHT = 2;
    /** Fixed cost, in average prefills, of each prefill that this gateway has in flight at the engine. */
    private static final double BASE_COST_PER_PREFILL = 0.5;
    /** Weight of a prompt token that is not cached; prefilling it also evicts cached tokens. */
    private static final double MISSED_TOKEN_WEIGHT = 2;
    /** Weight of a prompt token that a load report shows as queued; reports are late, so it is below 1. */
    private static final double REPORTED_TOKEN_WEIGHT = 0.3;
    /**
     * Prefills added if the decode engines of the rack have twice the fleet's mean load, and subtracted if they have
     * none. This balances the racks, although a request is preferably decoded in the rack of its prefill.
     */
    private static final double RACK_PRESSURE_WEIGHT = 2;
    /** Load, in prefills or streams, that is added for an engine in another zone. */
    private static final double ZONE_MARGIN = 2;
    /** The same if this gateway does not observe all load; multiplied by the fraction of the load that it observes. */
    private static final double ZONE_MARGIN_PARTLY_OBSERVED = 0.5;

    /**
     * Returns the cost of a request's prefill at an engine, for a gateway that observes all load. It is based on the
     * tokens ahead of the request and, with double weight, on its own tokens that are not cached. Recent failures, a
     * fixed cost for each prefill ahead, and the load of the rack and the zone margin are added. Tokens are counted
     * because the prefill of a few missing tokens costs less than that of a long prompt. This can do harm while the
     * cached tokens are unknown.
     */
    double prefillCost(RequestState request, EngineState engine) {
        double queued = REPORTED_TOKEN_WEIGHT * TOKENS_PER_KILOTOKEN * context.load.queuedKilotokens(engine);
        double missed = MISSED_TOKEN_WEIGHT * context.load.missedTokens(request, engine);
        double load = failures(engine)
                + BASE_COST_PER_PREFILL * engine.prefills
                + (engine.prefillTokens + queued + missed) / context.load.meanPrefillTokens();
        return load / engine.speed + RACK_PRESSURE_WEIGHT * context.fleet.rackPressure(engine) + zoneMargin(engine);
    }

    /**
     * Returns the load of an engine that prefills: the prefills of this gateway, the estimated prefills of the other
     * gateways and the prefills that its load report shows as queued. Recent failures, the load of the rack and the
     * zone margin are added.
     */
    double prefillLoad(EngineState engine) {
        double meanTokens = context.load.meanPrefillTokens();
        double unobserved = context.unobservedLoad;
        double ownLoad = failures(engine) + Math.max(engine.prefills, engine.prefillTokens / meanTokens);
        double load = (ownLoad + unobserved * otherGatewaysPrefills(engine)) / engine.speed
                - unobserved
                + REPORTED_TOKEN_WEIGHT * context.load.queuedKilotokens(engine) / (meanTokens / TOKENS_PER_KILOTOKEN)
                + RACK_PRESSURE_WEIGHT * context.fleet.rackPressure(engine);
        return load + zoneMargin(engine);
    }

    /**
     * Estimates the prefills of other gateways at an engine, relative to the mean of its role. The estimate is 1, but
     * for an engine that is warming up it is the ratio of the engine's delay to the usual one. Otherwise all gateways
     * would queue at the few warm engines. The ratio is not used for warm engines, as requests would then leave the
     * engines that cache their prefixes.
     */
    private double otherGatewaysPrefills(EngineState engine) {
        double floor = LatencyStatistics.DELAY_FLOOR_SECONDS;
        double medianDelay = context.latency.median(engine.role);
        return context.isWarmingUp(engine) ? (context.latency.expected(engine) + floor) / (medianDelay + floor) : 1;
    }

    /**
     * Returns the load of an engine that decodes, in average streams. Recent failures are added, and so is high use of
     * KV memory if this gateway observes all load.
     */
    double decodeLoad(EngineState engine) {
        double unobserved = context.unobservedLoad;
        double excess = context.observesAllLoad()
                ? Math.max(0, context.memory.currentFraction(engine) - HIGH_MEMORY_FRACTION)
                : 0;
        return (engine.streamWeight + failures(engine) + unobserved) / engine.speed
                - unobserved
                + STREAMS_PER_EXCESS_MEMORY * excess;
    }

    /** Returns the load to add for an engine in another zone than this gateway; 0 for one in the same zone. */
    double zoneMargin(EngineState engine) {
        double margin =
                context.observesAllLoad() ? ZONE_MARGIN : ZONE_MARGIN_PARTLY_OBSERVED * (1 - context.unobservedLoad);
        return engine.zone() == context.settings.zone() ? 0 : margin;
    }

    private double failures(EngineState engine) {
        return FAILURE_WEIGHT * engine.failures.at(context.now);
    }
}
