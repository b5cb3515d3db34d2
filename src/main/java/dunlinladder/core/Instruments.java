package dunlinladder.core;

/**
 * The clock, the counters and the ledger of held KV caches that the parts of a gateway share.
 *
 * @param clock the gateway's only clock
 * @param counters the gateway's counters
 * @param cacheHolds the KV caches that are held at engines
 */
public record Instruments(MonotonicClock clock, Counters counters, CacheHoldLedger cacheHolds) {}
