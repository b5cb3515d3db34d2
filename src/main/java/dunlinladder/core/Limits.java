package dunlinladder.core;

/**
 * All limits of the gateway on sizes, counts and times, in groups. They are read once at the start and passed to the
 * parts of the gateway. Every value is 0 or more. The record has an accessor for each value of the groups, because most
 * callers need a few values of several groups.
 *
 * @param messages limits on the sizes of HTTP messages, in both directions
 * @param engineResponses limits on the responses of engines
 * @param capacity limits on requests and connections that exist at once
 * @param engineConnectionTimes time limits of connections to engines
 * @param attempts time limits of an attempt
 * @param releases limits on asking engines to free a KV cache
 * @param clients time limits of connections to clients
 * @param process time limits of this process
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
     * Limits on the sizes of HTTP messages.
     *
     * @param headBytes maximum size of the head of a request or a response
     * @param chunkBytes maximum size of a chunk of a body
     * @param bodyBytes maximum size of the body of a request
     * @param requestMemoryBytes maximum heap that the data of all requests takes
     * @param parsedBodyBytes maximum heap that the parsed form of a body takes; one body is parsed at a time
     */
    public record MessageLimits(
            int headBytes, int chunkBytes, int bodyBytes, long requestMemoryBytes, long parsedBodyBytes) {

        /** Checks the values. */
        public MessageLimits {
            requireNotNegative(headBytes, "headBytes");
            requireNotNegative(chunkBytes, "chunkBytes");
            requireNotNegative(bodyBytes, "bodyBytes");
            requireNotNegative(requestMemoryBytes, "requestMemoryBytes");
            requireNotNegative(parsedBodyBytes, "parsedBodyBytes");
        }
    }

    /**
     * Limits on the responses of engines.
     *
     * @param interimResponses maximum number of responses with a status 1xx before a response
     * @param eventBytes maximum size of an event of a stream
     * @param responseBytes number of bytes that are kept of a response that is not a stream (prefill answers, errors)
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
     * Limits on requests and connections that exist at once.
     *
     * @param requests maximum number of requests in flight
     * @param requestThreads maximum number of requests without a stream yet; each uses a thread
     * @param clientConnections maximum number of connections from clients
     * @param engineConnections maximum number of connections to engines, including idle ones
     */
    public record CapacityLimits(int requests, int requestThreads, int clientConnections, int engineConnections) {

        /** Checks the values. */
        public CapacityLimits {
            requireNotNegative(requests, "requests");
            requireNotNegative(requestThreads, "requestThreads");
            requireNotNegative(clientConnections, "clientConnections");
            requireNotNegative(engineConnections, "engineConnections");
        }
    }

    /**
     * Time limits of connections to engines.
     *
     * @param connectSeconds time after which a connection that is not established counts as failed
     * @param idleSeconds time after which an idle connection is closed; well before its engine closes it
     * @param reuseDelaySeconds minimum time from the end of a response until its connection is used again
     * @param reuseSuspensionSeconds time for which no connection is reused after a reused connection broke during its
     *     next request
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
     * Time limits of an attempt.
     *
     * @param sendGuardSeconds maximum time that a send waits while an endpoint update has arrived but has not been read
     * @param answerMarginSeconds time before the client's deadline at which an attempt without a first token ends
     * @param streamSeconds time without data in a stream after which the stream counts as broken
     * @param eventSeconds time that an event of a stream may take from its first byte to its last one
     */
    public record AttemptTimes(
            double sendGuardSeconds, double answerMarginSeconds, double streamSeconds, double eventSeconds) {

        /** Checks the values. */
        public AttemptTimes {
            requireNotNegative(sendGuardSeconds, "sendGuardSeconds");
            requireNotNegative(answerMarginSeconds, "answerMarginSeconds");
            requireNotNegative(streamSeconds, "streamSeconds");
            requireNotNegative(eventSeconds, "eventSeconds");
        }
    }

    /**
     * Limits on asking engines to free the KV cache of a request.
     *
     * @param releaseSeconds time to wait for the answer of an engine before another engine is asked
     * @param releaseAttempts maximum number of engines that are asked
     */
    public record ReleaseLimits(double releaseSeconds, int releaseAttempts) {

        /** Checks the values. */
        public ReleaseLimits {
            requireNotNegative(releaseSeconds, "releaseSeconds");
            requireNotNegative(releaseAttempts, "releaseAttempts");
        }
    }

    /**
     * Time limits of connections to clients.
     *
     * @param requestSeconds time that a client may take to send a request, and time that its connection may be without
     *     a request, before the connection is closed
     * @param stallSeconds time for which a client may read nothing of its response
     * @param evictSeconds time without a request after which a connection may be closed to admit another
     * @param retryAfterSeconds retry advice in rejections for which the routing policy gives none
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
     * Time limits of this process.
     *
     * @param schedulingLagCheckSeconds interval between two measurements of this process's scheduling lag
     * @param maxSchedulingLagSeconds scheduling lag above which new requests wait
     * @param shutdown times of the shutdown, from SIGTERM on
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
     * Times of the shutdown, in seconds from SIGTERM on.
     *
     * @param drainSeconds time after which no new connection is accepted
     * @param finalAnswerSeconds time by which every request without a stream gets its final answer
     * @param exitSeconds time at which the process ends even if something hangs; only answers that are still being sent
     *     to clients delay it
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
    public long requestMemoryBytes() {
        return messages.requestMemoryBytes();
    }

    /** See {@link MessageLimits}. */
    public long parsedBodyBytes() {
        return messages.parsedBodyBytes();
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
    public int requestThreads() {
        return capacity.requestThreads();
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

    /** See {@link AttemptTimes}. */
    public double eventSeconds() {
        return attempts.eventSeconds();
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
