package dunlinladder.routing;

import dunlinladder.routing.AttemptState.Stage;
import dunlinladder.routing.RoutingEvent.AttemptEnded;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.function.Predicate;

/** What requests weigh, and what waits at the engines. Records and estimates; decides nothing. */
final class LoadEstimator {
    static final double TOKENS_PER_KILOTOKEN = 1000;
    /** Weight of the latest request in what is the same for all: some fifty requests. */
    private static final double MEAN_WEIGHT = 0.02;

    private static final double INITIAL_PREFILL_TOKENS = 1000;
    private static final double INITIAL_OUTPUT_TOKENS = 100;
    private static final double INITIAL_KV_TOKENS = 3000;
    /** Divisor that keeps the sizes of usual prefills near one. */
    private static final double SIZE_SCALE = 1.5;
    /** Weight of the backlog's wait; the peak seen of late may be under what the engines can do. */
    private static final double BACKLOG_WEIGHT = 0.75;
    /** Seconds after the first answer before which rates say nothing of the backlog. */
    private static final double BACKLOG_WARMUP_SECONDS = 2 * ThroughputMeter.WINDOW_SECONDS;

    private final PolicyContext context;
    private final Ewma prefillTokens = new Ewma(INITIAL_PREFILL_TOKENS, MEAN_WEIGHT);
    private final Ewma outputTokens = new Ewma(INITIAL_OUTPUT_TOKENS, MEAN_WEIGHT);
    private final Ewma kvTokens = new Ewma(INITIAL_KV_TOKENS, MEAN_WEIGHT);

    LoadEstimator(PolicyContext context) {
        this.context = context;
    }

    void requestArrived(RequestState request) {
        outputTokens.add(request.outputTokens());
    }

    /** Tokens that a prefill reads on average, prefix caches left out. */
    double meanPrefillTokens() {
        return prefillTokens.mean();
    }

    /** How many times longer than an average prefill it should take there: its own tokens and those ahead of it. */
    double relativeSize(RequestState request, EngineState engine) {
        return relativeSize(missedTokens(request, engine) + engine.prefillTokens);
    }

    /** Prompt tokens that the engine would have to read. */
    double missedTokens(RequestState request, EngineState engine) {
        return request.details.promptTokens() - context.prefixCache.cachedTokens(request, engine);
    }

    private double relativeSize(double tokens) {
        return (1 + tokens / prefillTokens.mean()) / SIZE_SCALE;
    }

    /** Counts what the attempt adds to its engine. */
    void attemptStarted(AttemptState attempt) {
        if (attempt.stage.prefills()) {
            prefillStarted(attempt);
        }
        if (attempt.stage.decodes()) {
            streamStarted(attempt);
        }
    }

    private void prefillStarted(AttemptState attempt) {
        EngineState engine = attempt.engine;
        attempt.prefillTokens = missedTokens(attempt.request, engine);
        attempt.relativeSize = relativeSize(attempt.request, engine);
        context.prefixCache.record(attempt);
        attempt.tokensAhead = engine.prefillTokens;
        engine.prefillTokens += attempt.prefillTokens;
        engine.prefills++;
    }

    private void streamStarted(AttemptState attempt) {
        EngineState engine = attempt.engine;
        double output = attempt.request.outputTokens();
        attempt.kvTokens = attempt.request.details.promptTokens() + output;
        kvTokens.add(attempt.kvTokens);
        double relative =
                context.seesAllLoad() ? attempt.kvTokens / kvTokens.mean() : output / Math.max(1, outputTokens.mean());
        attempt.streamWeight = (1 + relative) / 2;
        engine.streams++;
        engine.streamWeight += attempt.streamWeight;
        engine.kvTokens += attempt.kvTokens;
        engine.streamSent(attempt);
    }

    /** Takes the attempt off its engine; what was found cached corrects what it should have taken. */
    void attemptEnded(AttemptState attempt, AttemptEnded event) {
        attempt.endPrefill();
        attempt.endStream();
        boolean prefilled = event.status() == Status.PREFILLED;
        if (prefilled || event.status() == Status.OK && attempt.stage == Stage.PREFILL_AND_DECODE) {
            context.prefixCache.learn(attempt, event.note());
        }
        if (prefilled) {
            prefillEnded(attempt, event.note());
        }
    }

    private void prefillEnded(AttemptState attempt, double cachedTokens) {
        double missed = Math.max(1, attempt.request.details.promptTokens() - cachedTokens);
        prefillTokens.add(missed);
        attempt.relativeSize = relativeSize(missed + attempt.tokensAhead);
    }

    /** Thousands of prompt tokens queued, by a fresh report; an engine without one counts as average. */
    double queuedKilotokens(EngineState engine) {
        return engine.reportsQueue(context.now)
                ? engine.reportedQueue()
                : context.fleet.meanQueuedKilotokens(engine.role);
    }

    /**
     * Seconds until the requests without a first token have theirs, at the most first tokens a second seen of late:
     * shows a jam while it builds. What sits at outliers is no backlog. Too long after a sudden rise, so it is weighed
     * down.
     */
    double backlogSeconds(Predicate<EngineState> isOutlier) {
        ThroughputMeter throughput = context.throughput;
        double rate = throughput.peak(Role.DECODE) + throughput.peak(Role.MIXED);
        if (context.now - throughput.firstAt() < BACKLOG_WARMUP_SECONDS) {
            return 0;
        }
        int unstarted = 0;
        for (EngineState engine : context.engines.values()) {
            unstarted += isOutlier.test(engine) ? 0 : engine.unanswered.size();
        }
        return BACKLOG_WEIGHT * (1 - context.unobservedLoad) * unstarted / rate;
    }
}
