package dunlinladder.routing;

import static dunlinladder.routing.PolicyContext.where;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Ranks engines by load or cost, or in an order that is the same in all gateways. */
record EngineRanking(PolicyContext context) {
    /**
     * Fraction of the sessions that stay in the zone of this gateway if all zones have equally many engines; below 1,
     * as the traffic of zones is uneven.
     */
    private static final double HOME_ZONE_FRACTION = 0.7;
    /** Ratio of the fraction of the engines that serve a prefix to the prefix's fraction of the requests. */
    private static final double PREFIX_SPREAD_FACTOR = 3;

    /**
     * Returns the engines of this gateway's zone if the gateway does not observe all load and a hash assigns the
     * session to them; else all engines. The zone keeps a fraction of the sessions in proportion to its number of
     * engines. This avoids traffic between zones, and overload in zones with few engines of a role. It can do harm if
     * the zones' traffic is far from even.
     */
    List<EngineState> preferHomeZone(RequestState request, List<EngineState> engines) {
        List<EngineState> home = where(engines, engine -> engine.zone() == context.settings.zone());
        double share = HOME_ZONE_FRACTION * home.size() * context.fleet.zoneCount() / Math.max(1, engines.size());
        return !context.observesAllLoad() && sessionHash(request, context.settings.zone()) < share ? home : engines;
    }

    /** Returns a hash of the session, from 0 to 1, which is the same in all gateways. */
    double sessionHash(RequestState request, int salt) {
        return hash(request.details.session(), salt) / 0x1p64 + 0.5;
    }

    /**
     * Returns the least loaded engine. If this gateway does not observe all load, engines whose loads differ by less
     * than half a request count as equal, and the shared order decides among them.
     */
    Optional<EngineState> leastLoaded(
            RequestState request, List<EngineState> engines, ToDoubleFunction<EngineState> load) {
        if (context.observesAllLoad()) {
            return cheapest(engines, load, engine -> engine.prefillTokens, context.load::queuedKilotokens);
        }
        double minLoad = engines.stream().mapToDouble(load).min().orElse(0);
        double maxLoad = minLoad + context.unobservedLoad / 2;
        return firstInSharedOrder(request, where(engines, engine -> load.applyAsDouble(engine) <= maxLoad));
    }

    /**
     * Chooses among equal engines in a way that all gateways share without communication. Each prefix has its own order
     * of the engines, and the first engines of that order cache it; a prefix with a larger part of the traffic uses
     * more of them. Each session is assigned to one of these engines. This prevents one engine from getting a popular
     * prefix from all gateways. It can do harm if the traffic of a prefix changes quickly.
     */
    Optional<EngineState> firstInSharedOrder(RequestState request, List<EngineState> engines) {
        long prefix = request.details.prefix();
        double spread = context.unobservedLoad * PREFIX_SPREAD_FACTOR * context.prefixFrequency.fraction(prefix);
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

    /** Returns the engine with the lowest cost, then the lowest tie-breakers; a random one among equals. */
    Optional<EngineState> cheapest(
            List<EngineState> engines,
            ToDoubleFunction<EngineState> cost,
            ToDoubleFunction<EngineState> tieBreak,
            ToDoubleFunction<EngineState> lastTieBreak) {
        EngineState best = null;
        double[] bestKey = null;
        int ties = 0;
        for (EngineState engine : engines) {
            double[] key = {
                cost.applyAsDouble(engine), tieBreak.applyAsDouble(engine), lastTieBreak.applyAsDouble(engine)
            };
            int order = best == null ? -1 : Arrays.compare(key, bestKey);
            ties = order < 0 ? 1 : order == 0 ? ties + 1 : ties;
            if (order < 0 || order == 0 && context.random.nextInt(ties) == 0) {
                best = engine;
                bestKey = key;
            }
        }
        return Optional.ofNullable(best);
    }
}
