package dunlinladder.routing;

import dunlinladder.core.LruMap;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the prefix caches of engines that prefill probably hold: which engine had a session's last turn, which had a
 * prefix lately, and what part of it was found again. Records and estimates; decides nothing.
 */
final class PrefixCacheIndex {
    /** Seconds for which a cached prefix is believed in; engines forget silently when their memory turns over. */
    private static final double BELIEVED_SECONDS = 30;
    /** Sessions, and prefixes, remembered; bounds memory. */
    private static final int MAX_REMEMBERED = 20_000;
    /** Weight of the latest answer in the part that an engine was found to hold: about the last five. */
    private static final double ENGINE_WEIGHT = 0.2;
    /** The same for all engines of a role, where each is met seldom: the last ten answers of the role. */
    private static final double ROLE_WEIGHT = ENGINE_WEIGHT / 2;

    record LastPrompt(EngineState engine, double tokens, double at) {}

    private final PolicyContext context;
    /** By role: part of a prefix, 0 to 1, that its engines were found to hold. */
    private final Ewma[] cachedPart = new Ewma[Role.values().length];

    final Map<Long, LastPrompt> lastPrompts = new LruMap<>(MAX_REMEMBERED);
    /** By prefix, then engine: clock time in seconds at which it was last sent. */
    final Map<Long, Map<EngineState, Double>> prefixesSent = new LruMap<>(MAX_REMEMBERED);

    PrefixCacheIndex(PolicyContext context) {
        this.context = context;
        for (int role = 0; role < cachedPart.length; role++) {
            cachedPart[role] = new Ewma(1, ROLE_WEIGHT);
        }
    }

    /** The engine that had the session's last turn and probably still caches it. */
    Optional<EngineState> engineOfSession(long session) {
        LastPrompt last = lastPrompts.get(session);
        return last != null && isBelieved(last.engine, last.at) ? Optional.of(last.engine) : Optional.empty();
    }

    /** Prompt tokens that an engine that prefills probably finds in its cache. */
    double cachedTokens(RequestState request, EngineState engine) {
        RoutingEvent.Request details = request.details;
        LastPrompt last = lastPrompts.get(details.session());
        if (last != null && last.engine == engine && isBelieved(engine, last.at)) {
            return Math.min(last.tokens, details.promptTokens());
        }
        return details.prefixTokens() * cachedPart(engine, prefixSent(details.prefix(), engine));
    }

    private double cachedPart(EngineState engine, boolean sent) {
        if (context.seesAllLoad()) {
            return sent ? engine.cachedPartOfSent : engine.cachedPartOfOthers;
        }
        return sent || !context.isWarmingUp(engine) ? cachedPart[engine.role.ordinal()].mean() : 0;
    }

    /** Whether this gateway has sent the engine that prefix, not long ago and since it started. */
    private boolean prefixSent(long prefix, EngineState engine) {
        Map<EngineState, Double> sent = prefixesSent.get(prefix);
        Double at = sent == null ? null : sent.get(engine);
        return at != null && isBelieved(engine, at);
    }

    private boolean isBelieved(EngineState engine, double at) {
        return context.now - at < BELIEVED_SECONDS && engine.endpoint.startedAt() < at;
    }

    /** Notes a prefill at its send, so that the next request of the same session or prefix can follow it. */
    void record(AttemptState attempt) {
        RoutingEvent.Request details = attempt.request.details;
        LastPrompt last = lastPrompts.get(details.session());
        attempt.sessionSent = last != null && last.engine == attempt.engine;
        attempt.prefixSent = prefixSent(details.prefix(), attempt.engine);
        lastPrompts.put(details.session(), new LastPrompt(attempt.engine, details.promptTokens(), context.now));
        if (details.prefix() != 0) {
            prefixesSent
                    .computeIfAbsent(details.prefix(), prefix -> new LinkedHashMap<>())
                    .put(attempt.engine, context.now);
        }
    }

    /**
     * Takes in how many prompt tokens an engine found cached: apart for prefixes that this gateway had sent it and for
     * others. A session's own turns say nothing of the others. Where gateways are many, all engines of a role are taken
     * together, as each is met too seldom to learn of it alone.
     */
    void learn(AttemptState attempt, double foundTokens) {
        EngineState engine = attempt.engine;
        double prefix = attempt.request.details.prefixTokens();
        if (prefix <= 0) {
            return;
        }
        double part = Math.min(1, foundTokens / prefix);
        if (!context.seesAllLoad()) {
            if (!attempt.sessionSent) {
                cachedPart[engine.role.ordinal()].add(part);
            }
        } else if (attempt.prefixSent) {
            engine.cachedPartOfSent = Ewma.next(engine.cachedPartOfSent, part, ENGINE_WEIGHT);
        } else if (!attempt.sessionSent) {
            engine.cachedPartOfOthers = Ewma.next(engine.cachedPartOfOthers, part, ENGINE_WEIGHT);
        }
    }

    /** The engine has left for good. */
    void evict(EngineState engine) {
        lastPrompts.values().removeIf(turn -> turn.engine == engine);
        prefixesSent.values().forEach(sent -> sent.remove(engine));
        prefixesSent.values().removeIf(Map::isEmpty);
    }
}
