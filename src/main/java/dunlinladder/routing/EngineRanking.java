package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** The best of several engines: by cost where own counts show it, else in an order that all gateways follow. */
record EngineRanking(PolicyContext context) {
    private static final double HOME_CAPACITY = 0.7; // of an even part; the traffic of zones is uneven
    private static final double PREFIX_SPREAD = 3; // engines for each that a prefix's part of the traffic needs

    /**
     * Where own counts say little, the engines of this gateway's zone, but no more of the sessions than these can take
     * beside an even part of all; the rest goes by all zones. Guards against crossings, and against zones with few
     * engines of a role. Can harm when the zones' traffic is far from even.
     */
    List<EngineState> atHome(RequestState request, List<EngineState> engines) {
        List<EngineState> home = where(engines, engine -> engine.zone() == context.settings.zone());
        double part = HOME_CAPACITY * home.size() * context.fleet.zoneCount() / Math.max(1, engines.size());
        return !context.seesAllLoad() && drawBySession(request, context.settings.zone()) < part ? home : engines;
    }

    /** A number from 0 to 1 that all gateways draw alike for a session. */
    double drawBySession(RequestState request, int salt) {
        return hash(request.details.session(), salt) / 0x1p64 + 0.5;
    }

    /** The least busy; where own counts say little, what differs by less than half a request is equal. */
    Optional<EngineState> lightest(
            RequestState request, List<EngineState> engines, ToDoubleFunction<EngineState> load) {
        if (context.seesAllLoad()) {
            return cheapest(engines, load, engine -> engine.prefillTokens, context.load::queuedKilotokens);
        }
        double min = engines.stream().mapToDouble(load).min().orElse(0);
        double bound = min + context.unobservedLoad / 2;
        return inSharedOrder(request, where(engines, engine -> load.applyAsDouble(engine) <= bound));
    }

    /**
     * Between equals, gateways that cannot talk settle on the same engines: each prefix has an order, and the first of
     * it cache it, the more the larger its spread; each session has its own among them. Guards against one engine
     * getting a popular prefix from all. Can harm when shares shift quickly.
     */
    Optional<EngineState> inSharedOrder(RequestState request, List<EngineState> engines) {
        long prefix = request.details.prefix();
        double spread = context.unobservedLoad * PREFIX_SPREAD * context.prefixFrequency.fraction(prefix);
        long count = prefix == 0 ? engines.size() : 1 + (long) (spread * engines.size());
        return engines.stream().sorted(byHash(prefix)).limit(count).min(byHash(request.details.session()));
    }

    private static Comparator<EngineState> byHash(long key) {
        return Comparator.comparingDouble(engine -> hash(key, engine.id.hashCode()));
    }

    private static double hash(long key, int salt) {
        long mixed = (key ^ salt * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L; // the multipliers of SplitMix64
        return mixed ^ mixed >>> Integer.SIZE;
    }

    /** The cheapest, then by the ties; one at random among equals. */
    Optional<EngineState> cheapest(
            List<EngineState> engines,
            ToDoubleFunction<EngineState> cost,
            ToDoubleFunction<EngineState> tie,
            ToDoubleFunction<EngineState> lastTie) {
        EngineState best = null;
        double[] bestKey = null;
        int equals = 0;
        for (EngineState engine : engines) {
            double[] key = {cost.applyAsDouble(engine), tie.applyAsDouble(engine), lastTie.applyAsDouble(engine)};
            int order = best == null ? -1 : Arrays.compare(key, bestKey);
            equals = order < 0 ? 1 : order == 0 ? equals + 1 : equals;
            if (order < 0 || order == 0 && context.random.nextInt(equals) == 0) {
                best = engine;
                bestKey = key;
            }
        }
        return Optional.ofNullable(best);
    }
}
