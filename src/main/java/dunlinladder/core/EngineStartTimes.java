package dunlinladder.core;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * When engines started, by this process's monotonic clock. Lists state it in Unix time, which compares with the
 * machine's wall clock only while that is right, and an engine that is taken for older than it is gets more than it can
 * bear.
 *
 * <ul>
 *   <li>A start that is news to a process that has followed the list lies at most some seconds before the news. How
 *       many is estimated twice, by the wall clock and by the news that travelled fastest so far, and the lower one
 *       counts: one wrong clock, here or at an engine, makes no engine older than it is.
 *   <li>Starts from before that, in the first lists, go by the wall clock where it makes sense. A start in its future
 *       shows that it is wrong: the latest start of all stands for the present then.
 *   <li>A wall clock that is ahead cannot be told from engines that are old. Those that started last, all within the
 *       time of one warm-up, count as a fleet that starts: never older than the differences of their starts say, and an
 *       age more that is safe for any of them. For a while they may get less than they could bear, never none.
 * </ul>
 *
 * <p>One thread at a time.
 */
public final class EngineStartTimes {

    /** What stands for a start long ago. */
    private static final double LONG_AGO = 0;
    /** Least time that is not "long ago". */
    private static final double EARLIEST = 1;
    /** By which wall clocks of a fleet may differ without one of them being wrong. */
    private static final double CLOCK_SKEW_SECONDS = 1;
    /** Longest way of news that is believed. */
    private static final double MAX_NEWS_SECONDS = 6;
    /**
     * The age that is safe for an engine of unknown age: it adds so much of the part of its capacity that an engine has
     * at its start. Slow start uses half of what the rules allow, so that up to twice that part is safe.
     */
    private static final double SAFE_ADDED_CAPACITY = 0.6;
    /** Engines of which the start is remembered, those that have left included. */
    private static final int MAX_KNOWN = 8192;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final double warmUpSeconds;
    private final double safeAgeSeconds;
    private final Map<String, Start> known = new LruMap<>(MAX_KNOWN);
    /** Greatest difference of a stated start to the clock at its news: that news was the shortest time under way. */
    private double fastestNews = Double.NEGATIVE_INFINITY;
    /** Whether discovery has answered, so that what it says from now on is news. */
    private boolean following;

    /** A start as it was stated, in Unix seconds, and as clock time. */
    private record Start(double stated, double at) {}

    /**
     * Creates it for a fleet whose engines are warm after {@code warmUpSeconds}.
     *
     * @param startCapacity the part of its capacity that an engine has at its start
     */
    public EngineStartTimes(MonotonicClock clock, WallClock wallClock, double warmUpSeconds, double startCapacity) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.warmUpSeconds = warmUpSeconds;
        // A part of the capacity is added in proportion to the age.
        double gained = 1 - startCapacity;
        this.safeAgeSeconds =
                gained > 0 ? warmUpSeconds * Math.min(1, SAFE_ADDED_CAPACITY * startCapacity / gained) : warmUpSeconds;
    }

    /**
     * Translates the engines of an update from Unix time to the clock's; updates come in their order.
     *
     * @param cached whether the list is from before this process started
     */
    public List<Engine> onClock(List<Engine> stated, boolean cached) {
        double now = clock.now();
        Present present = following ? null : present(stated);
        List<Engine> translated = stated.stream()
                .map(engine -> engine.withStartedAt(startedAt(engine, now, present)))
                .collect(Collectors.toList());
        following |= !cached;
        return translated;
    }

    private double startedAt(Engine engine, double now, Present present) {
        if (engine.startedAt() <= 0) {
            return LONG_AGO;
        }
        Start before = known.get(engine.id());
        if (before != null && before.stated == engine.startedAt()) {
            return before.at;
        }
        double age = present == null ? ageOfNews(engine.startedAt(), now) : present.age(engine.startedAt());
        double at = Math.max(EARLIEST, now - age);
        known.put(engine.id(), new Start(engine.startedAt(), at));
        return at;
    }

    private double ageOfNews(double startedAt, double now) {
        fastestNews = Math.max(fastestNews, startedAt - now);
        double byFastestNews = now + fastestNews - startedAt;
        double byWallClock = wallClock.now() - startedAt;
        return Math.max(0, Math.min(MAX_NEWS_SECONDS, Math.min(byFastestNews, byWallClock)));
    }

    /**
     * What the first lists are read by.
     *
     * @param unixSeconds the present, perhaps by a wrong clock
     * @param latestStart the latest start of all, in Unix seconds
     */
    private record Present(double unixSeconds, double latestStart, double warmUpSeconds, double safeAgeSeconds) {

        double age(double startedAt) {
            double byClock = unixSeconds - startedAt;
            boolean inDoubt = startedAt >= latestStart - warmUpSeconds;
            double byDifference = safeAgeSeconds + latestStart - startedAt;
            return Math.max(0, inDoubt ? Math.min(byClock, byDifference) : byClock);
        }
    }

    private Present present(List<Engine> stated) {
        double latest = stated.stream().mapToDouble(Engine::startedAt).max().orElse(0);
        double wall = wallClock.now();
        double unixSeconds = latest > wall + CLOCK_SKEW_SECONDS ? latest + safeAgeSeconds : wall;
        return new Present(unixSeconds, latest, warmUpSeconds, safeAgeSeconds);
    }
}
