package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;

/** Selects a mixed engine that could both prefill and decode a request, and decides when it should do so. */
record MixedEngineSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    /** Share of a mixed engine: its load as a fraction of the decode engines' mean; below 1, as it also prefills. */
    private static final double SHARE_FRACTION = 0.6;
    /** Stream duration, as a multiple of the usual one, from which an engine's prefills slow its streams too much. */
    private static final double MAX_DURATION_RATIO = 1.6;
    /** Expected delay via a prefill engine, as a fraction of the latency objective, above which it is saturated. */
    private static final double SATURATED_FRACTION = 0.15;
    /** Expected delay via a prefill engine, as a fraction of the latency objective, above which it will be late. */
    private static final double LATE_FRACTION = 0.5;
    /** Maximum expected delay of a mixed engine, as a fraction of the expected delay via the prefill engine. */
    private static final double MAX_DELAY_RATIO = 0.5;

    Optional<EngineState> select(RequestState request) {
        boolean includeDecode = context.settings.decodeEnginesMayPrefill() && request.attemptCount > 0;
        List<EngineState> engines = ranking.preferHomeZone(
                request,
                outliers.candidates(
                        request, engine -> engine.role == Role.MIXED || includeDecode && engine.role == Role.DECODE));
        return ranking.leastLoaded(request, engines, engine -> load(request, engine));
    }

    private double load(RequestState request, EngineState engine) {
        double cached = context.prefixCache.cachedTokens(request, engine) / context.load.meanPrefillTokens();
        return cost.decodeLoad(engine) - cached + cost.zoneMargin(engine);
    }

    /**
     * Whether a mixed engine has less than its share of the load, so that it should get a request. A gateway that does
     * not observe all load compares the mean load of all mixed engines instead, scaled by a hash of the session. The
     * next turn of the session then gets the same decision and finds its prefix cached.
     */
    boolean isBelowShare(RequestState request, EngineState mixed) {
        if (mixed.role != Role.MIXED || context.streamDurations.ratio(mixed) >= MAX_DURATION_RATIO) {
            return false;
        }
        double meanDecodeLoad = context.fleet.meanDecodeLoad();
        double load = context.observesAllLoad()
                ? cost.decodeLoad(mixed)
                : context.fleet.meanMixedLoad() / (2 * ranking.sessionHash(request, 0));
        return Double.isNaN(meanDecodeLoad) || load < SHARE_FRACTION * meanDecodeLoad;
    }

    /**
     * Whether a mixed engine should get a request because the prefill engines are saturated and it is not. Its prefills
     * slow down its streams, so it relieves the prefill engines only while its streams have their usual durations, or
     * if the objective will be missed anyway. Always false if this gateway does not observe all load. It can do harm if
     * several long prompts arrive in a row.
     */
    boolean shouldRelieve(RequestState request, EngineState prefill, EngineState mixed) {
        double objective = request.latencyObjective();
        double prefillPathDelay = context.latency.expected(request, prefill) + context.latency.median(Role.DECODE);
        return context.observesAllLoad()
                && mixed.role == Role.MIXED
                && prefillPathDelay > SATURATED_FRACTION * objective
                && context.latency.expected(request, mixed) < prefillPathDelay * MAX_DELAY_RATIO
                && context.memory.currentFraction(mixed) < EngineCost.HIGH_MEMORY_FRACTION
                && (context.streamDurations.ratio(mixed) < MAX_DURATION_RATIO
                        || prefillPathDelay > LATE_FRACTION * objective);
    }
}
