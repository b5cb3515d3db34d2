package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;

/** Selects the prefill engine for a prompt: one with little load that preferably caches the prefix. */
record PrefillSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    /** Cost difference in prefills within which engines count as equal, so that the shared order decides. */
    private static final double EQUAL_COST_PREFILLS = 0.5;
    /** Maximum load of an engine that is not clearly busier, as a multiple of the least loaded engine's load. */
    private static final double CLEARLY_BUSIER_RATIO = 2;
    /** Prefills added to the maximum load that {@link #CLEARLY_BUSIER_RATIO} gives. */
    private static final double CLEARLY_BUSIER_PREFILLS = 3;
    /**
     * Prefills subtracted from the maximum load if the least loaded engine is warming up, or if this gateway observes
     * next to none of the load; fewer if it observes more.
     */
    private static final double CLEARLY_BUSIER_DEDUCTION = 2;
    /** Minimum cached fraction of a prompt for which an engine is preferred; less saves too little work. */
    private static final double MIN_CACHED_FRACTION = 0.2;
    /** Expected delay that is acceptable although another engine is faster, as a fraction of the latency objective. */
    static final double ACCEPTABLE_DELAY_FRACTION = 0.3;

    Optional<EngineState> select(RequestState request) {
        List<EngineState> engines =
                ranking.preferHomeZone(request, outliers.candidates(request, engine -> engine.role == Role.PREFILL));
        Optional<EngineState> leastLoaded = ranking.leastLoaded(request, engines, cost::prefillLoad);
        if (leastLoaded.isEmpty() || !context.observesAllLoad()) {
            return leastLoaded.flatMap(engine -> preferCaching(request, engines, engine));
        }
        double minCost = engines.stream()
                .mapToDouble(engine -> cost.prefillCost(request, engine))
                .min()
                .orElse(0);
        double maxCost = EQUAL_COST_PREFILLS + minCost;
        return ranking.firstInSharedOrder(
                request, where(engines, engine -> cost.prefillCost(request, engine) <= maxCost));
    }

    /**
     * Prefers the engines that cache the prefix until they are clearly busier. The limit is a ratio, so that it also
     * works when all queues are long. This avoids congestion in which engines lose their cached prefixes. It can do
     * harm if one prefix is so popular that the load of its engines stays near that limit.
     */
    private Optional<EngineState> preferCaching(
            RequestState request, List<EngineState> engines, EngineState leastLoaded) {
        double minCachedTokens = MIN_CACHED_FRACTION * request.details.promptTokens();
        List<EngineState> notBusier = notClearlyBusier(request, engines, leastLoaded);
        double maxCachedTokens = notBusier.stream()
                .mapToDouble(engine -> context.prefixCache.cachedTokens(request, engine))
                .max()
                .orElse(0);
        if (maxCachedTokens >= minCachedTokens) {
            List<EngineState> caching =
                    where(notBusier, engine -> context.prefixCache.cachedTokens(request, engine) >= maxCachedTokens);
            return ranking.firstInSharedOrder(request, caching);
        }
        return request.details.prefixTokens() >= minCachedTokens
                ? ranking.firstInSharedOrder(request, notBusier)
                : Optional.of(leastLoaded);
    }

    private List<EngineState> notClearlyBusier(
            RequestState request, List<EngineState> engines, EngineState leastLoaded) {
        boolean warmingUp = context.isWarmingUp(leastLoaded);
        double deduction = (warmingUp ? 1 : context.unobservedLoad) * CLEARLY_BUSIER_DEDUCTION;
        double maxLoad = cost.prefillLoad(leastLoaded) * CLEARLY_BUSIER_RATIO + CLEARLY_BUSIER_PREFILLS - deduction;
        double maxDelay = warmingUp
                ? Math.max(
                        ACCEPTABLE_DELAY_FRACTION * request.latencyObjective(),
                        context.latency.expected(request, leastLoaded))
                : Double.POSITIVE_INFINITY;
        return where(
                engines,
                engine -> cost.prefillLoad(engine) <= maxLoad && context.latency.expected(request, engine) <= maxDelay);
    }
}
