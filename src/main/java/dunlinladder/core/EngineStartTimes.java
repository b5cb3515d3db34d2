package dunlinladder.core;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Translates the start times of engines from Unix time to this process's monotonic clock. Endpoint lists contain start
 * times in Unix time, which can be compared with the machine's wall clock only while the wall clock is right. An engine
 * whose age is overestimated gets more load than it can handle.
 *
 * <ul>
 *   <li>Once discovery has answered, a start that was not reported before happened at most some seconds before its
 *       update arrived. This delay is estimated twice: by the wall clock, and by the update with the shortest delay so
 *       far. The smaller estimate is used, so that one wrong clock, here or at an engine, does not make an engine older
 *       than it is.
 *   <li>Earlier starts, in the first lists, are dated by the wall clock if that is plausible. A start in the wall
 *       clock's future shows that the wall clock is wrong. The current time is then derived from the latest start in
 *       the list.
 *   <li>If the wall clock is ahead, engines that have just started look like old engines. The engines that started
 *       last, all within one warm-up time, are therefore treated as a fleet that is starting: the age of each is at
 *       most the difference between its start and the latest one, plus an age that is safe for any engine. For a while
 *       these engines may get less load than they could handle, but never none.
 * </ul>
 *
 * <p>Not safe for use by several threads at once.
 */
public final class EngineStartTimes {

    /** Start time that means "long ago". */
    private static final double LONG_AGO = 0;
    /** Minimum clock time, in seconds, of a start that is not "long ago". */
    private static final double MIN_START_SECONDS = 1;
    /** Seconds by which the wall clocks of a fleet may differ without one of them being considered wrong. */
    private static final double CLOCK_SKEW_SECONDS = 1;
    /** Maximum delay in seconds that is assumed for an update with a new start. */
    private static final double MAX_UPDATE_DELAY_SECONDS = 6;
    /**
     * Defines the age that is safe for an engine of unknown age: by then its capacity has grown by this multiple of its
     * capacity at the start. Slow start uses half of the load that the rules allow, so an estimate of up to twice the
     * actual capacity is safe.
     */
    private static final double SAFE_ADDED_CAPACITY = 0.6;
    /** Maximum number of engines whose start is remembered, including engines that have left. */
    private static final int MAX_KNOWN_STARTS = 8192;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final double warmUpSeconds;
    private final double safeAgeSeconds;
    private final Map<String, Start> knownStarts = new LruMap<>(MAX_KNOWN_STARTS);
    /**
     * Maximum, over all new starts so far, of the reported start (Unix time) minus the clock time at which it arrived:
     * the update with the maximum had the shortest delay.
     */
    private double maxStartOffset = Double.NEGATIVE_INFINITY;
    /** Whether discovery has answered; starts that it reports for the first time afterwards are recent. */
    private boolean discoveryAnswered;

    /** A start as reported, in Unix seconds, and as clock time in seconds. */
    private record Start(double unixSeconds, double clockSeconds) {}

    /**
     * Creates the translation for a fleet whose engines are warm after {@code warmUpSeconds}.
     *
     * @param startCapacity the fraction of its capacity that an engine has at its start
     */
    public EngineStartTimes(MonotonicClock clock, WallClock wallClock, double warmUpSeconds, double startCapacity) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.warmUpSeconds = warmUpSeconds;
        // The rest of the capacity is added in proportion to the age.
        double added = 1 - startCapacity;
        this.safeAgeSeconds =
                added > 0 ? warmUpSeconds * Math.min(1, SAFE_ADDED_CAPACITY * startCapacity / added) : warmUpSeconds;
    }

    /**
     * Translates the start times of the engines of an update from Unix time to clock time. Updates must be passed in
     * order.
     *
     * @param cached whether the list is from before this process started
     */
    public List<Engine> toClockTime(List<Engine> engines, boolean cached) {
        double now = clock.now();
        TimeReference reference = discoveryAnswered ? null : timeReference(engines);
        List<Engine> translated = engines.stream()
                .map(engine -> engine.withStartedAt(startedAt(engine, now, reference)))
                .collect(Collectors.toList());
        discoveryAnswered |= !cached;
        return translated;
    }

    /** Returns the start of an engine in clock time; {@code reference} is null once discovery has answered. */
    private double startedAt(Engine engine, double now, TimeReference reference) {
        if (engine.startedAt() <= 0) {
            return LONG_AGO;
        }
        Start knownStart = knownStarts.get(engine.id());
        if (knownStart != null && knownStart.unixSeconds == engine.startedAt()) {
            return knownStart.clockSeconds;
        }
        double age = reference == null ? ageOfNewStart(engine.startedAt(), now) : reference.age(engine.startedAt());
        double clockSeconds = Math.max(MIN_START_SECONDS, now - age);
        knownStarts.put(engine.id(), new Start(engine.startedAt(), clockSeconds));
        return clockSeconds;
    }

    private double ageOfNewStart(double startedAt, double now) {
        maxStartOffset = Math.max(maxStartOffset, startedAt - now);
        double ageByFastestUpdate = now + maxStartOffset - startedAt;
        double ageByWallClock = wallClock.now() - startedAt;
        return Math.max(0, Math.min(MAX_UPDATE_DELAY_SECONDS, Math.min(ageByFastestUpdate, ageByWallClock)));
    }

    /**
     * The current time by which the starts in the first lists are dated.
     *
     * @param unixSeconds the current Unix time, which may come from a wrong clock
     * @param latestStart the latest start in the list, in Unix seconds
     */
    private record TimeReference(double unixSeconds, double latestStart, double warmUpSeconds, double safeAgeSeconds) {

        double age(double startedAt) {
            double ageByClock = unixSeconds - startedAt;
            boolean startedRecently = startedAt >= latestStart - warmUpSeconds;
            double ageByLatestStart = safeAgeSeconds + latestStart - startedAt;
            return Math.max(0, startedRecently ? Math.min(ageByClock, ageByLatestStart) : ageByClock);
        }
    }

    private TimeReference timeReference(List<Engine> engines) {
        double latestStart =
                engines.stream().mapToDouble(Engine::startedAt).max().orElse(0);
        double wallSeconds = wallClock.now();
        double unixSeconds =
                latestStart > wallSeconds + CLOCK_SKEW_SECONDS ? latestStart + safeAgeSeconds : wallSeconds;
        return new TimeReference(unixSeconds, latestStart, warmUpSeconds, safeAgeSeconds);
    }
}
