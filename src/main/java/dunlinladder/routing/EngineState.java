package dunlinladder.routing;

import dunlinladder.core.RerunRule;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** State of one engine as observed by one gateway. Decides nothing. Times are clock seconds. */
final class EngineState {
    /** Seconds after which a load report is no longer used. */
    static final double REPORT_VALID_SECONDS = 3;
    /** Seconds in which the count of failures falls to a third. */
    private static final double FAILURE_DECAY_SECONDS = 4;
    /** Key in a load report of the fraction of KV memory in use, 0 to 1. */
    private static final String MEMORY_REPORT_KEY = "x0";
    /** Key in a load report of the thousands of prompt tokens queued. */
    private static final String QUEUE_REPORT_KEY = "x1";

    final String id;
    RoutingEvent.Endpoint endpoint;
    RoutingSettings.Role role;
    /** Capacity of its KV memory in tokens, from the settings; 0 if unknown. */
    double kvCapacityTokens;
    /** Whether discovery lists it as active; an engine that is draining or has left gets no new requests. */
    boolean active;
    /** Attempts of this gateway at the engine that have no answer yet, in the order sent. */
    final Set<AttemptState> unanswered = new LinkedHashSet<>();

    /** Prefills of this gateway in flight at the engine. */
    int prefills;
    /** Prompt tokens that these prefills are expected to process, without cached ones. */
    double prefillTokens;
    /** Streams of this gateway in flight at the engine. */
    int streams;
    /** Number of average streams that these streams count as. */
    double streamWeight;
    /** Tokens of KV cache that these streams may hold. */
    double kvTokens;
    /** Smoothed answer delay in seconds, divided by the relative size of attempts; NaN before the first sample. */
    double smoothedDelay = Double.NaN;

    double delayRecordedAt;
    /** Current delay as of the last comparison, in the unit of {@code smoothedDelay}; NaN if it cannot be estimated. */
    double currentDelay = Double.NaN;
    /** Ratio of the current delay to the peers' median, as of the last comparison; 1 if it is not clearly slower. */
    double slowness = 1;
    /** Speed by weight, warm-up and slowness, as of the last comparison; 1 for an average engine. */
    double speed = 1;
    /** Fraction, 0 to 1, that was found cached of the prefixes that this gateway had sent to the engine. */
    double cachedFractionOfSent = 1;
    /** Fraction, 0 to 1, that was found cached of other prefixes. */
    double cachedFractionOfOthers;
    /**
     * Duration of its streams as a multiple of the usual one, as of {@code streamDurationRatioAt}; see
     * {@link StreamDurationStats}.
     */
    double streamDurationRatio = 1;

    double streamDurationRatioAt;
    /** Streams recently sent to the engine, oldest first; the latest report may not include them yet. */
    final ArrayDeque<AttemptState> recentStreams = new ArrayDeque<>();

    final DecayingCounter failures = new DecayingCounter(FAILURE_DECAY_SECONDS);
    int consecutiveFailures;
    /** Consecutive attempts that could not connect. Unlike late answers, they are no evidence about other engines. */
    int consecutiveConnectFailures;

    /** Time from which the engine may be probed while it is an outlier. */
    double nextProbeAt;
    /** Time until which the engine gets no requests after an answer {@code FULL}. */
    double fullUntil;

    private double reportedMemory = Double.NaN;
    private double reportedQueue = Double.NaN;
    private double reportAt = Double.NEGATIVE_INFINITY;
    /** Requests that it may still get from this gateway while it is warming up, as of {@code slowStartBudgetAt}. */
    double slowStartBudget;

    double slowStartBudgetAt;

    EngineState(String id) {
        this.id = id;
    }

    int zone() {
        return endpoint.zone();
    }

    int rack() {
        return endpoint.cell();
    }

    RerunRule.Location location() {
        return new RerunRule.Location(zone(), rack());
    }

    /** Stores the load report of an answer; an empty report is ignored. */
    void receiveReport(Map<String, Double> report, double now) {
        if (!report.isEmpty()) {
            reportedMemory = report.getOrDefault(MEMORY_REPORT_KEY, Double.NaN);
            reportedQueue = report.getOrDefault(QUEUE_REPORT_KEY, Double.NaN);
            reportAt = now;
        }
    }

    boolean hasFreshReport(double now) {
        return now - reportAt <= REPORT_VALID_SECONDS;
    }

    boolean reportsMemory(double now) {
        return hasFreshReport(now) && !Double.isNaN(reportedMemory);
    }

    boolean reportsQueue(double now) {
        return hasFreshReport(now) && !Double.isNaN(reportedQueue);
    }

    /** Returns the fraction of its KV memory in use, 0 to 1, by the last report. */
    double reportedMemory() {
        return reportedMemory;
    }

    /** Returns the thousands of prompt tokens queued, by the last report. */
    double reportedQueue() {
        return reportedQueue;
    }

    double reportAt() {
        return reportAt;
    }

    /** Records a stream sent to the engine. Drops streams that are older than any report still in use. */
    void streamSent(AttemptState attempt) {
        while (!recentStreams.isEmpty() && attempt.sentAt - recentStreams.getFirst().sentAt > REPORT_VALID_SECONDS) {
            recentStreams.removeFirst();
        }
        recentStreams.addLast(attempt);
    }

    /** Returns the KV cache tokens that may be held by streams sent to the engine at or after {@code since}. */
    double kvTokensSentSince(double since) {
        return recentStreams.stream()
                .filter(attempt -> attempt.sentAt >= since)
                .mapToDouble(attempt -> attempt.kvTokens)
                .sum();
    }

    /** Resets the state that does not apply to a new process under the same id. */
    void resetAfterRestart() {
        smoothedDelay = Double.NaN;
        failures.reset();
        cachedFractionOfSent = 1;
        consecutiveFailures = 0;
        consecutiveConnectFailures = 0;
        fullUntil = 0;
        reportAt = Double.NEGATIVE_INFINITY;
    }
}
