package dunlinladder.core;

/**
 * One send of a request to one engine. All of it is fixed when it is sent and travels with it: what the list says of
 * the engine later changes nothing.
 *
 * @param number counted from 0 within the request
 * @param until clock time at which the gateway stops waiting for the first token
 * @param effect whether it can have an effect: false at an engine that only reads
 */
public record Attempt(Request request, int number, Engine engine, double until, boolean effect) {}
