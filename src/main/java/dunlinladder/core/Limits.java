package dunlinladder.core;

/**
 * All sizes, counts and times that bound the gateway; filled once at the start and handed down.
 *
 * @param bodyBytes longest request body that is taken
 * @param bodiesBytes sum of all request bodies that are held at once
 * @param headBytes longest head, of a request or an answer
 * @param chunkBytes longest chunk of a body
 * @param eventBytes longest event of a stream
 * @param interimAnswers 1xx answers that may go before an answer
 * @param answerBytes longest engine answer that is kept whole (reads, errors)
 * @param requests requests driven at once, each on a thread
 * @param clientConnections client connections held at once
 * @param engineConnections engine connections held at once, idle ones included
 * @param connectSeconds until a connection that does not come up counts as failed
 * @param idleSeconds after which an idle engine connection is dropped, well before its engine does
 * @param restSeconds from an answer's end until its connection is used again
 * @param distrustSeconds without reuse after a kept connection broke under its next request
 * @param streamSeconds silence in the midst of a stream after which it counts as broken
 * @param releaseSeconds wait for the answer to a release before another engine is asked
 * @param releaseTries engines asked to release one request
 * @param gateSeconds for which a send waits while news of the engine list is there and not yet read
 * @param retryAfterSeconds advice on refusals for which the module gives none
 * @param requestSeconds for a client to send a request, and to be without one, before it is closed
 * @param answerSeconds before the client's deadline at which an attempt without a first token ends
 * @param stallSeconds for which a client may take nothing of its answer
 * @param evictSeconds without a request after which a connection may make room for another
 * @param drainSeconds from SIGTERM until no new connection is accepted
 * @param pulseSeconds between two looks at how far this process itself is behind
 * @param lagSeconds by which it may be behind; over that new requests wait
 */
public record Limits(
        int bodyBytes,
        long bodiesBytes,
        int headBytes,
        int chunkBytes,
        int eventBytes,
        int interimAnswers,
        int answerBytes,
        int requests,
        int clientConnections,
        int engineConnections,
        double connectSeconds,
        double idleSeconds,
        double restSeconds,
        double distrustSeconds,
        double streamSeconds,
        double releaseSeconds,
        int releaseTries,
        double gateSeconds,
        double retryAfterSeconds,
        double requestSeconds,
        double answerSeconds,
        double stallSeconds,
        double evictSeconds,
        double drainSeconds,
        double pulseSeconds,
        double lagSeconds) {}
