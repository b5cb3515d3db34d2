package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * Records how long engines take to answer, compared with peers of the same role and never with fixed times. Delays are
 * seconds divided by the relative size of the attempt. Records and estimates; decides nothing.
 */
final class LatencyStatistics {
    /** Seconds added to both delays of a comparison, so that tiny delays do not count as slow. */
    static final double DELAY_FLOOR_SECONDS = 0.05;
    /** Weight of the latest delay of an engine: about the last five answers count. */
    private static final double DELAY_WEIGHT = 0.2;
    /** Seconds in which a delay without a new sample decays to a third of its distance from the peers' median. */
    private static final double DELAY_DECAY_SECONDS = 5;
    /** Number of latest answers of a role whose median is the usual delay if this gateway does not observe all load. */
    private static final int MAX_LATEST_ANSWERS = 7;
    /**
     * Seconds after which one of these answers is dropped when a new one arrives. A single good probe after a longer
     * time then ends the rejects.
     */
    private static final double LATEST_VALID_SECONDS = 6;
    /** Multiple of the peers' median from which an engine counts as slower; smaller differences are noise. */
    private static final double MIN_SLOWNESS = 2;

    private record Answer(double at, double delay) {}

    private final PolicyContext context;
    private final double[] medians = new double[Role.values().length];
    private final double[] lastAttemptEndAt = new double[Role.values().length];
    private final List<ArrayDeque<Answer>> latestAnswers =
            Stream.generate(ArrayDeque<Answer>::new).limit(Role.values().length).toList();

    LatencyStatistics(PolicyContext context) {
        this.context = context;
    }

    /** Records that an attempt at an engine of the role has ended, with any outcome. */
    void recordAttemptEnd(Role role) {
        lastAttemptEndAt[role.ordinal()] = context.now;
    }

    /** Returns the clock time in seconds at which an attempt at an engine of the role last ended. */
    double lastAttemptEndAt(Role role) {
        return lastAttemptEndAt[role.ordinal()];
    }

    /** Returns the median delay of the role's engines as of the last comparison; 0 before any answer. */
    double median(Role role) {
        return medians[role.ordinal()];
    }

    /** Records the delay of one answer. */
    void record(EngineState engine, double delay) {
        engine.delayRecordedAt = context.now;
        ArrayDeque<Answer> latest = latestAnswers.get(engine.role.ordinal());
        latest.addLast(new Answer(context.now, delay));
        while (latest.size() > MAX_LATEST_ANSWERS || context.now - latest.getFirst().at > LATEST_VALID_SECONDS) {
            latest.removeFirst();
        }
        boolean recovered = delay < engine.smoothedDelay / 2;
        engine.smoothedDelay = Double.isNaN(engine.smoothedDelay) || recovered
                ? delay
                : Ewma.next(engine.smoothedDelay, delay, DELAY_WEIGHT);
    }

    /**
     * Returns the expected delay of an engine. If this gateway does not observe all load, the delay of an engine that
     * is warming up and has not been used yet counts as 0, as slow start limits its requests. Otherwise all requests
     * would be rejected because of the queues at the few warm engines, while the cold ones are idle.
     */
    double expected(EngineState engine) {
        if (!Double.isNaN(engine.currentDelay)) {
            return engine.currentDelay;
        }
        boolean untried = !context.observesAllLoad() && context.isWarmingUp(engine);
        return untried ? 0 : median(engine.role);
    }

    /** Returns the expected seconds until an engine answers a request, be it a prefill or the whole request. */
    double expected(RequestState request, EngineState engine) {
        return expected(engine) * context.load.relativeSize(request, engine);
    }

    /** Compares the active engines of a role: sets their delays, their slowness and the median. */
    void compare(Role role, List<EngineState> peers) {
        peers.forEach(engine -> engine.currentDelay = estimateCurrentDelay(engine));
        double[] delays = peers.stream()
                .mapToDouble(engine -> engine.currentDelay)
                .filter(delay -> delay >= 0)
                .sorted()
                .toArray();
        boolean useEngineDelays =
                context.observesAllLoad() || latestAnswers.get(role.ordinal()).isEmpty();
        double median = useEngineDelays ? median(delays) : medianOfLatest(role, peers);
        medians[role.ordinal()] = median;
        for (EngineState engine : peers) {
            double ratio = Double.isNaN(engine.currentDelay)
                    ? 1
                    : (engine.currentDelay + DELAY_FLOOR_SECONDS) / (median + DELAY_FLOOR_SECONDS);
            engine.slowness = ratio < MIN_SLOWNESS ? 1 : ratio;
        }
    }

    /**
     * Returns the current delay of an engine's answers, or the age of an unanswered attempt if that is greater. The
     * delay decays to the peers' median without new samples, so that the engine gets requests again.
     */
    private double estimateCurrentDelay(EngineState engine) {
        double medianDelay = median(engine.role);
        double decay = StrictMath.exp((engine.delayRecordedAt - context.now) / DELAY_DECAY_SECONDS);
        double delay = medianDelay + (engine.smoothedDelay - medianDelay) * decay;
        for (AttemptState attempt : engine.unanswered) {
            double age = attempt.relativeAge(context.now);
            delay = delay >= age ? delay : age; // also replaces NaN, the delay before any sample
        }
        return delay;
    }

    /**
     * Returns the median of the role's latest answers and of the unanswered attempts that are older than the answers'
     * median. These attempts show congestion before their answers arrive.
     */
    private double medianOfLatest(Role role, List<EngineState> peers) {
        double[] answers = latestAnswers.get(role.ordinal()).stream()
                .mapToDouble(Answer::delay)
                .sorted()
                .toArray();
        DoubleStream waiting = peers.stream()
                .flatMap(engine -> engine.unanswered.stream())
                .mapToDouble(attempt -> attempt.relativeAge(context.now))
                .filter(age -> age > median(answers));
        return median(
                DoubleStream.concat(Arrays.stream(answers), waiting).sorted().toArray());
    }

    private static double median(double[] sorted) {
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }
}
