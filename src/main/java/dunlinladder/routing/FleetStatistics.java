package dunlinladder.routing;

import static java.util.stream.Collectors.averagingDouble;
import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.summingDouble;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * How the active engines stand against their peers, and how capacity lies among racks and zones, as of the last
 * refresh. Estimates; decides nothing.
 */
final class FleetStatistics {
    /** Least relative speed, so that load stays comparable. */
    private static final double MIN_SPEED = 0.05;

    private final PolicyContext context;
    private double refreshedAt = Double.NaN;
    private final double[] totalWeight = new double[Role.values().length];
    private final double[] meanQueuedKilotokens = new double[Role.values().length];
    private long zoneCount;
    private double meanDecodeLoad;
    private double meanMixedLoad;
    private double decodeSpeeds;
    private Map<Integer, Double> decodeLoadByRack = Map.of();
    private Map<Integer, Double> decodeFractionByRack = Map.of();
    private Map<Integer, Double> prefillFractionByRack = Map.of();
    private Map<Integer, Double> surplusByZone = Map.of();

    FleetStatistics(PolicyContext context) {
        this.context = context;
    }

    /** Something has changed that the figures rest on. */
    void invalidate() {
        refreshedAt = Double.NaN;
    }

    /** Brings the figures up to the clock, once for each clock time; {@code decodeLoad} weighs what an engine has. */
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
        decodeSpeeds = totalSpeed(decodeEngines);
        decodeFractionByRack = decodeEngines.stream()
                .collect(groupingBy(EngineState::rack, summingDouble(engine -> engine.speed / decodeSpeeds)));
        double prefillSpeeds = totalSpeed(prefillEngines);
        prefillFractionByRack = prefillEngines.stream()
                .collect(groupingBy(EngineState::rack, summingDouble(engine -> engine.speed / prefillSpeeds)));
        surplusByZone = prefillEngines.stream()
                .collect(groupingBy(
                        EngineState::zone,
                        summingDouble(engine -> surplusPart(engine.rack()) * engine.speed / prefillSpeeds)));
    }

    private static double totalSpeed(List<EngineState> engines) {
        return engines.stream().mapToDouble(engine -> engine.speed).sum();
    }

    /** Part of a rack's prefills that its decode engines cannot take. */
    private double surplusPart(int rack) {
        return Math.max(0, 1 - decodeFraction(rack) / prefillFractionByRack.get(rack));
    }

    /** Sum of the weights of the role's active engines. */
    double totalWeight(Role role) {
        return totalWeight[role.ordinal()];
    }

    /** Thousands of prompt tokens queued at an engine of the role on average; 0 without reports. */
    double meanQueuedKilotokens(Role role) {
        return meanQueuedKilotokens[role.ordinal()];
    }

    /** Zones with active engines. */
    long zoneCount() {
        return zoneCount;
    }

    /** Mean load of the active decode engines; NaN when there are none. */
    double meanDecodeLoad() {
        return meanDecodeLoad;
    }

    /** Mean load of the active mixed engines; 0 when there are none. */
    double meanMixedLoad() {
        return meanMixedLoad;
    }

    /** Load of the decode engines of the engine's rack over the fleet's mean, less one, within -1 and 1. */
    double rackPressure(EngineState engine) {
        Double load = decodeLoadByRack.get(engine.rack());
        // with next to no streams the ratio says nothing
        return load == null || meanDecodeLoad < 1 ? 0 : Math.max(-1, Math.min(1, load / meanDecodeLoad - 1));
    }

    /** The rack's fraction of the fleet's prefill capacity, 0 to 1. */
    double prefillFraction(int rack) {
        return prefillFractionByRack.getOrDefault(rack, 0.0);
    }

    /** The rack's fraction of the fleet's decode capacity, 0 to 1. */
    double decodeFraction(int rack) {
        return decodeFractionByRack.getOrDefault(rack, 0.0);
    }

    /** Fraction of the fleet's prefills that the racks of a zone have beyond what their decode engines can take. */
    double surplus(int zone) {
        return surplusByZone.getOrDefault(zone, 0.0);
    }

    /** The engine's part of what the decode engines of its rack can take beyond the prefills of the rack. */
    double spare(EngineState engine) {
        double decodes = decodeFraction(engine.rack());
        double prefills = prefillFraction(engine.rack());
        return prefills >= decodes ? 0 : (1 - prefills / decodes) * engine.speed / decodeSpeeds;
    }

    /** What the engines can take beyond the prefills of their racks. */
    double spare(List<EngineState> engines) {
        return engines.stream().mapToDouble(this::spare).sum();
    }
}
