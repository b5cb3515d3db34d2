package dunlinladder.routing;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What one router knows of one server. Plain state; {@link RoutingPolicy} decides on it. */
final class EngineState {
    final String id;
    RoutingEvent.Endpoint member;
    RoutingSettings.Role role;
    /** Tokens that its memory holds by the settings; 0 where they do not say. */
    double memory;
    /** True while the list has it active; a server that drains or is gone gets nothing new. */
    boolean open;
    /** This router's attempts here that have had no answer yet, in the order sent. */
    final Set<Attempt> pending = new LinkedHashSet<>();

    int reads;
    double readTokens;
    int streams;
    double streamWeight;
    double heldTokens;
    /** Smoothed answer delay over what the request's size explains; NaN before the first sample. */
    double delay = Double.NaN;

    double sampledAt;
    /** Delay now, slowness against the peers' median and relative speed, at the last comparison. */
    double lag = Double.NaN;

    double slowness = 1;
    double speed = 1;
    /** Part found kept of beginnings that this router had sent here, and of others; from 0 to 1. */
    double foundSent = 1;

    double foundOther = 1;
    /** How long its streams last against the usual, at {@code pacedAt}; see {@link StreamDurationStats}. */
    double pace = 1;

    double pacedAt;
    /** Streams sent here lately, oldest first: the latest report may not show them yet. */
    final ArrayDeque<Attempt> sentSince = new ArrayDeque<>();

    double failures;
    double failuresAt;
    int failedInRow;
    /** Attempts in a row that could not connect; that says nothing of the others, as being late may. */
    int unreachedInRow;

    double nextTrialAt;
    double fullUntil;
    double memoryShare = Double.NaN;
    double waitingKilotokens = Double.NaN;
    double reportAt = Double.NEGATIVE_INFINITY;
    /** Sends that a cold server may still get from this router, as of {@code creditAt}. */
    double credit;

    double creditAt;

    EngineState(String id) {
        this.id = id;
    }

    void heard(Map<String, Double> report, double now) {
        if (!report.isEmpty()) {
            memoryShare = report.getOrDefault("x0", Double.NaN);
            waitingKilotokens = report.getOrDefault("x1", Double.NaN);
            reportAt = now;
        }
    }

    /** Notes a stream sent here; what was sent over {@code keepFor} seconds before it is dropped. */
    void sent(Attempt attempt, double keepFor) {
        while (!sentSince.isEmpty() && attempt.sentAt - sentSince.getFirst().sentAt > keepFor) {
            sentSince.removeFirst();
        }
        sentSince.addLast(attempt);
    }

    /** Tokens that streams sent here since then may hold. */
    double heldSince(double from) {
        return sentSince.stream()
                .filter(a -> a.sentAt >= from)
                .mapToDouble(a -> a.held)
                .sum();
    }

    /** A new process under the same id: what was known of the old one says nothing of it. */
    void forget() {
        delay = Double.NaN;
        failures = 0;
        foundSent = 1;
        failedInRow = 0;
        unreachedInRow = 0;
        fullUntil = 0;
        reportAt = Double.NEGATIVE_INFINITY;
    }
}
