package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;

/** Which mixed engine could take a request whole, and when one should. */
record MixedEngineSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    private static final double MAX_STREAMS_FRACTION = 0.6; // of a decode engine's mean streams; it also prefills
    private static final double MAX_DURATION_RATIO = 1.6; // of streams; past it what it prefills slows them
    private static final double SATURATED_FRACTION = 0.15; // of the objective, at which prefill engines are jammed
    private static final double LATE_FRACTION = 0.5; // of the objective, at which an answer is late anyway
    private static final double MAX_DELAY_RATIO = 0.5; // of the jammed engine's delay that a mixed one may take

    Optional<EngineState> select(RequestState request) {
        boolean decodeToo = context.settings.readInPlace() && request.attemptCount > 0;
        List<EngineState> engines = ranking.atHome(
                request,
                outliers.candidates(
                        request, engine -> engine.role == Role.MIXED || decodeToo && engine.role == Role.DECODE));
        return ranking.lightest(request, engines, engine -> load(request, engine));
    }

    private double load(RequestState request, EngineState engine) {
        double cached = context.prefixCache.cachedTokens(request, engine) / context.load.meanPrefillTokens();
        return cost.decodeLoad(engine) - cached + cost.zoneMargin(engine);
    }

    /**
     * A mixed engine takes a request while it has less than its share of streams; where own counts say little, while
     * all of them have, by session: the next turn then finds what was cached.
     */
    boolean isDue(RequestState request, EngineState mixed) {
        if (mixed.role != Role.MIXED || context.streamDurations.ratio(mixed) >= MAX_DURATION_RATIO) {
            return false;
        }
        double mean = context.fleet.meanDecodeLoad();
        double load = context.seesAllLoad()
                ? cost.decodeLoad(mixed)
                : context.fleet.meanMixedLoad() / (2 * ranking.drawBySession(request, 0));
        return Double.isNaN(mean) || load < MAX_STREAMS_FRACTION * mean;
    }

    /**
     * Whether a mixed engine should help: prefill engines are behind and it is not. Its prefills slow its streams: only
     * while these keep pace, or when the objective is past hope. Can harm when long prompts come in a row.
     */
    boolean relieves(RequestState request, EngineState prefill, EngineState mixed) {
        double objective = request.latencyObjective();
        double jammed = context.latency.expected(request, prefill) + context.latency.median(Role.DECODE);
        return context.seesAllLoad()
                && mixed.role == Role.MIXED
                && jammed > SATURATED_FRACTION * objective
                && context.latency.expected(request, mixed) < jammed * MAX_DELAY_RATIO
                && context.memory.fractionNow(mixed) < EngineCost.MEMORY_FREE
                && (context.streamDurations.ratio(mixed) < MAX_DURATION_RATIO || jammed > LATE_FRACTION * objective);
    }
}
