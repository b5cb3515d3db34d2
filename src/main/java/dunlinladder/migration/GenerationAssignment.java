package dunlinladder.migration;

import dunlinladder.core.Engine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The generation of each listed engine, and the stages that the engines of each generation can do. It is worked out
 * anew when a stage of the migration opens, and else every {@link #MAX_AGE_SECONDS}: the list changes more rarely.
 *
 * <p>Time is handed in, in clock seconds; not safe for use by several threads.
 */
final class GenerationAssignment {

    private static final double MAX_AGE_SECONDS = 0.05;
    private static final int NO_STAGE = -1;
    private static final Set<EngineStage> ALL_STAGES = EnumSet.allOf(EngineStage.class);

    private final List<Generation> generations;
    private final Optional<ActiveMigration> migration;
    private final Supplier<Collection<Engine>> listed;
    private final Function<Engine, Set<EngineStage>> stages;
    private final Map<String, Generation> byEngine = new HashMap<>();
    private final Map<Generation, Set<EngineStage>> coveredStages = new HashMap<>();
    private double assignedAt = Double.NEGATIVE_INFINITY;
    private int assignedStage = NO_STAGE;

    /**
     * Creates an empty assignment.
     *
     * @param generations in the order in which engines are matched
     * @param listed the engines that are listed now
     * @param stages what an engine does
     */
    GenerationAssignment(
            List<Generation> generations,
            Optional<ActiveMigration> migration,
            Supplier<Collection<Engine>> listed,
            Function<Engine, Set<EngineStage>> stages) {
        this.generations = generations;
        this.migration = migration;
        this.listed = listed;
        this.stages = stages;
    }

    /** Works the assignment out where it is no longer current; true when it did. */
    boolean refresh(double now) {
        int stage = migration.isPresent() ? migration.get().progress().stageNumber() : 0;
        if (now - assignedAt < MAX_AGE_SECONDS && stage == assignedStage) {
            return false;
        }
        assignedAt = now;
        assignedStage = stage;
        byEngine.clear();
        Collection<Engine> engines = listed.get();
        for (Engine engine : engines) {
            matching(engine).ifPresent(generation -> byEngine.put(engine.id(), generation));
        }
        migration.ifPresent(active -> move(active, engines));
        recordCoverage(engines);
        return true;
    }

    /**
     * Moves the stage's fraction of the old generation's engines: in each kind the first by a fixed order, so that all
     * gateways settle on the same ones and each kind moves by the same fraction.
     */
    private void move(ActiveMigration active, Collection<Engine> engines) {
        double fraction = active.progress().stage().engineFraction();
        for (List<Engine> ofOneKind : sourceEnginesByKind(active, engines).values()) {
            ofOneKind.sort(Comparator.comparingDouble((Engine engine) -> NameHash.fraction(engine.id()))
                    .thenComparing(Engine::id));
            int moved = (int) Math.ceil(fraction * ofOneKind.size());
            for (Engine engine : ofOneKind.subList(0, moved)) {
                byEngine.put(engine.id(), active.target());
            }
        }
    }

    private Map<Integer, List<Engine>> sourceEnginesByKind(ActiveMigration active, Collection<Engine> engines) {
        Map<Integer, List<Engine>> byKind = new TreeMap<>();
        for (Engine engine : engines) {
            Generation generation = byEngine.get(engine.id());
            if (generation != null && active.isSource(generation)) {
                byKind.computeIfAbsent(engine.kind(), kind -> new ArrayList<>()).add(engine);
            }
        }
        return byKind;
    }

    private void recordCoverage(Collection<Engine> engines) {
        coveredStages.clear();
        for (Engine engine : engines) {
            Generation generation = byEngine.get(engine.id());
            if (generation != null && engine.state() == Engine.State.ACTIVE) {
                coveredStages
                        .computeIfAbsent(generation, absent -> EnumSet.noneOf(EngineStage.class))
                        .addAll(stages.apply(engine));
            }
        }
    }

    /** The generation of an engine now; empty where the operators' file counts it in none. */
    Optional<Generation> generationOf(Engine engine) {
        Generation assigned = byEngine.get(engine.id());
        return assigned != null ? Optional.of(assigned) : matching(engine);
    }

    private Optional<Generation> matching(Engine engine) {
        return generations.stream()
                .filter(generation -> generation.contains(engine))
                .findFirst();
    }

    /** Whether an engine, by its id, belonged to a generation when this was worked out. */
    boolean isAssigned(String engineId) {
        return byEngine.containsKey(engineId);
    }

    /** Whether the active engines of a generation can serve a request from its prompt to its answer. */
    boolean coversAllStages(Generation generation) {
        return coveredStages.getOrDefault(generation, Set.of()).equals(ALL_STAGES);
    }

    /** Whether an engine can stream answers. */
    boolean decodes(Engine engine) {
        return stages.apply(engine).contains(EngineStage.DECODE);
    }
}
