package dunlinladder.migration;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.core.Engine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.zip.CRC32;

/**
 * Which engine may have which request, and in which format: by the operator's generations, the stage of a move, the
 * request's needs, and the evidence. The decision module chooses among the engines that are left.
 *
 * <p>Time is handed in, in clock seconds. Safe for use by several threads.
 */
public final class EngineEligibility {

    /** First and longest wait until an engine that does not speak its format is tried again, in seconds. */
    private static final double TRIAL_FIRST = 5;

    private static final double TRIAL_MOST = 300;
    /** For which engines stay sorted into generations; the list changes more rarely. */
    private static final double ASSIGN_SECONDS = 0.05;

    /** An engine that reads prompts. */
    public static final int READS = 1;
    /** An engine that writes answers. */
    public static final int WRITES = 2;

    private final List<Generation> generations;
    private final MigrationPlan move;
    private final MigrationProgress progress;
    private final FormatEvidence evidence;
    private final Supplier<Collection<Engine>> list;
    private final ToIntFunction<Engine> stages;
    /** The generation of each listed engine, and what the engines of each can do, as of {@code assignedAt}. */
    private final Map<String, Generation> assigned = new HashMap<>();

    private final Map<Generation, Integer> covered = new HashMap<>();
    private double assignedAt = Double.NEGATIVE_INFINITY;
    private int assignedStage = -1;

    /** What a request needs, as far as engines differ in it. */
    public static final class Ask {
        private final String id;
        private final int shop;
        private final boolean safe;
        private final Map<ApiFormat, String> lacking = new EnumMap<>(ApiFormat.class);
        /** The generation whose engine read the prompt; null while none has. */
        private String readBy;

        /** Creates it; {@code safe} tells whether the request may run again. */
        public Ask(String id, int shop, boolean safe) {
            this.id = id;
            this.shop = shop;
            this.safe = safe;
        }

        /** A format can't express the request for a field's sake. */
        public synchronized void lacks(ApiFormat format, String field) {
            lacking.put(format, field);
        }

        private synchronized String lacking(ApiFormat format) {
            return lacking.get(format);
        }

        /** Its prompt was read by an engine of a generation: only engines of that one can take the state. */
        public synchronized void readBy(String generation) {
            readBy = generation;
        }

        private synchronized String readBy() {
            return readBy;
        }
    }

    /**
     * Creates the routing.
     *
     * @param move null where the fleet stays as it is
     * @param list the engines that are listed now
     * @param stages what an engine does: {@link #READS}, {@link #WRITES} or their sum
     */
    public EngineEligibility(
            List<Generation> generations,
            MigrationPlan move,
            Supplier<Collection<Engine>> list,
            ToIntFunction<Engine> stages,
            long seed,
            double now) {
        this.list = list;
        this.stages = stages;
        this.generations = List.copyOf(generations);
        this.move = move;
        this.progress = move == null ? null : new MigrationProgress(move, seed, now);
        this.evidence = new FormatEvidence(TRIAL_FIRST, TRIAL_MOST, seed);
    }

    /** The formats of all generations. */
    public Collection<ApiFormat> formats() {
        return generations.stream().map(Generation::format).distinct().toList();
    }

    /** The generation of an engine now; empty where the file counts it in none. */
    public synchronized Optional<Generation> of(Engine engine) {
        Generation known = assigned.get(engine.id());
        return known != null
                ? Optional.of(known)
                : generations.stream().filter(g -> g.holds(engine)).findFirst();
    }

    /**
     * Sorts the engines into their generations: of those that are to move, in each kind the first by a fixed order, so
     * that all gateways settle on the same ones and each kind moves by the stage's share.
     */
    private void assign(double now) {
        int stage = move == null ? 0 : progress.number();
        if (now - assignedAt < ASSIGN_SECONDS && stage == assignedStage) {
            return;
        }
        assignedAt = now;
        assignedStage = stage;
        assigned.clear();
        covered.clear();
        Map<Integer, List<Engine>> leaving = new TreeMap<>();
        for (Engine engine : list.get()) {
            generations.stream().filter(g -> g.holds(engine)).findFirst().ifPresent(generation -> {
                assigned.put(engine.id(), generation);
                if (move != null && generation.name().equals(move.from())) {
                    leaving.computeIfAbsent(engine.kind(), k -> new ArrayList<>())
                            .add(engine);
                }
            });
        }
        for (List<Engine> kind : leaving.values()) {
            kind.sort(Comparator.comparingDouble((Engine e) -> place(e.id())).thenComparing(Engine::id));
            int moved = (int) Math.ceil(progress.stage().engines() * kind.size());
            kind.subList(0, moved).forEach(engine -> assigned.put(engine.id(), named(move.to())));
        }
        evidence.retain(key -> assigned.containsKey(key.substring(key.indexOf(' ') + 1)));
        for (Engine engine : list.get()) {
            Generation generation = assigned.get(engine.id());
            if (generation != null && engine.state() == Engine.State.ACTIVE) {
                covered.merge(generation, stages.applyAsInt(engine), (x, y) -> x | y);
            }
        }
    }

