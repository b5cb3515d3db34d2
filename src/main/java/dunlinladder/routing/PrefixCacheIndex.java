package dunlinladder.routing;

import dunlinladder.core.LruMap;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates the contents of the prefix caches of engines that prefill: which engine served a session's last turn, which
 * engines got a prefix recently, and which fraction of it they found cached. Records and estimates; decides nothing.
 */
final class PrefixCacheIndex {
    /** Seconds for which a prefix counts as cached; engines evict silently when their memory is reused. */
    private static final double CACHE_VALID_SECONDS = 30;
    /** Maximum number of sessions, and of prefixes, in the index; bounds its memory. */
    private static final int MAX_ENTRIES = 20_000;
    /** Weight of the latest answer in the cached fraction of an engine: about the last five answers count. */
    private static final double ENGINE_WEIGHT = 0.2;
    /** The same for all engines of a role together, with many gateways: about the last ten answers count. */
    private static final double ROLE_WEIGHT = ENGINE_WEIGHT / 2;

    record LastPrompt(EngineState engine, double tokens, double at) {}

    private final PolicyContext context;
    /** By role: average fraction of a prefix, 0 to 1, that its engines found in their caches. */
    private final Ewma[] cachedFraction = new Ewma[Role.values().length];

    final Map<Long, LastPrompt> lastPrompts = new LruMap<>(MAX_ENTRIES);
    /** By prefix, then engine: clock time in seconds at which the prefix was last sent. */
    final Map<Long, Map<EngineState, Double>> prefixesSent = new LruMap<>(MAX_ENTRIES);

    PrefixCacheIndex(PolicyContext context) {
        this.context = context;
        for (int role = 0; role < cachedFraction.length; role++) {
            cachedFraction[role] = new Ewma(1, ROLE_WEIGHT);
        }
    }

    /** Returns the engine that served the session's last turn and probably still caches it. */
    Optional<EngineState> engineOfSession(long session) {
        LastPrompt last = lastPrompts.get(session);
        return last != null && isProbablyCached(last.engine, last.at) ? Optional.of(last.engine) : Optional.empty();
    }

    /** Returns the prompt tokens that an engine that prefills probably finds in its cache. */
    double cachedTokens(RequestState request, EngineState engine) {
        RoutingEvent.Request details = request.details;
        LastPrompt last = lastPrompts.get(details.session());
        if (last != null && last.engine == engine && isProbablyCached(engine, last.at)) {
            return Math.min(last.tokens, details.promptTokens());
        }
        return details.prefixTokens() * cachedFraction(engine, prefixSent(details.prefix(), engine));
    }

    private double cachedFraction(EngineState engine, boolean sent) {
        if (context.observesAllLoad()) {
            return sent ? engine.cachedFractionOfSent : engine.cachedFractionOfOthers;
        }
        return sent || !context.isWarmingUp(engine) ? cachedFraction[engine.role.ordinal()].mean() : 0;
    }

    /** Whether this gateway has sent that prefix to the engine recently and since the engine started. */
    private boolean prefixSent(long prefix, EngineState engine) {
        Map<EngineState, Double> sent = prefixesSent.get(prefix);
        Double at = sent == null ? null : sent.get(engine);
        return at != null && isProbablyCached(engine, at);
    }

    private boolean isProbablyCached(EngineState engine, double at) {
        return context.now - at < CACHE_VALID_SECONDS && engine.endpoint.startedAt() < at;
    }

    /**
     * Records a prefill when it is sent, so that the next request of its session or prefix can go to the same engine.
     */
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
     * Records how many prompt tokens an engine found cached, separately for prefixes that this gateway had sent to it
     * and for other prefixes. A further turn of a session is no evidence about the other prefixes. With many gateways,
     * all engines of a role share one estimate, as this gateway uses each of them too seldom to estimate it alone.
     */
    void recordCachedTokens(AttemptState attempt, double foundTokens) {
        EngineState engine = attempt.engine;
        double prefix = attempt.request.details.prefixTokens();
        if (prefix <= 0) {
            return;
        }
        double fraction = Math.min(1, foundTokens / prefix);
        if (!context.observesAllLoad()) {
            if (!attempt.sessionSent) {
                cachedFraction[engine.role.ordinal()].add(fraction);
            }
        } else if (attempt.prefixSent) {
            engine.cachedFractionOfSent = Ewma.next(engine.cachedFractionOfSent, fraction, ENGINE_WEIGHT);
        } else if (!attempt.sessionSent) {
            engine.cachedFractionOfOthers = Ewma.next(engine.cachedFractionOfOthers, fraction, ENGINE_WEIGHT);
        }
    }

    /** Removes the entries of an engine that has left for good. */
    void evict(EngineState engine) {
        lastPrompts.values().removeIf(last -> last.engine == engine);
        prefixesSent.values().forEach(sent -> sent.remove(engine));
        prefixesSent.values().removeIf(Map::isEmpty);
    }
}
