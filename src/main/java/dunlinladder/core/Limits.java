package dunlinladder.core;

/**
 * All sizes, counts and times that bound the gateway, grouped by what they bound; filled once at the start and handed
 * down. Every value is 0 or more. The accessors beside the groups spare the callers, each of which needs a few values
 * of several groups, the way through the group.
 *
 * @param messages sizes of HTTP messages, in either direction
 * @param engineResponses sizes of what engines answer
 * @param capacity what is held at once
 * @param engineConnectionTimes times of the connections to engines
 * @param attempts times of one attempt
 * @param releases bounds on telling engines to free a KV cache
 * @param clients times of the connections to clients
 * @param process times of this process itself
 */
public record Limits(
        MessageLimits messages,
        EngineResponseLimits engineResponses,
        CapacityLimits capacity,
        EngineConnectionTimes engineConnectionTimes,
        AttemptTimes attempts,
        ReleaseLimits releases,
        ClientTimes clients,
        ProcessTimes process) {

    /**
     * Sizes of HTTP messages.
     *
     * @param headBytes longest head of a request or a response
     * @param chunkBytes longest chunk of a body
     * @param bodyBytes longest body of a request
     * @param totalBodyBytes sum of the bodies of all requests that are held at once
     */
    public record MessageLimits(int headBytes, int chunkBytes, int bodyBytes, long totalBodyBytes) {

        /** Checks the values. */
        public MessageLimits {
            requireNotNegative(headBytes, "headBytes");
            requireNotNegative(chunkBytes, "chunkBytes");
            requireNotNegative(bodyBytes, "bodyBytes");
            requireNotNegative(totalBodyBytes, "totalBodyBytes");
        }
    }

    /**
     * Sizes of what engines answer.
     *
     * @param interimResponses responses with a status 1xx that may precede a response
     * @param eventBytes longest event of a stream
     * @param responseBytes how much of a response that is no stream is kept (prefill answers, errors)
     */
    public record EngineResponseLimits(int interimResponses, int eventBytes, int responseBytes) {

        /** Checks the values. */
        public EngineResponseLimits {
            requireNotNegative(interimResponses, "interimResponses");
            requireNotNegative(eventBytes, "eventBytes");
            requireNotNegative(responseBytes, "responseBytes");
        }
    }

    /**
     * What is held at once.
     *
     * @param requests requests in flight, each of which takes a thread
     * @param clientConnections connections of clients
     * @param engineConnections connections to engines, idle ones included
     */
    public record CapacityLimits(int requests, int clientConnections, int engineConnections) {

        /** Checks the values. */
        public CapacityLimits {
            requireNotNegative(requests, "requests");
            requireNotNegative(clientConnections, "clientConnections");
            requireNotNegative(engineConnections, "engineConnections");
        }
    }

    /**
     * Times of the connections to engines.
     *
     * @param connectSeconds until a connection that does not come up counts as failed
     * @param idleSeconds after which an idle connection is closed, well before its engine closes it
     * @param reuseDelaySeconds from the end of a response until its connection is used again
     * @param reuseSuspensionSeconds without reuse after a reused connection broke under its next request
     */
    public record EngineConnectionTimes(
            double connectSeconds, double idleSeconds, double reuseDelaySeconds, double reuseSuspensionSeconds) {

        /** Checks the values. */
        public EngineConnectionTimes {
            requireNotNegative(connectSeconds, "connectSeconds");
            requireNotNegative(idleSeconds, "idleSeconds");
            requireNotNegative(reuseDelaySeconds, "reuseDelaySeconds");
            requireNotNegative(reuseSuspensionSeconds, "reuseSuspensionSeconds");
        }
    }

    /**
     * Times of one attempt.
     *
     * @param sendGuardSeconds for which a send waits at most while an endpoint update has arrived and is not yet read
     * @param answerMarginSeconds before the client's deadline at which an attempt without a first token ends
     * @param streamSeconds silence within a stream after which the stream counts as broken
     */
    public record AttemptTimes(double sendGuardSeconds, double answerMarginSeconds, double streamSeconds) {

        /** Checks the values. */
        public AttemptTimes {
            requireNotNegative(sendGuardSeconds, "sendGuardSeconds");
            requireNotNegative(answerMarginSeconds, "answerMarginSeconds");
            requireNotNegative(streamSeconds, "streamSeconds");
        }
    }

    /**
     * Bounds on telling engines to free the KV cache of a request.
     *
     * @param releaseSeconds wait for the answer of one engine before another is asked
     * @param releaseAttempts engines that are asked at most
     */
    public record ReleaseLimits(double releaseSeconds, int releaseAttempts) {

        /** Checks the values. */
        public ReleaseLimits {
            requireNotNegative(releaseSeconds, "releaseSeconds");
            requireNotNegative(releaseAttempts, "releaseAttempts");
        }
    }

    /**
     * Times of the connections to clients.
     *
     * @param requestSeconds for a client to send a request, and to be without one, before its connection is closed
     * @param stallSeconds for which a client may read nothing of its response
     * @param evictSeconds without a request after which a connection may be closed to admit another
     * @param retryAfterSeconds advice on rejections for which the routing policy gives none
     */
    public record ClientTimes(
            double requestSeconds, double stallSeconds, double evictSeconds, double retryAfterSeconds) {

        /** Checks the values. */
        public ClientTimes {
            requireNotNegative(requestSeconds, "requestSeconds");
            requireNotNegative(stallSeconds, "stallSeconds");
            requireNotNegative(evictSeconds, "evictSeconds");
            requireNotNegative(retryAfterSeconds, "retryAfterSeconds");
        }
    }

    /**
     * Times of this process itself.
     *
     * @param schedulingLagCheckSeconds between two measurements of this process's scheduling lag
     * @param maxSchedulingLagSeconds scheduling lag over which new requests wait
     * @param shutdown what has to be done when, from SIGTERM on
     */
    public record ProcessTimes(
            double schedulingLagCheckSeconds, double maxSchedulingLagSeconds, ShutdownTimes shutdown) {

        /** Checks the values. */
        public ProcessTimes {
            requireNotNegative(schedulingLagCheckSeconds, "schedulingLagCheckSeconds");
            requireNotNegative(maxSchedulingLagSeconds, "maxSchedulingLagSeconds");
        }
    }

    /**
     * The end of the process, in seconds from SIGTERM on.
     *
     * @param drainSeconds until no new connection is accepted
     * @param finalAnswerSeconds until every request without a stream has its final answer
     * @param exitSeconds until the process ends, whatever hangs; only answers on their way to clients keep it
     */
    public record ShutdownTimes(double drainSeconds, double finalAnswerSeconds, double exitSeconds) {

        /** Checks the values. */
        public ShutdownTimes {
            requireNotNegative(drainSeconds, "drainSeconds");
            requireNotNegative(finalAnswerSeconds, "finalAnswerSeconds");
            requireNotNegative(exitSeconds, "exitSeconds");
        }
    }

    private static void requireNotNegative(double value, String name) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " is " + value + ", but must be 0 or more");
        }
    }

    /** See {@link MessageLimits}. */
    public int headBytes() {
        return messages.headBytes();
    }

    /** See {@link MessageLimits}. */
    public int chunkBytes() {
        return messages.chunkBytes();
    }

    /** See {@link MessageLimits}. */
    public int bodyBytes() {
        return messages.bodyBytes();
    }

    /** See {@link MessageLimits}. */
    public long totalBodyBytes() {
        return messages.totalBodyBytes();
    }

    /** See {@link EngineResponseLimits}. */
    public int interimResponses() {
        return engineResponses.interimResponses();
    }

    /** See {@link EngineResponseLimits}. */
    public int eventBytes() {
        return engineResponses.eventBytes();
    }

    /** See {@link EngineResponseLimits}. */
    public int responseBytes() {
        return engineResponses.responseBytes();
    }

    /** See {@link CapacityLimits}. */
    public int requests() {
        return capacity.requests();
    }

    /** See {@link CapacityLimits}. */
    public int clientConnections() {
        return capacity.clientConnections();
    }

    /** See {@link CapacityLimits}. */
    public int engineConnections() {
        return capacity.engineConnections();
    }

    /** See {@link EngineConnectionTimes}. */
    public double connectSeconds() {
        return engineConnectionTimes.connectSeconds();
    }

    /** See {@link EngineConnectionTimes}. */
    public double idleSeconds() {
        return engineConnectionTimes.idleSeconds();
    }

    /** See {@link EngineConnectionTimes}. */
    public double reuseDelaySeconds() {
        return engineConnectionTimes.reuseDelaySeconds();
    }

    /** See {@link EngineConnectionTimes}. */
    public double reuseSuspensionSeconds() {
        return engineConnectionTimes.reuseSuspensionSeconds();
    }

    /** See {@link AttemptTimes}. */
    public double sendGuardSeconds() {
        return attempts.sendGuardSeconds();
    }

    /** See {@link AttemptTimes}. */
    public double answerMarginSeconds() {
        return attempts.answerMarginSeconds();
    }

    /** See {@link AttemptTimes}. */
    public double streamSeconds() {
        return attempts.streamSeconds();
    }

    /** See {@link ReleaseLimits}. */
    public double releaseSeconds() {
        return releases.releaseSeconds();
    }

    /** See {@link ReleaseLimits}. */
    public int releaseAttempts() {
        return releases.releaseAttempts();
    }

    /** See {@link ClientTimes}. */
    public double requestSeconds() {
        return clients.requestSeconds();
    }

    /** See {@link ClientTimes}. */
    public double stallSeconds() {
        return clients.stallSeconds();
    }

    /** See {@link ClientTimes}. */
    public double evictSeconds() {
        return clients.evictSeconds();
    }

    /** See {@link ClientTimes}. */
    public double retryAfterSeconds() {
        return clients.retryAfterSeconds();
    }

    /** See {@link ProcessTimes}. */
    public double schedulingLagCheckSeconds() {
        return process.schedulingLagCheckSeconds();
    }

    /** See {@link ProcessTimes}. */
    public double maxSchedulingLagSeconds() {
        return process.maxSchedulingLagSeconds();
    }

    /** See {@link ProcessTimes}. */
    public ShutdownTimes shutdown() {
        return process.shutdown();
    }
}