    /** Evidence is of an engine and a format: one that moves is judged anew. */
    private String key(Engine engine) {
        return of(engine).map(g -> g.format().key()).orElse("") + " " + engine.id();
    }

    /** The generation of that name. */
    public Generation named(String name) {
        return generations.stream()
                .filter(g -> g.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Whether an engine may have a request now. */
    public synchronized boolean may(Engine engine, Ask ask, double now) {
        assign(now);
        Generation generation = of(engine).orElse(null);
        // A reader begins anew, whatever was read before and may be lost.
        boolean writes = stages.applyAsInt(engine) != READS;
        if (generation == null
                || ask.lacking(generation.format()) != null
                || writes && ask.readBy() != null && !ask.readBy().equals(generation.name())
                || !evidence.may(key(engine), engine.startedAt(), ask.safe, now)) {
            return false;
        }
        if ((!writes || ask.readBy() == null) && covered.getOrDefault(generation, 0) != (READS | WRITES)) {
            // What is read there could not be answered there.
            return false;
        }
        if (move == null || !generation.name().equals(move.to())) {
            return true;
        }
        return place("shop " + ask.shop) < progress.stage().shops() && ramped(engine, ask, now);
    }

    /** An engine that has just moved shows no load to anybody: it gets its share of requests step by step. */
    private boolean ramped(Engine engine, Ask ask, double now) {
        double passed = (now - progress.openedAt()) / move.rampSeconds();
        return passed >= 1 || place(ask.id + " " + engine.id()) < passed;
    }

    /**
     * The client's field for which no engine of the list may have a request, whatever the load: then it is told at
     * once. Empty where some engine may, or where none may for other reasons.
     */
    public synchronized Optional<String> hopeless(Ask ask, double now) {
        assign(now);
        String field = null;
        for (Engine engine : list.get()) {
            Generation generation = of(engine).orElse(null);
            if (generation != null) {
                String lacks = ask.lacking(generation.format());
                if (lacks == null) {
                    return Optional.empty();
                }
                field = lacks;
            }
        }
        return Optional.ofNullable(field);
    }

    /** A request goes to an engine. */
    public synchronized void sent(Engine engine) {
        evidence.sent(key(engine), engine.startedAt());
    }

    /** An engine showed that it does not speak its format. */
    public synchronized void knowsNot(Engine engine, double now) {
        evidence.knowsNot(key(engine), engine.startedAt(), now);
    }

    /**
     * An attempt at an engine ended.
     *
     * @param understood whether the answer shows that the engine speaks its format
     * @param delay seconds to the first token, NaN where there was none
     */
    public synchronized void ended(Engine engine, boolean understood, boolean failed, double delay, double now) {
        if (understood) {
            evidence.understood(key(engine));
        } else {
            evidence.silent(key(engine));
        }
        if (move != null) {
            String name = of(engine).map(Generation::name).orElse("");
            if (name.equals(move.to()) || name.equals(move.from())) {
                progress.answered(name.equals(move.to()), failed, delay, now);
            }
        }
    }

    /** A request came that the new generation's format can't express. */
    public synchronized void asked(Ask ask, double now) {
        if (move != null && ask.lacking(named(move.to()).format()) != null) {
            progress.untranslatable(now);
        }
    }

    /** Time has passed. */
    public synchronized void tick(double now) {
        if (progress != null) {
            progress.tick(now);
        }
    }

    /** One line on where things stand, for the log. */
    public synchronized String standing() {
        return move == null
                ? "barred=" + evidence.barred()
                : "move=" + move.from() + ">" + move.to()
                        + " stage="
                        + progress.number() + " state=" + progress.state() + " barred=" + evidence.barred()
                        + (progress.reason().isEmpty() ? "" : " reason=\"" + progress.reason() + "\"");
    }

    /** A name's fixed place between 0 and 1, the same at every gateway. */
    static double place(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        // Neighbours in name lie close in the sum alone: a multiplication spreads them.
        return (crc.getValue() * 0x9E3779B97F4A7C15L >>> 11) * 0x1p-53;
    }
}
