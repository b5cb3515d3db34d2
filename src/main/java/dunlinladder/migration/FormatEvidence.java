package dunlinladder.migration;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * What engines' answers show of whether they speak the format in which they are addressed. One that shows that it does
 * not is ejected, and gets half-open probes only: rarely, one at a time, and a request that may be repeated. What is
 * known of an engine ends with its process, and all of it with the gateway's: a restart goes by the operators' file.
 *
 * <p>Time is handed in, in clock seconds; not safe for use by several threads.
 */
final class FormatEvidence {

    /** Doublings of the wait beyond which the longest wait holds in any case. */
    private static final int MAX_DOUBLINGS = 30;
    /** A wait is drawn between this fraction of it and that plus {@link #WAIT_SPREAD}. */
    private static final double MIN_WAIT_FRACTION = 0.75;

    private static final double WAIT_SPREAD = 0.5;

    private final double firstWaitSeconds;
    private final double maxWaitSeconds;
    private final Random random;
    private final Map<EngineFormat, Ejection> ejections = new HashMap<>();

    /** What is known of an engine that did not speak its format; times are clock seconds. */
    private static final class Ejection {
        double processStartedAt;
        int failures;
        double ejectedUntil;
        boolean probeInFlight;
    }

    /**
     * Creates empty evidence.
     *
     * @param firstWaitSeconds until an ejected engine gets a probe; doubled each time
     * @param maxWaitSeconds the longest such wait
     * @param seed spreads the probes of many gateways
     */
    FormatEvidence(double firstWaitSeconds, double maxWaitSeconds, long seed) {
        this.firstWaitSeconds = firstWaitSeconds;
        this.maxWaitSeconds = maxWaitSeconds;
        this.random = new Random(seed);
    }

    /**
     * Whether an engine may get a request now.
     *
     * @param startedAt when its process started; evidence of an earlier one no longer counts
     * @param repeatable whether the request may run again
     */
    boolean mayReceive(EngineFormat engine, double startedAt, boolean repeatable, double now) {
        discardIfRestarted(engine, startedAt);
        Ejection ejection = ejections.get(engine);
        return ejection == null || repeatable && !ejection.probeInFlight && now >= ejection.ejectedUntil;
    }

    /** Records that a request goes to an engine; true when it is a probe of an ejected one. */
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

    /** Records that an engine showed that it does not know the path, the method or the format. */
    void recordNotUnderstood(EngineFormat engine, double startedAt, double now) {
        Ejection ejection = ejections.computeIfAbsent(engine, absent -> new Ejection());
        ejection.processStartedAt = startedAt;
        ejection.probeInFlight = false;
        int doublings = Math.min(MAX_DOUBLINGS, ejection.failures++);
        double wait = Math.min(maxWaitSeconds, firstWaitSeconds * Math.pow(2, doublings));
        ejection.ejectedUntil = now + wait * (MIN_WAIT_FRACTION + random.nextDouble() * WAIT_SPREAD);
    }

    /** Records that a request at an engine ended and showed neither. */
    void recordInconclusive(EngineFormat engine) {
        Ejection ejection = ejections.get(engine);
        if (ejection != null) {
            ejection.probeInFlight = false;
        }
    }

    /** Discards what is known of engines, by their id, that are no longer listed. */
    void retain(Predicate<String> listed) {
        ejections.keySet().removeIf(engine -> !listed.test(engine.engineId()));
    }

    /** The number of ejected engines. */
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
