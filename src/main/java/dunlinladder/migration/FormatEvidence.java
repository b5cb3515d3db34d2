package dunlinladder.migration;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Evidence from engines' answers of whether they speak the format in which requests are sent to them. An engine whose
 * answer shows that it does not is ejected. It then gets only half-open probes: rare, one at a time, and only requests
 * that may be repeated. The evidence of an engine is discarded when its process restarts. Evidence is kept only in
 * memory: after a restart, a gateway relies on the operator's file alone.
 *
 * <p>Callers pass the current time in clock seconds. Not thread-safe.
 */
final class FormatEvidence {

    /** Maximum number of doublings of the backoff; the maximum backoff is reached with fewer. */
    private static final int MAX_DOUBLINGS = 30;
    /** Each backoff is multiplied by a random factor from this one up to this one plus {@link #BACKOFF_JITTER}. */
    private static final double MIN_BACKOFF_FACTOR = 0.75;

    private static final double BACKOFF_JITTER = 0.5;

    private final double initialBackoffSeconds;
    private final double maxBackoffSeconds;
    private final Random random;
    private final Map<EngineFormat, Ejection> ejections = new HashMap<>();

    /** The state of an ejected engine; times are in clock seconds. */
    private static final class Ejection {
        double processStartedAt;
        int failures;
        double ejectedUntil;
        boolean probeInFlight;
    }

    /**
     * Creates empty evidence.
     *
     * @param initialBackoffSeconds wait before the first probe of an ejected engine; doubles with each failure
     * @param maxBackoffSeconds longest such wait
     * @param seed seed of the random backoff, different at each gateway so that their probes are spread
     */
    FormatEvidence(double initialBackoffSeconds, double maxBackoffSeconds, long seed) {
        this.initialBackoffSeconds = initialBackoffSeconds;
        this.maxBackoffSeconds = maxBackoffSeconds;
        this.random = new Random(seed);
    }

    /**
     * Whether an engine may get a request now.
     *
     * @param startedAt start time of the engine's process; evidence of an earlier process is discarded
     * @param repeatable whether the request may run again
     */
    boolean mayReceive(EngineFormat engine, double startedAt, boolean repeatable, double now) {
        discardIfRestarted(engine, startedAt);
        Ejection ejection = ejections.get(engine);
        return ejection == null || repeatable && !ejection.probeInFlight && now >= ejection.ejectedUntil;
    }

    /** Records that a request is about to be sent to an engine; returns whether it is a probe of an ejected one. */
    boolean recordSent(EngineFormat engine, double startedAt) {
        discardIfRestarted(engine, startedAt);
        Ejection ejection = ejections.get(engine);
        if (ejection == null) {
            return false;
        }
        ejection.probeInFlight = true;
        return true;
    }

    /** Records that an engine understood a request. */
    void recordUnderstood(EngineFormat engine) {
        ejections.remove(engine);
    }

    /** Records that an engine's answer showed that it does not support the path, the method or the format. */
    void recordNotUnderstood(EngineFormat engine, double startedAt, double now) {
        Ejection ejection = ejections.computeIfAbsent(engine, absent -> new Ejection());
        ejection.processStartedAt = startedAt;
        ejection.probeInFlight = false;
        int doublings = Math.min(MAX_DOUBLINGS, ejection.failures++);
        double backoffSeconds = Math.min(maxBackoffSeconds, initialBackoffSeconds * StrictMath.pow(2, doublings));
        ejection.ejectedUntil = now + backoffSeconds * (MIN_BACKOFF_FACTOR + random.nextDouble() * BACKOFF_JITTER);
    }

    /** Records that an attempt at an engine ended without showing whether it speaks the format. */
    void recordInconclusive(EngineFormat engine) {
        Ejection ejection = ejections.get(engine);
        if (ejection != null) {
            ejection.probeInFlight = false;
        }
    }

    /**
     * Discards the evidence of engines that are no longer assigned to a generation.
     *
     * @param isAssigned whether an engine, given by its id, is listed and belongs to a generation
     */
    void retain(Predicate<String> isAssigned) {
        ejections.keySet().removeIf(engine -> !isAssigned.test(engine.engineId()));
    }

    /** Returns the number of ejected engines. */
    int ejectedCount() {
        return ejections.size();
    }

    private void discardIfRestarted(EngineFormat engine, double startedAt) {
        Ejection ejection = ejections.get(engine);
        if (ejection != null && startedAt > ejection.processStartedAt) {
            ejections.remove(engine);
        }
    }
}
