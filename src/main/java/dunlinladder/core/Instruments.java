package dunlinladder.core;

/**
 * What the parts of a gateway measure with.
 *
 * @param clock the gateway's one clock
 * @param counters the gateway's counts
 */
public record Instruments(Clock clock, Counters counters) {}
