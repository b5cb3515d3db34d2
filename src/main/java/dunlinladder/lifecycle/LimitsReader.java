package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.json.JsonObject;
import java.util.List;

/**
 * Computes the gateway's {@link Limits} from the configuration of the process and of connections, with defaults for
 * absent values. Sizes are in bytes, times in seconds.
 */
final class LimitsReader {

    /** The fewest descriptors with which a gateway can work, as a multiple of {@link #RESERVED_SOCKETS}. */
    private static final int MIN_SOCKETS_FACTOR = 4;
    /** Descriptors reserved for the program's own use: files, selectors, the watch, listeners. */
    private static final int RESERVED_SOCKETS = 64;
    /** Descriptors that the process may open if the configuration does not set a number. */
    private static final int DEFAULT_SOCKETS = 1024;
    /** Maximum number of connections to clients and engines together, regardless of the number of descriptors. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int DEFAULT_MEMORY_MEGABYTES = 160;
    private static final int MIN_MEMORY_MEGABYTES = 32;
    /** A thread takes about 100 KB of memory for its stack. */
    private static final int REQUEST_THREADS_PER_MEGABYTE = 2;
    /** Heap of a request whose stream waits for its client: the waiting events, and the buffers of two connections. */
    private static final int HEAP_BYTES_PER_STREAM = 40 * 1024;
    /** Ratio of the maximum heap to the part of it that the streams of all requests may take. */
    private static final int HEAP_TO_STREAMS_RATIO = 2;
    /** Ratio of the maximum heap to the part of it that the data of all requests may take. */
    private static final int HEAP_TO_REQUEST_MEMORY_RATIO = 4;
    /** Ratio of the maximum heap to the part of it that one body may take while it is parsed. */
    private static final int HEAP_TO_PARSED_BODY_RATIO = 3;

    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 1024 * 1024;
    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final int MAX_RESPONSE_BYTES = 4096;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final double DEFAULT_CONNECT_SECONDS = 0.25;
    private static final double DEFAULT_KEEP_ALIVE_SECONDS = 30;
    /** Ratio of the keep-alive time of an engine to the idle time after which the gateway closes a connection to it. */
    private static final int KEEP_ALIVE_TO_IDLE_RATIO = 3;

    private static final double REUSE_DELAY_SECONDS = 0.02;
    private static final double REUSE_SUSPENSION_SECONDS = 30;
    private static final double SEND_GUARD_SECONDS = 0.02;
    private static final double ANSWER_MARGIN_SECONDS = 0.04;
    /**
     * The platform protocol specification lets a client wait for less than 5 s after the last event of an engine that
     * has stopped. The rest is for ending its connection, by a process that may be held up for 0.15 s.
     */
    private static final double STREAM_SECONDS = 4.7;
    /** Limits how long an engine can hold a client by sending single bytes. */
    private static final double EVENT_SECONDS = 60;

    private static final double RELEASE_SECONDS = 0.15;
    private static final int RELEASE_ATTEMPTS = 8;
    private static final double REQUEST_SECONDS = 2.5;
    private static final double STALL_SECONDS = 10;
    private static final double EVICT_SECONDS = 0.1;
    private static final double DEFAULT_RETRY_AFTER_SECONDS = 1;
    private static final double LAG_CHECK_SECONDS = 0.05;
    /** New connections arrive for at most 0.4 s after SIGTERM; the gateway stops accepting a little later. */
    private static final double DRAIN_SECONDS = 0.45;
    /**
     * The earliest SIGKILL follows SIGTERM after the longest deadline, which is capped at this value, plus
     * {@link #KILL_GRACE_SECONDS}.
     */
    private static final double MAX_DEADLINE_BEFORE_KILL_SECONDS = 3;
    /** Time between the capped longest deadline and the earliest SIGKILL. */
    private static final double KILL_GRACE_SECONDS = 0.7;
    /** Time between the end of the process and the earliest SIGKILL, a reserve for a process that is delayed. */
    private static final double EXIT_MARGIN_SECONDS = 0.25;
    /**
     * Time before the end of the process at which requests without a stream get their final answer. Within this time,
     * the answers are written and the engines accept the last releases.
     */
    private static final double FINAL_ANSWER_MARGIN_SECONDS = 0.1;
    /** Time that a held KV cache may wait for its release if the settings have no rule; see {@link #maxLagSeconds}. */
    private static final double DEFAULT_RELEASE_WAIT_SECONDS = 0.5;
    /**
     * Number of equal parts of the wait for a release: detecting that a KV cache is held, selecting an engine, sending,
     * and a margin take one part each.
     */
    private static final int RELEASE_WAIT_PARTS = 4;

    private LimitsReader() {}

