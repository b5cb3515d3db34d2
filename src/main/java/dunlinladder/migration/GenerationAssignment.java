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
 * The generation of each listed engine, and the stages that the active engines of each generation serve. The assignment
 * is computed again when another stage of the migration opens, and otherwise when it is {@link #MAX_AGE_SECONDS} old;
 * the list changes less often than that.
 *
 * <p>Callers pass the current time in clock seconds. Not thread-safe.
 */
final class GenerationAssignment {

    private static final double MAX_AGE_SECONDS = 0.05;
    private static final int NO_MIGRATION_STAGE = -1;
    private static final Set<EngineStage> ALL_ENGINE_STAGES = EnumSet.allOf(EngineStage.class);

    private final List<Generation> generations;
    private final Optional<ActiveMigration> migration;
    private final Supplier<Collection<Engine>> listedEngines;
    private final Function<Engine, Set<EngineStage>> engineStages;
    private final Map<String, Generation> generationByEngineId = new HashMap<>();
    private final Map<Generation, Set<EngineStage>> coveredStages = new HashMap<>();
    private double assignedAt = Double.NEGATIVE_INFINITY;
    private int assignedMigrationStage = NO_MIGRATION_STAGE;

    /**
     * Creates an empty assignment.
     *
     * @param generations in the order in which an engine is matched against them
     * @param listedEngines supplies the engines that are listed now
     * @param engineStages returns the stages that an engine serves
     */
    GenerationAssignment(
            List<Generation> generations,
            Optional<ActiveMigration> migration,
            Supplier<Collection<Engine>> listedEngines,
            Function<Engine, Set<EngineStage>> engineStages) {
        this.generations = generations;
        this.migration = migration;
        this.listedEngines = listedEngines;
        this.engineStages = engineStages;
    }

    /** Computes the assignment again if it is out of date; returns whether it did so. */
    boolean refresh(double now) {
        int migrationStage = migration.isPresent() ? migration.get().progress().stageNumber() : 0;
        if (now - assignedAt < MAX_AGE_SECONDS && migrationStage == assignedMigrationStage) {
            return false;
        }
        assignedAt = now;
        assignedMigrationStage = migrationStage;
        generationByEngineId.clear();
        Collection<Engine> engines = listedEngines.get();
        for (Engine engine : engines) {
            matchingGeneration(engine).ifPresent(generation -> generationByEngineId.put(engine.id(), generation));
        }
        migration.ifPresent(active -> moveEngines(active, engines));
        updateCoveredStages(engines);
        return true;
    }

    /**
     * Assigns the migration stage's fraction of the source generation's engines to the target generation. Takes the
     * first engines of each kind in a fixed order, so that all gateways migrate the same engines and the same fraction
     * of each kind, rounded up to whole engines.
     */
    private void moveEngines(ActiveMigration active, Collection<Engine> engines) {
        double fraction = active.progress().stage().engineFraction();
        for (List<Engine> sameKindEngines : sourceEnginesByKind(active, engines).values()) {
            sameKindEngines.sort(Comparator.comparingDouble((Engine engine) -> NameHash.fraction(engine.id()))
                    .thenComparing(Engine::id));
            int movedCount = (int) Math.ceil(fraction * sameKindEngines.size());
            for (Engine engine : sameKindEngines.subList(0, movedCount)) {
                generationByEngineId.put(engine.id(), active.target());
            }
        }
    }

    private Map<Integer, List<Engine>> sourceEnginesByKind(ActiveMigration active, Collection<Engine> engines) {
        Map<Integer, List<Engine>> byKind = new TreeMap<>();
        for (Engine engine : engines) {
            Generation generation = generationByEngineId.get(engine.id());
            if (generation != null && active.isSource(generation)) {
                byKind.computeIfAbsent(engine.kind(), kind -> new ArrayList<>()).add(engine);
            }
        }
        return byKind;
    }

    private void updateCoveredStages(Collection<Engine> engines) {
        coveredStages.clear();
        for (Engine engine : engines) {
            Generation generation = generationByEngineId.get(engine.id());
            if (generation != null && engine.state() == Engine.State.ACTIVE) {
                coveredStages
                        .computeIfAbsent(generation, absent -> EnumSet.noneOf(EngineStage.class))
                        .addAll(engineStages.apply(engine));
            }
        }
    }

    /** Returns the current generation of an engine; empty if the engine matches none in the operator's file. */
    Optional<Generation> generationOf(Engine engine) {
        Generation assigned = generationByEngineId.get(engine.id());
        return assigned != null ? Optional.of(assigned) : matchingGeneration(engine);
    }

    private Optional<Generation> matchingGeneration(Engine engine) {
        return generations.stream()
                .filter(generation -> generation.contains(engine))
                .findFirst();
    }

    /** Whether an engine, given by its id, belonged to a generation when the assignment was computed. */
    boolean isAssigned(String engineId) {
        return generationByEngineId.containsKey(engineId);
    }

    /** Whether the active engines of a generation can serve both stages of a request. */
    boolean coversAllStages(Generation generation) {
        return coveredStages.getOrDefault(generation, Set.of()).equals(ALL_ENGINE_STAGES);
    }

    /** Whether an engine serves the decode stage. */
    boolean decodes(Engine engine) {
        return engineStages.apply(engine).contains(EngineStage.DECODE);
    }
}
