package dunlinladder.core;

/**
 * One send of a request to an engine. All values are fixed when the attempt is created; later updates of the engine
 * list do not change them.
 *
 * @param request the request that is sent
 * @param number number of the attempt within the request, from 0
 * @param engine the engine as it was listed when the attempt was created
 * @param firstTokenDeadline clock time in seconds until which the gateway waits for the first token
 * @param latestSend clock time in seconds until which the request may be sent, because a rerun of it is allowed
 * @param arrival deadlines for the arrival of the request while a KV cache is held for it
 * @param mayHaveEffect whether the attempt can have an effect; false at an engine that only prefills
 */
public record Attempt(
        Request request,
        int number,
        Engine engine,
        double firstTokenDeadline,
        double latestSend,
        ArrivalDeadlines arrival,
        boolean mayHaveEffect) {}