    /**
     * Computes the limits.
     *
     * @param process limits of the process: {@code sockets}, {@code memory_mb}
     * @param caps the platform's caps: {@code most-held}, {@code keepalive}, {@code connect-timeout}
     * @param routing the settings of the routing policy
     * @param deadlines deadlines of the service classes in seconds
     */
    static Limits read(JsonObject process, JsonObject caps, RoutingSettings routing, List<Double> deadlines) {
        return new Limits(
                new Limits.MessageLimits(
                        MAX_HEAD_BYTES,
                        MAX_CHUNK_BYTES,
                        MAX_BODY_BYTES,
                        Runtime.getRuntime().maxMemory() / HEAP_TO_REQUEST_MEMORY_RATIO,
                        Runtime.getRuntime().maxMemory() / HEAP_TO_PARSED_BODY_RATIO),
                new Limits.EngineResponseLimits(MAX_INTERIM_RESPONSES, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES),
                capacity(process, caps),
                engineConnectionTimes(caps),
                new Limits.AttemptTimes(SEND_GUARD_SECONDS, ANSWER_MARGIN_SECONDS, STREAM_SECONDS, EVENT_SECONDS),
                new Limits.ReleaseLimits(RELEASE_SECONDS, RELEASE_ATTEMPTS),
                new Limits.ClientTimes(
                        REQUEST_SECONDS,
                        STALL_SECONDS,
                        EVICT_SECONDS,
                        routing.maxRetryAfter() > 0 ? routing.maxRetryAfter() : DEFAULT_RETRY_AFTER_SECONDS),
                new Limits.ProcessTimes(LAG_CHECK_SECONDS, maxLagSeconds(routing), shutdownTimes(deadlines)));
    }

    /**
     * Computes the capacity. Clients and engines each get half of the connections. The platform's cap limits the
     * requests too, memory limits those that need a thread, and the heap those that stream.
     */
    private static Limits.CapacityLimits capacity(JsonObject process, JsonObject caps) {
        int sockets = process.intInRange(
                "sockets", DEFAULT_SOCKETS, MIN_SOCKETS_FACTOR * RESERVED_SOCKETS, Integer.MAX_VALUE);
        int memoryMegabytes = process.intInRange(
                "memory_mb",
                DEFAULT_MEMORY_MEGABYTES,
                MIN_MEMORY_MEGABYTES,
                Integer.MAX_VALUE / REQUEST_THREADS_PER_MEGABYTE);
        int connections = Math.min(MAX_CONNECTIONS, sockets - RESERVED_SOCKETS) / 2;
        int maxHeld = Math.min(connections, caps.intInRange("most-held", connections, 1, Integer.MAX_VALUE));
        int requestThreads = Math.min(maxHeld, REQUEST_THREADS_PER_MEGABYTE * memoryMegabytes);
        int requests = Math.min(maxHeld, Math.max(requestThreads, maxStreams()));
        return new Limits.CapacityLimits(requests, requestThreads, connections, connections);
    }

    private static int maxStreams() {
        return (int) Math.min(
                Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / HEAP_TO_STREAMS_RATIO / HEAP_BYTES_PER_STREAM);
    }

    private static Limits.EngineConnectionTimes engineConnectionTimes(JsonObject caps) {
        double keepAliveSeconds = GatewayConfigReader.positiveNumber(caps, "keepalive", DEFAULT_KEEP_ALIVE_SECONDS);
        return new Limits.EngineConnectionTimes(
                GatewayConfigReader.positiveNumber(caps, "connect-timeout", DEFAULT_CONNECT_SECONDS),
                keepAliveSeconds / KEEP_ALIVE_TO_IDLE_RATIO,
                REUSE_DELAY_SECONDS,
                REUSE_SUSPENSION_SECONDS);
    }

    /**
     * Computes the shutdown times backwards from the earliest SIGKILL, whose time the platform protocol specification
     * gives.
     */
    static Limits.ShutdownTimes shutdownTimes(List<Double> deadlines) {
        double longestDeadline =
                deadlines.stream().mapToDouble(Double::doubleValue).max().orElse(MAX_DEADLINE_BEFORE_KILL_SECONDS);
        double exit =
                Math.min(longestDeadline, MAX_DEADLINE_BEFORE_KILL_SECONDS) + KILL_GRACE_SECONDS - EXIT_MARGIN_SECONDS;
        double finalAnswer = exit - FINAL_ANSWER_MARGIN_SECONDS;
        return new Limits.ShutdownTimes(Math.min(DRAIN_SECONDS, finalAnswer), finalAnswer, exit);
    }

    /**
     * Returns the scheduling lag in seconds above which new requests wait: one part of the wait for a release. In a
     * deployment where no KV cache is held for a decode engine, the default wait applies.
     */
    private static double maxLagSeconds(RoutingSettings routing) {
        double releaseWaitSeconds = routing.rules().releaseWithin();
        return (releaseWaitSeconds > 0 ? releaseWaitSeconds : DEFAULT_RELEASE_WAIT_SECONDS) / RELEASE_WAIT_PARTS;
    }
}
