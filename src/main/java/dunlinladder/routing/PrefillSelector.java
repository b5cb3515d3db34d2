package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;

/** Which prefill engine reads a prompt: fewest own prefills, prefix caches weighing in. */
record PrefillSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    private static final double EVEN_PREFILLS = 0.5; // by which engines count as equal, so that all follow one order
    private static final double BUSIER_RATIO = 2; // an engine with the prefix is "clearly busier" past this ratio ..
    private static final double BUSIER_PREFILLS = 3; // .. and these prefills
    private static final double BUSIER_UNSEEN = 2; // fewer where own counts show nothing
    private static final double MIN_CACHED_FRACTION = 0.2; // of the prompt; less saves too little work
    static final double MAX_LATE_FRACTION = 0.3; // of the objective, that the slower of two may take

    Optional<EngineState> select(RequestState request) {
        List<EngineState> engines =
                ranking.atHome(request, outliers.candidates(request, engine -> engine.role == Role.PREFILL));
        Optional<EngineState> lightest = ranking.lightest(request, engines, cost::prefillLoad);
        if (lightest.isEmpty() || !context.seesAllLoad()) {
            return lightest.flatMap(engine -> byCache(request, engines, engine));
        }
        double min = engines.stream()
                .mapToDouble(engine -> cost.prefill(request, engine))
                .min()
                .orElse(0);
        double bound = EVEN_PREFILLS + min;
        return ranking.inSharedOrder(request, where(engines, engine -> cost.prefill(request, engine) <= bound));
    }

    /**
     * An engine that caches the prefix goes first until clearly busier, as a ratio, so that it holds when all queues
     * are long. Guards against the jam in which engines lose what they cache. Can harm when one prefix is so popular
     * that its engines run at the ratio's edge.
     */
    private Optional<EngineState> byCache(RequestState request, List<EngineState> engines, EngineState lightest) {
        double enough = MIN_CACHED_FRACTION * request.details.promptTokens();
        List<EngineState> near = notClearlyBusier(request, engines, lightest);
        double max = near.stream()
                .mapToDouble(engine -> context.prefixCache.cachedTokens(request, engine))
                .max()
                .orElse(0);
        if (max >= enough) {
            List<EngineState> caching = where(near, engine -> context.prefixCache.cachedTokens(request, engine) >= max);
            return ranking.inSharedOrder(request, caching);
        }
        return request.details.prefixTokens() >= enough ? ranking.inSharedOrder(request, near) : Optional.of(lightest);
    }

    private List<EngineState> notClearlyBusier(RequestState request, List<EngineState> engines, EngineState lightest) {
        boolean warmingUp = context.isWarmingUp(lightest);
        double fewer = (warmingUp ? 1 : context.unobservedLoad) * BUSIER_UNSEEN;
        double maxLoad = cost.prefillLoad(lightest) * BUSIER_RATIO + BUSIER_PREFILLS - fewer;
        double maxDelay = warmingUp
                ? Math.max(MAX_LATE_FRACTION * request.latencyObjective(), context.latency.expected(request, lightest))
                : Double.POSITIVE_INFINITY;
        return where(
                engines,
                engine -> cost.prefillLoad(engine) <= maxLoad && context.latency.expected(request, engine) <= maxDelay);
    }
}
