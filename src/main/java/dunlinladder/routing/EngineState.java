package dunlinladder.routing;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What one gateway knows of one engine. Plain state; decides nothing. Times are clock seconds. */
final class EngineState {
    /** Seconds after which a load report no longer counts. */
    static final double REPORT_VALID_SECONDS = 3;
    /** Seconds in which the count of failures falls to a third. */
    private static final double FAILURE_FADE_SECONDS = 4;
    /** Names of the figures in a load report: KV memory in use, 0 to 1; thousands of prompt tokens queued. */
    private static final String REPORTED_MEMORY = "x0";

    private static final String REPORTED_QUEUE = "x1";

    final String id;
    RoutingEvent.Endpoint endpoint;
    RoutingSettings.Role role;
    /** Tokens that its KV memory holds by the settings; 0 where they do not say. */
    double kvCapacityTokens;
    /** Listed as active; an engine that drains or has left gets nothing new. */
    boolean active;
    /** This gateway's attempts here without an answer, in the order sent. */
    final Set<AttemptState> unanswered = new LinkedHashSet<>();

    int prefills;
    double prefillTokens;
    int streams;
    double streamWeight;
    double kvTokens;
    /** Smoothed answer delay in seconds over what the request's size explains; NaN before the first sample. */
    double smoothedDelay = Double.NaN;

    double delayAt;
    /** The delay now, its multiple of the peers' median and the relative speed, as of the last comparison. */
    double currentDelay = Double.NaN;

    double slowness = 1;
    double speed = 1;
    /** Part, 0 to 1, found cached of prefixes that this gateway had sent here, and of others. */
    double cachedPartOfSent = 1;

    double cachedPartOfOthers;
    /**
     * How long its streams last against the usual, as of {@code streamDurationRatioAt}; see
     * {@link StreamDurationStats}.
     */
    double streamDurationRatio = 1;

    double streamDurationRatioAt;
    /** Streams sent here lately, oldest first: the latest report may not show them yet. */
    final ArrayDeque<AttemptState> streamsSinceReport = new ArrayDeque<>();

    final DecayingCounter failures = new DecayingCounter(FAILURE_FADE_SECONDS);
    int consecutiveFailures;
    /** Attempts in a row that could not connect; that says nothing of the others, as being late may. */
    int consecutiveConnectFailures;

    double nextProbeAt;
    double fullUntil;
    private double reportedMemory = Double.NaN;
    private double reportedQueue = Double.NaN;
    private double reportAt = Double.NEGATIVE_INFINITY;
    /** Forwards that it may still get from this gateway while it warms up, as of {@code slowStartBudgetAt}. */
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

    /** Takes in the load report of an answer; an empty one says nothing. */
    void receiveReport(Map<String, Double> report, double now) {
        if (!report.isEmpty()) {
            reportedMemory = report.getOrDefault(REPORTED_MEMORY, Double.NaN);
            reportedQueue = report.getOrDefault(REPORTED_QUEUE, Double.NaN);
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

    /** Part of its KV memory in use, 0 to 1, by the last report. */
    double reportedMemory() {
        return reportedMemory;
    }

    /** Thousands of prompt tokens queued, by the last report. */
    double reportedQueue() {
        return reportedQueue;
    }

    double reportAt() {
        return reportAt;
    }

    /** Notes a stream sent here; what was sent before reports that still count is dropped. */
    void streamSent(AttemptState attempt) {
        while (!streamsSinceReport.isEmpty()
                && attempt.sentAt - streamsSinceReport.getFirst().sentAt > REPORT_VALID_SECONDS) {
            streamsSinceReport.removeFirst();
        }
        streamsSinceReport.addLast(attempt);
    }

    /** Tokens that streams sent here since then may hold. */
    double tokensSentSince(double from) {
        return streamsSinceReport.stream()
                .filter(attempt -> attempt.sentAt >= from)
                .mapToDouble(attempt -> attempt.kvTokens)
                .sum();
    }

    /** A new process under the same id: what was known of the old one says nothing of it. */
    void resetProcess() {
        smoothedDelay = Double.NaN;
        failures.reset();
        cachedPartOfSent = 1;
        consecutiveFailures = 0;
        consecutiveConnectFailures = 0;
        fullUntil = 0;
        reportAt = Double.NEGATIVE_INFINITY;
    }
}
