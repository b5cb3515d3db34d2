package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Which engine decodes what was prefilled, chosen after the prefill: fewest own streams, near the KV cache. */
record DecodeSelector(PolicyContext context, OutlierDetector outliers, EngineCost cost, EngineRanking ranking) {
    private static final double CLEAR_RATIO = 1.5; // "clearly more" streams: as a ratio ..
    private static final double CLEAR_STREAMS = 2; // .. and in streams
    private static final double FAR_MULTIPLE = 1.5; // how many times that for another zone, over a slower link

    Optional<EngineState> select(RequestState request) {
        List<EngineState> decode = outliers.candidates(request, engine -> engine.role == Role.DECODE);
        List<EngineState> engines =
                decode.isEmpty() ? outliers.candidates(request, engine -> engine.role == Role.MIXED) : decode;
        EngineState source = request.cacheEngine;
        boolean draws = context.random.nextDouble() < context.unobservedLoad;
        Optional<EngineState> drawn = draws ? draw(source, engines) : Optional.empty();
        if (drawn.isPresent()) {
            return drawn;
        }
        Optional<EngineState> inRack = fewestStreams(engines, engine -> engine.rack() == source.rack());
        Optional<EngineState> inZone = fewestStreams(engines, engine -> engine.zone() == source.zone());
        Optional<EngineState> anywhere = fewestStreams(engines, engine -> true);
        return nearer(nearer(inRack, inZone, 1), anywhere, FAR_MULTIPLE);
    }

    /** The nearer one, unless it is missing or has clearly more streams than the farther one. */
    private Optional<EngineState> nearer(Optional<EngineState> near, Optional<EngineState> far, double multiple) {
        if (near.isEmpty() || far.isEmpty()) {
            return near.or(() -> far);
        }
        double bound = multiple * (cost.decodeLoad(far.get()) * CLEAR_RATIO + CLEAR_STREAMS);
        return cost.decodeLoad(near.get()) > bound ? far : near;
    }

    /**
     * Where own counts say little: what a rack's prefill engines send beyond its decode engines' part goes to racks
     * with some to spare, of the zone first. Guards against racks with many prefill and few decode engines. Can harm
     * when the zones' traffic is far from even.
     */
    private Optional<EngineState> draw(EngineState source, List<EngineState> engines) {
        double prefills = context.fleet.prefillFraction(source.rack());
        if (context.random.nextDouble() * prefills <= context.fleet.decodeFraction(source.rack())) {
            return fewestStreams(engines, engine -> engine.rack() == source.rack());
        }
        List<EngineState> home = where(engines, engine -> engine.zone() == source.zone());
        double surplus = context.random.nextDouble() * context.fleet.surplus(source.zone());
        boolean staysInZone = surplus < context.fleet.spare(home);
        List<EngineState> from = staysInZone ? home : where(engines, engine -> engine.zone() != source.zone());
        double left = context.random.nextDouble() * context.fleet.spare(from);
        for (EngineState drawn : from) {
            left -= context.fleet.spare(drawn);
            if (left < 0) {
                return fewestStreams(from, engine -> engine.rack() == drawn.rack());
            }
        }
        return Optional.empty();
    }

    private Optional<EngineState> fewestStreams(List<EngineState> engines, Predicate<EngineState> where) {
        List<EngineState> from = where(engines, where);
        return context.seesAllLoad()
                ? ranking.cheapest(from, cost::decodeLoad, context.memory::fraction, engine -> 0)
                : ranking.cheapest(from, engine -> Math.rint(2 * cost.decodeLoad(engine)), engine -> 0, engine -> 0);
    }
}
