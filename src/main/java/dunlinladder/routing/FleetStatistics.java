package dunlinladder.routing;

import static java.util.stream.Collectors.averagingDouble;
import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.summingDouble;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Compares the active engines with their peers and computes how capacity is distributed among racks and zones, as of
 * the last refresh. Estimates; decides nothing.
 */
final class FleetStatistics {
    /** Minimum relative speed of an engine; loads are divided by the speed. */
    private static final double MIN_SPEED = 0.05;

    private final PolicyContext context;
    private double refreshedAt = Double.NaN;
    private final double[] totalWeight = new double[Role.values().length];
    private final double[] meanQueuedKilotokens = new double[Role.values().length];
    private long zoneCount;
    private double meanDecodeLoad;
    private double meanMixedLoad;
    private double totalDecodeSpeed;
    private Map<Integer, Double> decodeLoadByRack = Map.of();
    private Map<Integer, Double> decodeFractionByRack = Map.of();
    private Map<Integer, Double> prefillFractionByRack = Map.of();
    private Map<Integer, Double> surplusByZone = Map.of();

    FleetStatistics(PolicyContext context) {
        this.context = context;
    }

    /** Marks the statistics as outdated, as the data that they depend on has changed. */
    void invalidate() {
        refreshedAt = Double.NaN;
    }

    /**
     * Updates the statistics, once for each clock time unless they are outdated. {@code decodeLoad} computes the load
     * of an engine that decodes.
     */
    void refresh(ToDoubleFunction<EngineState> decodeLoad) {
        if (context.now == refreshedAt) {
            return;
        }
        refreshedAt = context.now;
        for (Role role : Role.values()) {
            compare(role, active(role));
        }
        List<EngineState> decodeEngines = active(Role.DECODE);
        meanDecodeLoad =
                decodeEngines.stream().mapToDouble(decodeLoad).average().orElse(Double.NaN);
        meanMixedLoad =
                active(Role.MIXED).stream().mapToDouble(decodeLoad).average().orElse(0);
        decodeLoadByRack = decodeEngines.stream().collect(groupingBy(EngineState::rack, averagingDouble(decodeLoad)));
        zoneCount = context.engines.values().stream()
                .filter(engine -> engine.active)
                .mapToInt(EngineState::zone)
                .distinct()
                .count();
        refreshFractions(decodeEngines, active(Role.PREFILL));
    }

    private List<EngineState> active(Role role) {
        return PolicyContext.where(context.engines.values(), engine -> engine.active && engine.role == role);
    }

    private void compare(Role role, List<EngineState> peers) {
        context.latency.compare(role, peers);
        double total =
                peers.stream().mapToDouble(engine -> engine.endpoint.weight()).sum();
        totalWeight[role.ordinal()] = total;
        meanQueuedKilotokens[role.ordinal()] = peers.stream()
                .filter(engine -> engine.reportsQueue(context.now))
                .mapToDouble(EngineState::reportedQueue)
                .average()
                .orElse(0);
        for (EngineState engine : peers) {
            double weight = engine.endpoint.weight() * peers.size() / total;
            engine.speed = Math.max(MIN_SPEED, weight * context.capacity(engine) / engine.slowness);
        }
    }

    private void refreshFractions(List<EngineState> decodeEngines, List<EngineState> prefillEngines) {
        totalDecodeSpeed = totalSpeed(decodeEngines);
        decodeFractionByRack = decodeEngines.stream()
                .collect(groupingBy(EngineState::rack, summingDouble(engine -> engine.speed / totalDecodeSpeed)));
        double totalPrefillSpeed = totalSpeed(prefillEngines);
        prefillFractionByRack = prefillEngines.stream()
                .collect(groupingBy(EngineState::rack, summingDouble(engine -> engine.speed / totalPrefillSpeed)));
        surplusByZone = prefillEngines.stream()
                .collect(groupingBy(
                        EngineState::zone,
                        summingDouble(engine -> rackSurplus(engine.rack()) * engine.speed / totalPrefillSpeed)));
    }

    private static double totalSpeed(List<EngineState> engines) {
        return engines.stream().mapToDouble(engine -> engine.speed).sum();
    }

    /** Returns the fraction of a rack's prefills that its decode engines cannot take. */
    private double rackSurplus(int rack) {
        return Math.max(0, 1 - decodeFraction(rack) / prefillFractionByRack.get(rack));
    }

    /** Returns the sum of the weights of the role's active engines. */
    double totalWeight(Role role) {
        return totalWeight[role.ordinal()];
    }

    /** Returns the mean thousands of prompt tokens queued at an engine of the role; 0 without reports. */
    double meanQueuedKilotokens(Role role) {
        return meanQueuedKilotokens[role.ordinal()];
    }

    /** Returns the number of zones with active engines. */
    long zoneCount() {
        return zoneCount;
    }

    /** Returns the mean load of the active decode engines; NaN if there are none. */
    double meanDecodeLoad() {
        return meanDecodeLoad;
    }

    /** Returns the mean load of the active mixed engines; 0 if there are none. */
    double meanMixedLoad() {
        return meanMixedLoad;
    }

    /** Returns the ratio of the load of the rack's decode engines to the fleet's mean, minus 1, within -1 and 1. */
    double rackPressure(EngineState engine) {
        Double load = decodeLoadByRack.get(engine.rack());
        // with less than one stream on average, the ratio has no meaning
        return load == null || meanDecodeLoad < 1 ? 0 : Math.max(-1, Math.min(1, load / meanDecodeLoad - 1));
    }

    /** Returns the rack's fraction of the fleet's prefill capacity, 0 to 1. */
    double prefillFraction(int rack) {
        return prefillFractionByRack.getOrDefault(rack, 0.0);
    }

    /** Returns the rack's fraction of the fleet's decode capacity, 0 to 1. */
    double decodeFraction(int rack) {
        return decodeFractionByRack.getOrDefault(rack, 0.0);
    }

    /** Returns the prefills of a zone beyond the decode capacity of their racks, as a fraction of the fleet's. */
    double surplusFraction(int zone) {
        return surplusByZone.getOrDefault(zone, 0.0);
    }

    /**
     * Returns the engine's part of the decode capacity that its rack does not need for its own prefills, as a fraction
     * of the fleet's decode capacity.
     */
    double spareFraction(EngineState engine) {
        double decodes = decodeFraction(engine.rack());
        double prefills = prefillFraction(engine.rack());
        return prefills >= decodes ? 0 : (1 - prefills / decodes) * engine.speed / totalDecodeSpeed;
    }

    /** Returns the sum of the engines' spare fractions. */
    double spareFraction(List<EngineState> engines) {
        return engines.stream().mapToDouble(this::spareFraction).sum();
    }
}
