package dunlinladder.migration;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * What engines' answers show of whether they speak the format that the operator's file says. One that shows that it
 * does not is left out, and tried again rarely and only with a request that may be repeated. What is known of an engine
 * ends with its process, and all of it with the gateway's: a restart goes by the file.
 *
 * <p>Time is handed in, in seconds; not safe for use by several threads at once.
 */
public final class FormatEvidence {

    private final double firstSeconds;
    private final double mostSeconds;
    private final Random random;
    private final Map<String, Standing> standings = new HashMap<>();

    private static final class Standing {
        double startedAt;
        int misses;
        double barredUntil = Double.NEGATIVE_INFINITY;
        boolean trialOut;
    }

    /**
     * Creates empty evidence.
     *
     * @param firstSeconds until an engine that was left out is tried again; doubled each time
     * @param mostSeconds the longest such wait
     * @param seed spreads the trials of many gateways
     */
    public FormatEvidence(double firstSeconds, double mostSeconds, long seed) {
        this.firstSeconds = firstSeconds;
        this.mostSeconds = mostSeconds;
        this.random = new Random(seed);
    }

    /** Whether an engine may get a request now; {@code safe} is one that may run again. */
    public boolean may(String engine, double startedAt, boolean safe, double now) {
        Standing standing = of(engine, startedAt);
        return standing == null || standing.misses == 0 || safe && !standing.trialOut && now >= standing.barredUntil;
    }

    /** A request goes to an engine; true when it is a trial of one that was left out. */
    public boolean sent(String engine, double startedAt) {
        Standing standing = of(engine, startedAt);
        if (standing == null || standing.misses == 0) {
            return false;
        }
        standing.trialOut = true;
        return true;
    }

    /** An engine understood a request. */
    public void understood(String engine) {
        standings.remove(engine);
    }

    /** An engine showed that it does not know the path, the method or the format. */
    public void knowsNot(String engine, double startedAt, double now) {
        Standing standing = standings.computeIfAbsent(engine, e -> new Standing());
        standing.startedAt = startedAt;
        standing.trialOut = false;
        double wait = Math.min(mostSeconds, firstSeconds * Math.pow(2, Math.min(30, standing.misses++)));
        standing.barredUntil = now + wait * (0.75 + random.nextDouble() / 2);
    }

    /** A request at an engine ended and showed neither. */
    public void silent(String engine) {
        Standing standing = standings.get(engine);
        if (standing != null) {
            standing.trialOut = false;
        }
    }

    /** Forgets all engines but these; others have left the list for good. */
    public void retain(Predicate<String> listed) {
        standings.keySet().removeIf(engine -> !listed.test(engine));
    }

    /** How many engines are left out. */
    public int barred() {
        return (int) standings.values().stream().filter(s -> s.misses > 0).count();
    }

    private Standing of(String engine, double startedAt) {
        Standing standing = standings.get(engine);
        if (standing != null && startedAt > standing.startedAt) {
            standings.remove(engine);
            return null;
        }
        return standing;
    }
}
