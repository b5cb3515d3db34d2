package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Decides which engines may receive a request, and in which format. The decision depends on the operator's generations,
 * the stage of a migration, the request's constraints, and the evidence of whether engines speak their format. The
 * routing policy chooses among the eligible engines.
 *
 * <p>Callers pass the current time in clock seconds. Thread-safe: the lock of this object guards all of its state.
 */
public final class EngineEligibility {

    /** First and longest wait before a probe of an engine that does not speak its format; doubles with each failure. */
    private static final double INITIAL_PROBE_BACKOFF_SECONDS = 5;

    private static final double MAX_PROBE_BACKOFF_SECONDS = 300;

    private final List<Generation> generations;
    private final Optional<ActiveMigration> migration;
    private final FormatEvidence evidence;
    private final GenerationAssignment assignment;
    private final Supplier<Collection<Engine>> listedEngines;

    /**
     * Opens the first stage of the migration, if there is one, at clock time {@code now}.
     *
     * @param generations in the order in which an engine is matched against them
     * @param plan empty if there is no migration
     * @param listedEngines supplies the engines that are listed now
     * @param engineStages returns the stages that an engine serves
     * @param seed seed of the random delays, different at each gateway
     */
    public EngineEligibility(
            List<Generation> generations,
            Optional<MigrationPlan> plan,
            Supplier<Collection<Engine>> listedEngines,
            Function<Engine, Set<EngineStage>> engineStages,
            long seed,
            double now) {
        this.generations = List.copyOf(generations);
        this.listedEngines = listedEngines;
        this.migration = plan.map(migrationPlan -> new ActiveMigration(
                migrationPlan, new MigrationProgress(migrationPlan, seed, now), generationNamed(migrationPlan.to())));
        this.evidence = new FormatEvidence(INITIAL_PROBE_BACKOFF_SECONDS, MAX_PROBE_BACKOFF_SECONDS, seed);
        this.assignment = new GenerationAssignment(this.generations, migration, listedEngines, engineStages);
    }

