package dunlinladder.core;

/**
 * What the parts of a gateway measure with.
 *
 * @param clock the gateway's one clock
 * @param counters the gateway's counts
 * @param cacheHolds the KV caches that wait at engines
 */
public record Instruments(MonotonicClock clock, Counters counters, CacheHoldLedger cacheHolds) {}
