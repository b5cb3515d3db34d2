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
 * Which engine may have which request, and in which format: by the operators' generations, the stage of a migration,
 * the request's constraints, and the evidence of what engines speak. The routing policy chooses among the engines that
 * are left.
 *
 * <p>Time is handed in, in clock seconds. Safe for use by several threads: the lock of this object guards all of its
 * state.
 */
public final class EngineEligibility {

    /** First and longest wait until an engine that does not speak its format gets a probe, in seconds. */
    private static final double FIRST_PROBE_SECONDS = 5;

    private static final double MAX_PROBE_SECONDS = 300;

    private final List<Generation> generations;
    private final Optional<ActiveMigration> migration;
    private final FormatEvidence evidence;
    private final GenerationAssignment assignment;
    private final Supplier<Collection<Engine>> listed;

    /**
     * Opens the first stage of the migration, if there is one, at clock time {@code now}.
     *
     * @param generations in the order in which engines are matched
     * @param plan empty where the fleet stays as it is
     * @param listed the engines that are listed now
     * @param stages what an engine does
     * @param seed differs by gateway
     */
    public EngineEligibility(
            List<Generation> generations,
            Optional<MigrationPlan> plan,
            Supplier<Collection<Engine>> listed,
            Function<Engine, Set<EngineStage>> stages,
            long seed,
            double now) {
        this.generations = List.copyOf(generations);
        this.listed = listed;
        this.migration = plan.map(
                moving -> new ActiveMigration(moving, new MigrationProgress(moving, seed, now), named(moving.to())));
        this.evidence = new FormatEvidence(FIRST_PROBE_SECONDS, MAX_PROBE_SECONDS, seed);
        this.assignment = new GenerationAssignment(this.generations, migration, listed, stages);
    }

    private Generation named(String name) {
        return generations.stream()
                .filter(generation -> generation.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no generation is named " + name));
    }

    /** The formats of all generations. */
    public Collection<ApiFormat> formats() {
        return generations.stream().map(Generation::format).distinct().toList();
    }

    /** The generation of an engine now; empty where the operators' file counts it in none. */
    public synchronized Optional<Generation> generationOf(Engine engine) {
        return assignment.generationOf(engine);
    }

    private EngineFormat addressed(Engine engine) {
        return new EngineFormat(engine.id(), assignment.generationOf(engine).map(Generation::format));
    }

    private void refresh(double now) {
        if (assignment.refresh(now)) {
            evidence.retain(assignment::isAssigned);
        }
    }

    /** Whether an engine may have a request now. */
    public synchronized boolean isEligible(Engine engine, RequestConstraints request, double now) {
        refresh(now);
        Optional<Generation> found = assignment.generationOf(engine);
        if (found.isEmpty()) {
            return false;
        }
        Generation generation = found.get();
        return request.inexpressibleField(generation.format()).isEmpty()
                && canTakeKvCache(engine, generation, request)
                && evidence.mayReceive(addressed(engine), engine.startedAt(), request.isRepeatable(), now)
                && canBeFinished(engine, generation, request)
                && isReachedByMigration(engine, generation, request, now);
    }

    /** A KV cache stays within its generation. A prefill engine begins anew, whatever was prefilled before. */
    private boolean canTakeKvCache(Engine engine, Generation generation, RequestConstraints request) {
        return !assignment.decodes(engine)
                || request.prefilledBy().map(generation.name()::equals).orElse(true);
    }

    /** What is prefilled in a generation must be answered there. */
    private boolean canBeFinished(Engine engine, Generation generation, RequestConstraints request) {
        boolean fetchesKvCache =
                assignment.decodes(engine) && request.prefilledBy().isPresent();
        return fetchesKvCache || assignment.coversAllStages(generation);
    }

    /** Whether the stage of the migration, if there is one, lets a request go to an engine that has moved. */
    private boolean isReachedByMigration(Engine engine, Generation generation, RequestConstraints request, double now) {
        if (migration.isEmpty() || !migration.get().isTarget(generation)) {
            return true;
        }
        double tenantFraction = migration.get().progress().stage().tenantFraction();
        return NameHash.fraction("shop " + request.tenant()) < tenantFraction
                && isRampedUp(migration.get(), engine, request, now);
    }

    /** An engine that has just moved shows no load to anybody: it gets its share of requests step by step. */
    private static boolean isRampedUp(ActiveMigration active, Engine engine, RequestConstraints request, double now) {
        double passed = (now - active.progress().openedAt()) / active.plan().rampSeconds();
        return passed >= 1 || NameHash.fraction(request.requestId() + " " + engine.id()) < passed;
    }

    /**
     * The client's field for which no listed engine may have a request, whatever the load: then the client is told at
     * once. Empty where some engine may, or where none may for other reasons.
     */
    public synchronized Optional<String> inexpressibleField(RequestConstraints request, double now) {
        refresh(now);
        Optional<String> field = Optional.empty();
        for (Engine engine : listed.get()) {
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

    /** Records that a request goes to an engine. */
    public synchronized void recordSent(Engine engine) {
        evidence.recordSent(addressed(engine), engine.startedAt());
    }

    /** Records that an engine showed that it does not speak its format. */
    public synchronized void recordNotUnderstood(Engine engine, double now) {
        evidence.recordNotUnderstood(addressed(engine), engine.startedAt(), now);
    }

    /**
     * Records that an attempt at an engine ended.
     *
     * @param understood whether the answer shows that the engine speaks its format
     * @param failed whether the request was not served for a reason that counts against the engine's generation
     * @param firstTokenSeconds time to first token, NaN where there was none
     */
    public synchronized void recordAttemptEnd(
            Engine engine, boolean understood, boolean failed, double firstTokenSeconds, double now) {
        if (understood) {
            evidence.recordUnderstood(addressed(engine));
        } else {
            evidence.recordInconclusive(addressed(engine));
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

    /** Records that a request came, which counts where the new generation's format cannot express it. */
    public synchronized void recordRequest(RequestConstraints request, double now) {
        if (migration.isPresent()
                && request.inexpressibleField(migration.get().target().format()).isPresent()) {
            migration.get().progress().recordUntranslatable(now);
        }
    }

    /** Opens, closes or ends what is due in the migration at clock time {@code now}. */
    public synchronized void advance(double now) {
        migration.ifPresent(active -> active.progress().advance(now));
    }

    /** The keys and values of the log event {@code migration_status}. */
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
