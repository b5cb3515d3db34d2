package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Rules;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * State that all parts of the routing policy share: settings, engines, random numbers, the time of the current event,
 * and estimates about the fleet. Decides nothing.
 */
final class PolicyContext {
    /** Maximum number of gateways with which each observes enough of the traffic to use its own counts alone. */
    private static final double MAX_GATEWAYS_WITH_FULL_VIEW = 8;

    final RoutingSettings settings;
    /** Fraction of the fleet's load that this gateway's counts do not show: 0 with few gateways, near 1 with many. */
    final double unobservedLoad;

    final Random random;
    /** All listed engines by id, in the order in which they were first listed. */
    final Map<String, EngineState> engines = new LinkedHashMap<>();

    final ThroughputMeter throughput;
    final LatencyStatistics latency;
    final LoadEstimator load;
    final KvMemoryEstimator memory;
    final FleetStatistics fleet;
    final PrefixCacheIndex prefixCache;
    final StreamDurationStats streamDurations;
    /** How often the prefixes of prompts have occurred recently. */
    final DecayingFrequency prefixFrequency = new DecayingFrequency();
    /** Clock time of the current event, in seconds. */
    double now;

    PolicyContext(RoutingSettings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        unobservedLoad = Math.max(0, 1 - MAX_GATEWAYS_WITH_FULL_VIEW / settings.gateways());
        throughput = new ThroughputMeter(unobservedLoad);
        latency = new LatencyStatistics(this);
        load = new LoadEstimator(this);
        memory = new KvMemoryEstimator(this);
        fleet = new FleetStatistics(this);
        prefixCache = new PrefixCacheIndex(this);
        streamDurations = new StreamDurationStats(this);
    }

    /** Whether this gateway's own counts show the load of the whole fleet well enough. */
    boolean observesAllLoad() {
        return unobservedLoad == 0;
    }

    boolean isWarmingUp(EngineState engine) {
        double startedAt = engine.endpoint.startedAt();
        return startedAt > 0 && now - startedAt < settings.rules().cold();
    }

    /** Returns the fraction of its full capacity, 0 to 1, that an engine has by the rules for warming up. */
    double capacity(EngineState engine) {
        Rules rules = settings.rules();
        double start = rules.coldFrom();
        return isWarmingUp(engine) ? start + (1 - start) * (now - engine.endpoint.startedAt()) / rules.cold() : 1;
    }

    static List<EngineState> where(Collection<EngineState> engines, Predicate<EngineState> condition) {
        return engines.stream().filter(condition).toList();
    }
}
