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
 * In which order engines are asked to let go of what is held for a request. Any engine that runs passes a release on,
 * so the question is only which of them can be reached now.
 */
public final class ReleaseOrder {

    private ReleaseOrder() {}

    /**
     * The engine that answered last first, as it is likely to run: a list may name many that are gone. Those that drain
     * come last. Zones take turns, since a cut silences all of a zone at once: what answered last may then be a row of
     * engines none of which can be reached.
     *
     * @param listed all engines, in an order that differs by request
     * @param answered when each address was last found to answer, on any clock; absent where it was not
     */
    public static List<Engine> of(List<Engine> listed, Map<String, Long> answered) {
        List<Engine> sorted = new ArrayList<>(listed);
        sorted.sort(Comparator.comparing(
                engine -> answered.getOrDefault(engine.address(), Long.MIN_VALUE), Comparator.reverseOrder()));
        Map<Boolean, List<Engine>> active =
                sorted.stream().collect(Collectors.partitioningBy(engine -> engine.state() == Engine.State.ACTIVE));
        List<Engine> order = takeTurns(active.get(true));
        order.addAll(takeTurns(active.get(false)));
        return order;
    }

    private static List<Engine> takeTurns(List<Engine> sorted) {
        Map<Integer, Queue<Engine>> zones = new LinkedHashMap<>();
        sorted.forEach(
                e -> zones.computeIfAbsent(e.zone(), zone -> new ArrayDeque<>()).add(e));
        List<Engine> turns = new ArrayList<>();
        while (turns.size() < sorted.size()) {
            zones.values().stream().map(Queue::poll).filter(Objects::nonNull).forEach(turns::add);
        }
        return turns;
    }
}
