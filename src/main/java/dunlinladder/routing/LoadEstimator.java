package dunlinladder.routing;

import dunlinladder.routing.AttemptState.Stage;
import dunlinladder.routing.RoutingEvent.AttemptEnded;
import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.function.Predicate;

/** Estimates the load that requests cause and the backlog at the engines. Decides nothing. */
final class LoadEstimator {
    static final double TOKENS_PER_KILOTOKEN = 1000;
    /** Weight of the latest request in the means over all engines: about the last fifty requests count. */
    private static final double MEAN_WEIGHT = 0.02;

    /** Means in tokens that are assumed before the first request. */
    private static final double INITIAL_PREFILL_TOKENS = 1000;

    private static final double INITIAL_OUTPUT_TOKENS = 100;
    private static final double INITIAL_KV_TOKENS = 3000;
    /** Divisor that keeps the relative sizes of usual prefills near 1. */
    private static final double SIZE_SCALE = 1.5;
    /** Factor on the time for the backlog; the recent peak throughput may be below the capacity of the engines. */
    private static final double BACKLOG_WEIGHT = 0.75;
    /** Seconds after the first answer for which the backlog is not estimated, as the rates are not yet known. */
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

    /** Returns the mean number of tokens that a prefill processes, without cached ones. */
    double meanPrefillTokens() {
        return prefillTokens.mean();
    }

    /** Returns the expected duration of a prefill relative to an average one, from its tokens and those ahead of it. */
    double relativeSize(RequestState request, EngineState engine) {
        return relativeSize(missedTokens(request, engine) + engine.prefillTokens);
    }

    /** Returns the prompt tokens that the engine would have to prefill, without cached ones. */
    double missedTokens(RequestState request, EngineState engine) {
        return request.details.promptTokens() - context.prefixCache.cachedTokens(request, engine);
    }

    private double relativeSize(double tokens) {
        return (1 + tokens / prefillTokens.mean()) / SIZE_SCALE;
    }

    /** Adds the load of an attempt to its engine. */
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
        double relative = context.observesAllLoad()
                ? attempt.kvTokens / kvTokens.mean()
                : output / Math.max(1, outputTokens.mean());
        attempt.streamWeight = (1 + relative) / 2;
        engine.streams++;
        engine.streamWeight += attempt.streamWeight;
        engine.kvTokens += attempt.kvTokens;
        engine.streamSent(attempt);
    }

    /**
     * Removes the load of an attempt from its engine. Records the cached tokens that the engine has found and corrects
     * the expected duration of a prefill by them.
     */
    void attemptEnded(AttemptState attempt, AttemptEnded event) {
        attempt.endPrefill();
        attempt.endStream();
        boolean prefilled = event.status() == Status.PREFILLED;
        if (prefilled || event.status() == Status.OK && attempt.stage == Stage.PREFILL_AND_DECODE) {
            context.prefixCache.recordCachedTokens(attempt, event.note());
        }
        if (prefilled) {
            prefillEnded(attempt, event.note());
        }
    }

    private void prefillEnded(AttemptState attempt, double cachedTokens) {
        double missedTokenCount = Math.max(1, attempt.request.details.promptTokens() - cachedTokens);
        prefillTokens.add(missedTokenCount);
        attempt.relativeSize = relativeSize(missedTokenCount + attempt.tokensAhead);
    }

    /** Returns the thousands of prompt tokens queued, by a fresh report; an engine without one counts as average. */
    double queuedKilotokens(EngineState engine) {
        return engine.reportsQueue(context.now)
                ? engine.reportedQueue()
                : context.fleet.meanQueuedKilotokens(engine.role);
    }

    /**
     * Returns the seconds until the requests without a first token have theirs, at the recent peak of first tokens per
     * second. This shows congestion while it builds up. Requests at outliers are not counted. The estimate is too long
     * after a sudden rise of the load, so it is reduced by {@link #BACKLOG_WEIGHT}.
     */
    double backlogSeconds(Predicate<EngineState> isOutlier) {
        ThroughputMeter throughput = context.throughput;
        double rate = throughput.peak(Role.DECODE) + throughput.peak(Role.MIXED);
        if (context.now - throughput.firstAt() < BACKLOG_WARMUP_SECONDS) {
            return 0;
        }
        int withoutFirstToken = 0;
        for (EngineState engine : context.engines.values()) {
            withoutFirstToken += isOutlier.test(engine) ? 0 : engine.unanswered.size();
        }
        return BACKLOG_WEIGHT * (1 - context.unobservedLoad) * withoutFirstToken / rate;
    }
}
