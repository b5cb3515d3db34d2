package dunlinladder.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What servers that read probably keep of prompts: which one had a session's last turn, which had a beginning lately,
 * and what part of it was found again. Plain state of one router; {@link RoutingPolicy} decides on it.
 */
final class PrefixCacheIndex {

    private record Turn(EngineState worker, double tokens, double at) {}

    private final double keptFor;
    private final double smooth;
    /** Part of a beginning that servers of a role were found to keep, the last ten answers of the role. */
    private final double[] foundByRole = {1, 1, 1};

    private final Map<Long, Turn> sessions;
    private final Map<Long, Map<EngineState, Double>> prefixes;

    /**
     * Remembers nothing yet.
     *
     * @param most sessions, and beginnings, remembered at the most
     * @param keptFor seconds for which a server is believed to keep what it was sent
     * @param smooth weight of the latest answer in the parts found kept, 0 to 1
     */
    PrefixCacheIndex(int most, double keptFor, double smooth) {
        this.keptFor = keptFor;
        this.smooth = smooth;
        sessions = new LruMap<>(most);
        prefixes = new LruMap<>(most);
    }

    /** The server that had the session's last turn and probably keeps it, or null. */
    EngineState sessionAt(long session, double now) {
        Turn last = sessions.get(session);
        return last != null && now - last.at < keptFor && last.worker.member.startedAt() < last.at ? last.worker : null;
    }

    /** Tokens of the prompt that the session's last turn had; its server must be known. */
    double sessionTokens(RoutingEvent.Request request) {
        return Math.min(sessions.get(request.session()).tokens, request.promptTokens());
    }

    /** Whether this router has sent the server that beginning, not long ago and since it started. */
    boolean prefixSent(long prefix, EngineState w, double now) {
        Map<EngineState, Double> sent = prefixes.get(prefix);
        Double at = sent == null ? null : sent.get(w);
        return at != null && now - at < keptFor && w.member.startedAt() < at;
    }

    /** Noted at the send, so that the next request of the same session or beginning follows it. */
    void note(Attempt attempt, double now) {
        RoutingEvent.Request request = attempt.job.request;
        Turn last = sessions.get(request.session());
        attempt.sessionSent = last != null && last.worker == attempt.worker;
        attempt.prefixSent = prefixSent(request.prefix(), attempt.worker, now);
        sessions.put(request.session(), new Turn(attempt.worker, request.promptTokens(), now));
        if (request.prefix() != 0) {
            prefixes.computeIfAbsent(request.prefix(), p -> new LinkedHashMap<>())
                    .put(attempt.worker, now);
        }
    }

    /**
     * Takes in how many prompt tokens a server found kept: apart for beginnings that this router had sent it and for
     * others. A session's own turns say nothing of the others. With {@code byRole} all servers of a role are taken
     * together: where routers are many each meets one server too seldom to learn of it alone.
     */
    void learn(Attempt attempt, double found, boolean byRole) {
        EngineState w = attempt.worker;
        double prefix = attempt.job.request.prefixTokens();
        if (prefix <= 0) {
            return;
        }
        double part = Math.min(1, found / prefix);
        if (byRole) {
            int role = w.role.ordinal();
            foundByRole[role] += attempt.sessionSent ? 0 : (part - foundByRole[role]) * smooth / 2;
        } else if (attempt.prefixSent) {
            w.foundSent += (part - w.foundSent) * smooth;
        } else if (!attempt.sessionSent) {
            w.foundOther += (part - w.foundOther) * smooth;
        }
    }

    /** Part of a beginning, 0 to 1, that servers of a role were found to keep; 1 before any answer. */
    double foundBy(RoutingSettings.Role role) {
        return foundByRole[role.ordinal()];
    }

    /** The server left for good. */
    void forget(EngineState w) {
        sessions.values().removeIf(turn -> turn.worker == w);
        prefixes.values().forEach(sent -> sent.remove(w));
        prefixes.values().removeIf(Map::isEmpty);
    }
}
