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
 * In which order engines are asked to free the KV cache of a request. Any engine that runs passes a release on, so the
 * question is only which of them can be reached now.
 */
public final class ReleaseOrder {

    private ReleaseOrder() {}

    /**
     * The engine that answered last comes first, as it is likely to run: the list may name many that do not. Draining
     * engines come last. Zones take turns, since a network partition silences all of a zone at once: the engines that
     * answered last may then all be out of reach.
     *
     * @param listed all engines, in an order that differs by request
     * @param answeredAt when each address was last found to answer, on any clock; absent where it was not
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
