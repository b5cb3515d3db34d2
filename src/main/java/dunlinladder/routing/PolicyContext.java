package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Rules;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * What all parts of the routing policy share: settings, engines, random numbers, the clock of the event in hand, and
 * what is estimated of the fleet. Decides nothing.
 */
final class PolicyContext {
    /** Gateways up to which each sees enough of the traffic to go by its own counts alone. */
    private static final double GATEWAYS_WITH_FULL_SIGHT = 8;

    final RoutingSettings settings;
    /** Part of the fleet's load that own counts cannot show: 0 with few gateways, towards 1 with many. */
    final double unobservedLoad;

    final Random random;
    /** Every engine listed, by id, in the order first listed. */
    final Map<String, EngineState> engines = new LinkedHashMap<>();

    final ThroughputMeter throughput;
    final LatencyStatistics latency;
    final LoadEstimator load;
    final KvMemoryEstimator memory;
    final FleetStatistics fleet;
    final PrefixCacheIndex prefixCache;
    final StreamDurationStats streamDurations;
    /** How often the prefixes of prompts come, of late. */
    final DecayingFrequency prefixFrequency = new DecayingFrequency();
    /** Clock of the event in hand, in seconds. */
    double now;

    PolicyContext(RoutingSettings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        unobservedLoad = Math.max(0, 1 - GATEWAYS_WITH_FULL_SIGHT / settings.balancers());
        throughput = new ThroughputMeter(unobservedLoad);
        latency = new LatencyStatistics(this);
        load = new LoadEstimator(this);
        memory = new KvMemoryEstimator(this);
        fleet = new FleetStatistics(this);
        prefixCache = new PrefixCacheIndex(this);
        streamDurations = new StreamDurationStats(this);
    }

    /** Whether this gateway's own counts show the load of the whole fleet well enough. */
    boolean seesAllLoad() {
        return unobservedLoad == 0;
    }

    boolean isWarmingUp(EngineState engine) {
        double startedAt = engine.endpoint.startedAt();
        return startedAt > 0 && now - startedAt < settings.rules().cold();
    }

    /** Part of its full capacity, 0 to 1, that an engine has by the rules for warming up. */
    double capacity(EngineState engine) {
        Rules rules = settings.rules();
        double from = rules.coldFrom();
        return isWarmingUp(engine) ? from + (1 - from) * (now - engine.endpoint.startedAt()) / rules.cold() : 1;
    }

    static List<EngineState> where(Collection<EngineState> engines, Predicate<EngineState> condition) {
        return engines.stream().filter(condition).toList();
    }
}
