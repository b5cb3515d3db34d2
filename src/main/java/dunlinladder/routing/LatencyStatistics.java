package dunlinladder.routing;

import dunlinladder.routing.RoutingSettings.Role;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * How long engines take to answer, against peers of the same role and never against fixed times. Delays are seconds
 * over what the request's size explains. Records and estimates; decides nothing.
 */
final class LatencyStatistics {
    /** Added to both sides when delays are compared, so that tiny delays do not look slow. */
    static final double DELAY_FLOOR_SECONDS = 0.05;
    /** Weight of the latest delay of an engine: about the last five answers count. */
    private static final double DELAY_WEIGHT = 0.2;
    /** Seconds in which a delay not seen again fades to a third of its distance from the peers' median. */
    private static final double DELAY_FADE_SECONDS = 5;
    /** Latest answers of a role whose median is the usual delay where engines are seldom met. */
    private static final int LATEST_ANSWERS = 7;
    /** Seconds after which such an answer is forgotten once a new one comes: a good probe opens again. */
    private static final double LATEST_VALID_SECONDS = 6;
    /** Multiple of the peers' median at which an engine counts as slower; less is noise. */
    private static final double MIN_SLOWNESS = 2;

    private record Answer(double at, double delay) {}

    private final PolicyContext context;
    private final double[] medians = new double[Role.values().length];
    private final double[] heardAt = new double[Role.values().length];
    private final List<ArrayDeque<Answer>> latestAnswers =
            Stream.generate(ArrayDeque<Answer>::new).limit(Role.values().length).toList();

    LatencyStatistics(PolicyContext context) {
        this.context = context;
    }

    /** An attempt at an engine of the role has ended, however. */
    void heardOf(Role role) {
        heardAt[role.ordinal()] = context.now;
    }

    /** Clock time in seconds at which an engine of the role was last heard of. */
    double heardAt(Role role) {
        return heardAt[role.ordinal()];
    }

    /** The median delay of the role's engines as of the last comparison; 0 before any answer. */
    double median(Role role) {
        return medians[role.ordinal()];
    }

    /** Takes in the delay of one answer. */
    void record(EngineState engine, double delay) {
        engine.delayAt = context.now;
        ArrayDeque<Answer> latest = latestAnswers.get(engine.role.ordinal());
        latest.addLast(new Answer(context.now, delay));
        while (latest.size() > LATEST_ANSWERS || context.now - latest.getFirst().at > LATEST_VALID_SECONDS) {
            latest.removeFirst();
        }
        boolean recovered = delay < engine.smoothedDelay / 2;
        engine.smoothedDelay = Double.isNaN(engine.smoothedDelay) || recovered
                ? delay
                : Ewma.next(engine.smoothedDelay, delay, DELAY_WEIGHT);
    }

    /**
     * The delay to expect of an engine. Where own counts say little, an engine that warms up and was not yet heard of
     * counts as quick, as what gateways may send there is bounded: else all would be rejected for the queues at the few
     * warm ones while those are idle.
     */
    double expected(EngineState engine) {
        if (!Double.isNaN(engine.currentDelay)) {
            return engine.currentDelay;
        }
        boolean untried = !context.seesAllLoad() && context.isWarmingUp(engine);
        return untried ? 0 : median(engine.role);
    }

    /** Seconds that a request's own prefill, or its whole, should take there until the engine answers. */
    double expected(RequestState request, EngineState engine) {
        return expected(engine) * context.load.relativeSize(request, engine);
    }

    /** Compares the active engines of a role: sets their delays, their slowness and the median. */
    void compare(Role role, List<EngineState> peers) {
        peers.forEach(engine -> engine.currentDelay = current(engine));
        double[] delays = peers.stream()
                .mapToDouble(engine -> engine.currentDelay)
                .filter(delay -> delay >= 0)
                .sorted()
                .toArray();
        boolean byEngine =
                context.seesAllLoad() || latestAnswers.get(role.ordinal()).isEmpty();
        double median = byEngine ? median(delays) : medianOfLatest(role, peers);
        medians[role.ordinal()] = median;
        for (EngineState engine : peers) {
            double multiple = Double.isNaN(engine.currentDelay)
                    ? 1
                    : (engine.currentDelay + DELAY_FLOOR_SECONDS) / (median + DELAY_FLOOR_SECONDS);
            engine.slowness = multiple < MIN_SLOWNESS ? 1 : multiple;
        }
    }

    /** What its answers now take, or its oldest unanswered attempt; old samples fade, so that it returns. */
    private double current(EngineState engine) {
        double usual = median(engine.role);
        double fade = Math.exp((engine.delayAt - context.now) / DELAY_FADE_SECONDS);
        double delay = usual + (engine.smoothedDelay - usual) * fade;
        for (AttemptState attempt : engine.unanswered) {
            double age = attempt.relativeAge(context.now);
            delay = delay >= age ? delay : age; // also replaces NaN, the delay before any sample
        }
        return delay;
    }

    /** Median of the role's latest answers and of what waits longer: a jam shows before it is answered. */
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