    private Generation generationNamed(String name) {
        return generations.stream()
                .filter(generation -> generation.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no generation is named " + name));
    }

    /** Returns the formats of all generations, each once. */
    public Collection<ApiFormat> formats() {
        return generations.stream().map(Generation::format).distinct().toList();
    }

    /** Returns the current generation of an engine; empty if the engine matches none in the operator's file. */
    public synchronized Optional<Generation> generationOf(Engine engine) {
        return assignment.generationOf(engine);
    }

    private EngineFormat engineFormat(Engine engine) {
        return new EngineFormat(engine.id(), assignment.generationOf(engine).map(Generation::format));
    }

    private void refresh(double now) {
        if (assignment.refresh(now)) {
            evidence.retain(assignment::isAssigned);
        }
    }

    /** Whether an engine may receive a request now. */
    public synchronized boolean isEligible(Engine engine, RequestConstraints request, double now) {
        refresh(now);
        Optional<Generation> assigned = assignment.generationOf(engine);
        if (assigned.isEmpty()) {
            return false;
        }
        Generation generation = assigned.get();
        return request.inexpressibleField(generation.format()).isEmpty()
                && canUseKvCache(engine, generation, request)
                && evidence.mayReceive(engineFormat(engine), engine.startedAt(), request.isRepeatable(), now)
                && canCompleteRequest(engine, generation, request)
                && isAllowedByMigration(engine, generation, request, now);
    }

    /**
     * Whether the KV cache of the prompt, if there is one, allows the engine. A KV cache can be fetched only within its
     * generation. A prefill engine fetches none: it prefills the prompt again.
     */
    private boolean canUseKvCache(Engine engine, Generation generation, RequestConstraints request) {
        return !assignment.decodes(engine)
                || request.prefillGeneration().map(generation.name()::equals).orElse(true);
    }

    /**
     * Whether the request can be completed after it has gone to the engine. A prompt that is prefilled in a generation
     * must be answered there, so the generation needs active engines for both stages. This does not apply to a decode
     * engine that fetches an existing KV cache.
     */
    private boolean canCompleteRequest(Engine engine, Generation generation, RequestConstraints request) {
        boolean fetchesKvCache =
                assignment.decodes(engine) && request.prefillGeneration().isPresent();
        return fetchesKvCache || assignment.coversAllStages(generation);
    }

    /**
     * Whether the current stage of the migration, if there is one, lets a request go to an engine. Only engines of the
     * target generation are restricted.
     */
    private boolean isAllowedByMigration(Engine engine, Generation generation, RequestConstraints request, double now) {
        if (migration.isEmpty() || !migration.get().isTarget(generation)) {
            return true;
        }
        double tenantFraction = migration.get().progress().stage().tenantFraction();
        return NameHash.fraction("shop " + request.tenant()) < tenantFraction
                && isRampedUp(migration.get(), engine, request, now);
    }

    /**
     * Whether the ramp-up of the current stage allows an engine to get a request. An engine that has just migrated
     * shows no load to any gateway, so the fraction of requests that may go to it grows from 0 to 1 within
     * {@code rampSeconds} from the opening of the stage.
     */
    private static boolean isRampedUp(ActiveMigration active, Engine engine, RequestConstraints request, double now) {
        double rampFraction =
                (now - active.progress().openedAt()) / active.plan().rampSeconds();
        return rampFraction >= 1 || NameHash.fraction(request.requestId() + " " + engine.id()) < rampFraction;
    }

    /**
     * Returns the client's field because of which no listed engine can serve the request, whatever the load, so that
     * the client can get its error at once. Empty if the format of some listed engine can express the request, or if no
     * listed engine belongs to a generation.
     */
    public synchronized Optional<String> inexpressibleField(RequestConstraints request, double now) {
        refresh(now);
        Optional<String> field = Optional.empty();
        for (Engine engine : listedEngines.get()) {
            Optional<Generation> generation = assignment.generationOf(engine);
            if (generation.isPresent()) {
                field = request.inexpressibleField(generation.get().format());
                if (field.isEmpty()) {
                    return Optional.empty();
                }
            }
        }
        return field;
    }

    /** Records that a request is about to be sent to an engine. */
    public synchronized void recordSent(Engine engine) {
        evidence.recordSent(engineFormat(engine), engine.startedAt());
    }

    /** Records that an engine's answer showed that it does not speak its format. */
    public synchronized void recordNotUnderstood(Engine engine, double now) {
        evidence.recordNotUnderstood(engineFormat(engine), engine.startedAt(), now);
    }

    /**
     * Records that an attempt at an engine ended.
     *
     * @param understood whether the answer shows that the engine speaks its format
     * @param failed whether the request was not served for a reason that counts against the engine's generation
     * @param firstTokenSeconds time to first token, NaN if there was none
     */
    public synchronized void recordAttemptEnd(
            Engine engine, boolean understood, boolean failed, double firstTokenSeconds, double now) {
        if (understood) {
            evidence.recordUnderstood(engineFormat(engine));
        } else {
            evidence.recordInconclusive(engineFormat(engine));
        }
        Optional<Generation> generation = assignment.generationOf(engine);
        if (migration.isEmpty() || generation.isEmpty()) {
            return;
        }
        boolean byTarget = migration.get().isTarget(generation.get());
        if (byTarget || migration.get().isSource(generation.get())) {
            migration.get().progress().recordAnswer(byTarget, failed, firstTokenSeconds, now);
        }
    }

    /** Records a new request. It counts only if the target generation's format cannot express it. */
    public synchronized void recordRequest(RequestConstraints request, double now) {
        if (migration.isPresent()
                && request.inexpressibleField(migration.get().target().format()).isPresent()) {
            migration.get().progress().recordUntranslatable(now);
        }
    }

    /** Opens the next stage of the migration, steps back or ends it, if that is due at clock time {@code now}. */
    public synchronized void advance(double now) {
        migration.ifPresent(active -> active.progress().advance(now));
    }

    /** Returns the keys and values of the log event {@code migration_status}. */
    public synchronized String statusText() {
        String ejected = "barred=" + evidence.ejectedCount();
        if (migration.isEmpty()) {
            return ejected;
        }
        MigrationPlan plan = migration.get().plan();
        MigrationProgress progress = migration.get().progress();
        String reason = progress.reason().isEmpty() ? "" : " reason=\"" + progress.reason() + "\"";
        return "move=" + plan.from() + ">" + plan.to() + " stage=" + progress.stageNumber() + " state="
                + progress.state() + " " + ejected + reason;
    }
}
