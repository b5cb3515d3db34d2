package dunlinladder.core;

/**
 * An attempt that this gateway has given up: its engine hears of its end by a close alone.
 *
 * @param engine where it was sent
 * @param prefillOnly whether the engine only prefills
 */
public record GivenUpAttempt(Engine engine, boolean prefillOnly) {}
