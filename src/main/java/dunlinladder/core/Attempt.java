package dunlinladder.core;

/**
 * One request sent to one engine, once. All of it is fixed when the attempt is made: what the engine list says later
 * changes nothing.
 *
 * @param request the request that is sent
 * @param number counted from 0 within the request
 * @param engine the engine as it was listed when the attempt was made
 * @param firstTokenDeadline clock time in seconds until which the gateway waits for the first token
 * @param arrival until when it has to be out, where a KV cache waits for it
 * @param mayHaveEffect whether the attempt can have an effect: false at an engine that only prefills
 */
public record Attempt(
        Request request,
        int number,
        Engine engine,
        double firstTokenDeadline,
        ArrivalDeadlines arrival,
        boolean mayHaveEffect) {}
