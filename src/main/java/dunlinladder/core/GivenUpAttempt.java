package dunlinladder.core;

/**
 * An attempt that this gateway has given up. Its engine can detect this only by the closed connection.
 *
 * @param engine the engine to which it was sent
 * @param prefillOnly whether the engine only prefills
 */
public record GivenUpAttempt(Engine engine, boolean prefillOnly) {}
