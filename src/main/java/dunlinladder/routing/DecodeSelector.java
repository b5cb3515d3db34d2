package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the engine that decodes a prefilled request: one with little load, preferably in the rack or the zone of the
 * KV cache. It is a mixed engine only if no decode engine is a candidate.
 */
record DecodeSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    /** Maximum load of a nearer engine that is not clearly busier, as a multiple of the farther engine's load. */
    private static final double CLEARLY_BUSIER_RATIO = 1.5;
    /** Streams added to the maximum load that {@link #CLEARLY_BUSIER_RATIO} gives. */
    private static final double CLEARLY_BUSIER_STREAMS = 2;
    /** Factor on the maximum load if the farther engine may be in another zone, as the link to it is slower. */
    private static final double OTHER_ZONE_FACTOR = 1.5;

    Optional<EngineState> select(RequestState request) {
        List<EngineState> decode = outliers.candidates(request, engine -> engine.role == Role.DECODE);
        List<EngineState> engines =
                decode.isEmpty() ? outliers.candidates(request, engine -> engine.role == Role.MIXED) : decode;
        EngineState source = request.cacheEngine;
        boolean drawRack = context.random.nextDouble() < context.unobservedLoad;
        Optional<EngineState> drawn = drawRack ? drawByCapacity(source, engines) : Optional.empty();
        if (drawn.isPresent()) {
            return drawn;
        }
        Optional<EngineState> inRack = leastDecodeLoad(engines, engine -> engine.rack() == source.rack());
        Optional<EngineState> inZone = leastDecodeLoad(engines, engine -> engine.zone() == source.zone());
        Optional<EngineState> anywhere = leastDecodeLoad(engines, engine -> true);
        return preferNearer(preferNearer(inRack, inZone, 1), anywhere, OTHER_ZONE_FACTOR);
    }

    /** Returns the nearer engine unless it is missing or is clearly busier than the farther one. */
    private Optional<EngineState> preferNearer(Optional<EngineState> near, Optional<EngineState> far, double factor) {
        if (near.isEmpty() || far.isEmpty()) {
            return near.or(() -> far);
        }
        double maxLoad = factor * (cost.decodeLoad(far.get()) * CLEARLY_BUSIER_RATIO + CLEARLY_BUSIER_STREAMS);
        return cost.decodeLoad(near.get()) > maxLoad ? far : near;
    }

    /**
     * Draws a rack at random in proportion to capacity and returns its least loaded engine, for a gateway whose own
     * counts show little of the load. Prefills beyond the decode capacity of their own rack go to racks with spare
     * decode capacity, first to those of the same zone. This avoids overload in racks with many prefill and few decode
     * engines. It can do harm if the zones' traffic is far from even. Returns an empty value if no engine can be drawn.
     */
    private Optional<EngineState> drawByCapacity(EngineState source, List<EngineState> engines) {
        double prefillFraction = context.fleet.prefillFraction(source.rack());
        if (context.random.nextDouble() * prefillFraction <= context.fleet.decodeFraction(source.rack())) {
            return leastDecodeLoad(engines, engine -> engine.rack() == source.rack());
        }
        List<EngineState> sameZone = where(engines, engine -> engine.zone() == source.zone());
        double position = context.random.nextDouble() * context.fleet.surplusFraction(source.zone());
        boolean staysInZone = position < context.fleet.spareFraction(sameZone);
        List<EngineState> pool = staysInZone ? sameZone : where(engines, engine -> engine.zone() != source.zone());
        double remaining = context.random.nextDouble() * context.fleet.spareFraction(pool);
        for (EngineState drawn : pool) {
            remaining -= context.fleet.spareFraction(drawn);
            if (remaining < 0) {
                return leastDecodeLoad(pool, engine -> engine.rack() == drawn.rack());
            }
        }
        return Optional.empty();
    }

    private Optional<EngineState> leastDecodeLoad(List<EngineState> engines, Predicate<EngineState> condition) {
        List<EngineState> pool = where(engines, condition);
        return context.observesAllLoad()
                ? ranking.cheapest(pool, cost::decodeLoad, context.memory::fraction, engine -> 0)
                : ranking.cheapest(pool, engine -> Math.rint(2 * cost.decodeLoad(engine)), engine -> 0, engine -> 0);
    }
}
