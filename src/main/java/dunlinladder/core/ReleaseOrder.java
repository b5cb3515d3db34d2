package dunlinladder.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.stream.Collectors;

/**
 * Determines the order in which engines are asked to free the KV cache of a request. Every running engine forwards a
 * release, so the order only depends on which engines are likely to be reachable now.
 */
public final class ReleaseOrder {

    private ReleaseOrder() {}

    /**
     * Returns the engines in the order in which they are to be asked. The engine that answered most recently comes
     * first, because it is likely to be running; the list may name many engines that are not. Draining engines come
     * last. Zones alternate, because a network partition makes all engines of a zone unreachable at once, and the
     * engines that answered most recently may all be in that zone.
     *
     * @param listed all engines, in an order that differs from request to request
     * @param answeredAt time of the last answer from each address, on any clock; no entry for an address that has never
     *     answered
     */
    public static List<Engine> of(List<Engine> listed, Map<String, Long> answeredAt) {
        List<Engine> sorted = new ArrayList<>(listed);
        sorted.sort(Comparator.comparing(
                engine -> answeredAt.getOrDefault(engine.address(), Long.MIN_VALUE), Comparator.reverseOrder()));
        Map<Boolean, List<Engine>> byActive =
                sorted.stream().collect(Collectors.partitioningBy(engine -> engine.state() == Engine.State.ACTIVE));
        List<Engine> order = alternateZones(byActive.get(true));
        order.addAll(alternateZones(byActive.get(false)));
        return order;
    }

    private static List<Engine> alternateZones(List<Engine> sorted) {
        Map<Integer, Queue<Engine>> byZone = new LinkedHashMap<>();
        for (Engine engine : sorted) {
            byZone.computeIfAbsent(engine.zone(), zone -> new ArrayDeque<>()).add(engine);
        }
        List<Engine> order = new ArrayList<>();
        while (order.size() < sorted.size()) {
            byZone.values().stream().map(Queue::poll).filter(Objects::nonNull).forEach(order::add);
        }
        return order;
    }
}
