package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.json.JsonObject;
import java.util.List;

/**
 * Fills in the gateway's {@link Limits}: from what the configuration says of the process and of connections, else from
 * the defaults here. Sizes are in bytes, times in seconds.
 */
final class LimitsReader {

    /** Fewest descriptors that a gateway can work with, in terms of those kept for the program itself. */
    private static final int MIN_SOCKETS_PER_OWN = 4;
    /** Descriptors kept for the program itself: files, selectors, the watch, listeners. */
    private static final int OWN_SOCKETS = 64;
    /** Descriptors that the process may open where the configuration does not say. */
    private static final int DEFAULT_SOCKETS = 1024;
    /** Connections of both sides together, whatever the descriptors allow. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int DEFAULT_MEMORY_MEGABYTES = 160;
    private static final int MIN_MEMORY_MEGABYTES = 32;
    /** A request takes a thread, with its stack and its share of the heap: some 100 KB in all. */
    private static final int REQUESTS_PER_MEGABYTE = 2;
    /** The bodies of all requests may take one part in this many of the heap. */
    private static final int HEAP_PER_BODIES = 5;

    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 1024 * 1024;
    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final int MAX_RESPONSE_BYTES = 4096;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final double DEFAULT_CONNECT_SECONDS = 0.25;
    private static final double DEFAULT_KEEP_ALIVE_SECONDS = 30;
    /** An idle connection is closed after one part in this many of the time after which its engine closes it. */
    private static final int KEEP_ALIVE_PER_IDLE = 3;

    private static final double REUSE_DELAY_SECONDS = 0.02;
    private static final double REUSE_SUSPENSION_SECONDS = 30;
    private static final double SEND_GUARD_SECONDS = 0.02;
    private static final double ANSWER_MARGIN_SECONDS = 0.04;
    private static final double STREAM_SECONDS = 4;
    private static final double RELEASE_SECONDS = 0.15;
    private static final int RELEASE_ATTEMPTS = 8;
    private static final double REQUEST_SECONDS = 2.5;
    private static final double STALL_SECONDS = 10;
    private static final double EVICT_SECONDS = 0.1;
    private static final double DEFAULT_RETRY_AFTER_SECONDS = 1;
    private static final double LAG_CHECK_SECONDS = 0.05;
    /** From SIGTERM on new connections keep coming for 0.4 s at most; a little later none is accepted any more. */
    private static final double DRAIN_SECONDS = 0.45;
    /** SIGKILL comes no sooner behind SIGTERM than the longest deadline, which counts as this where it is longer. */
    private static final double MAX_KILL_DEADLINE_SECONDS = 3;
    /** And so much later. */
    private static final double KILL_GRACE_SECONDS = 0.7;
    /** Before the earliest SIGKILL: the process has ended, with room for one that is held up. */
    private static final double EXIT_MARGIN_SECONDS = 0.25;
    /** Before the end of the process: the last answers are written, the last releases are taken. */
    private static final double FINAL_ANSWER_MARGIN_SECONDS = 0.1;
    /** Wait for a release that is allowed where the settings have no rule on it; see {@link #maxLagSeconds}. */
    private static final double DEFAULT_RELEASE_WAIT_SECONDS = 0.5;
    /** Hearing of a held state, choosing, sending and a margin share the wait for its release equally. */
    private static final int PARTS_OF_RELEASE_WAIT = 4;

    private LimitsReader() {}

    /**
     * Reads the limits.
     *
     * @param process what the process may use: {@code sockets}, {@code memory_mb}
     * @param caps the platform's caps: {@code most-held}, {@code keepalive}, {@code connect-timeout}
     * @param routing the settings of the routing policy
     * @param deadlines of the service classes
     */
    static Limits read(JsonObject process, JsonObject caps, RoutingSettings routing, List<Double> deadlines) {
        return new Limits(
                new Limits.MessageLimits(
                        MAX_HEAD_BYTES,
                        MAX_CHUNK_BYTES,
                        MAX_BODY_BYTES,
                        Runtime.getRuntime().maxMemory() / HEAP_PER_BODIES),
                new Limits.EngineResponseLimits(MAX_INTERIM_RESPONSES, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES),
                capacity(process, caps),
                engineConnectionTimes(caps),
                new Limits.AttemptTimes(SEND_GUARD_SECONDS, ANSWER_MARGIN_SECONDS, STREAM_SECONDS),
                new Limits.ReleaseLimits(RELEASE_SECONDS, RELEASE_ATTEMPTS),
                new Limits.ClientTimes(
                        REQUEST_SECONDS,
                        STALL_SECONDS,
                        EVICT_SECONDS,
                        routing.maxRetryAfter() > 0 ? routing.maxRetryAfter() : DEFAULT_RETRY_AFTER_SECONDS),
                new Limits.ProcessTimes(LAG_CHECK_SECONDS, maxLagSeconds(routing), shutdownTimes(deadlines)));
    }

    /** Clients and engines get half of the connections each; requests are bounded by the memory as well. */
    private static Limits.CapacityLimits capacity(JsonObject process, JsonObject caps) {
        int sockets =
                process.intInRange("sockets", DEFAULT_SOCKETS, MIN_SOCKETS_PER_OWN * OWN_SOCKETS, Integer.MAX_VALUE);
        int memoryMegabytes = process.intInRange(
                "memory_mb", DEFAULT_MEMORY_MEGABYTES, MIN_MEMORY_MEGABYTES, Integer.MAX_VALUE / REQUESTS_PER_MEGABYTE);
        int connections = Math.min(MAX_CONNECTIONS, sockets - OWN_SOCKETS) / 2;
        int requests = Math.min(
                Math.min(connections, REQUESTS_PER_MEGABYTE * memoryMegabytes),
                caps.intInRange("most-held", connections, 1, Integer.MAX_VALUE));
        return new Limits.CapacityLimits(requests, connections, connections);
    }

    private static Limits.EngineConnectionTimes engineConnectionTimes(JsonObject caps) {
        double keepAliveSeconds = GatewayConfigReader.positiveNumber(caps, "keepalive", DEFAULT_KEEP_ALIVE_SECONDS);
        return new Limits.EngineConnectionTimes(
                GatewayConfigReader.positiveNumber(caps, "connect-timeout", DEFAULT_CONNECT_SECONDS),
                keepAliveSeconds / KEEP_ALIVE_PER_IDLE,
                REUSE_DELAY_SECONDS,
                REUSE_SUSPENSION_SECONDS);
    }

    /** The protocol page gives the time of the earliest SIGKILL; all else is counted back from it. */
    static Limits.ShutdownTimes shutdownTimes(List<Double> deadlines) {
        double longest =
                deadlines.stream().mapToDouble(Double::doubleValue).max().orElse(MAX_KILL_DEADLINE_SECONDS);
        double exit = Math.min(longest, MAX_KILL_DEADLINE_SECONDS) + KILL_GRACE_SECONDS - EXIT_MARGIN_SECONDS;
        double finalAnswer = exit - FINAL_ANSWER_MARGIN_SECONDS;
        return new Limits.ShutdownTimes(Math.min(DRAIN_SECONDS, finalAnswer), finalAnswer, exit);
    }

    /** How far this process may be behind; where no KV cache is held for a decode engine, as if the default held. */
    private static double maxLagSeconds(RoutingSettings routing) {
        double releaseWaitSeconds = routing.rules().releaseWithin();
        return (releaseWaitSeconds > 0 ? releaseWaitSeconds : DEFAULT_RELEASE_WAIT_SECONDS) / PARTS_OF_RELEASE_WAIT;
    }
}
