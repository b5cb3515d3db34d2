package dunlinladder.it;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Record of one run, with the observations of clients, links, engines and gateway logs. Times are
 * {@link System#nanoTime}. Safe for use by several threads.
 */
final class SoakRecord {

    /**
     * The answer that a client got to one request.
     *
     * @param status {@link #NO_ANSWER} if the connection ended without an answer
     * @param endedAt when the head of the answer arrived or the connection ended
     * @param body the end of the body
     */
    record Answer(Sent request, int status, long endedAt, Body body) {}

    /**
     * The end of an answer's body.
     *
     * @param lastReceivedAt when the client received the last part of the body
     * @param endedAt when the body or the connection ended
     */
    record Body(BodyEnd end, long lastReceivedAt, long endedAt) {

        static final Body NONE = new Body(BodyEnd.NONE, 0, 0);
    }

    /** The ways in which the body of an answer ends for a client. */
    enum BodyEnd {
        /** There was no stream, or the client left during it. */
        NONE,
        /** The stream ended with its closing event and the last chunk. */
        WHOLE,
        /** The stream ended with the last chunk, and its closing event was missing. */
        TRUNCATED,
        /** The connection ended before the last chunk. */
        CUT
    }

    /**
     * One request as its client sent it.
     *
     * @param leavesAt when its client closes the connection, {@link Long#MAX_VALUE} for never
     */
    record Sent(String id, int gateway, boolean listing, long sentAt, long timeoutNanos, long leavesAt) {}

    /**
     * The end of a gateway's process.
     *
     * @param terminatedAt when SIGTERM was sent, {@link Long#MAX_VALUE} for never
     * @param killedAt when SIGKILL was sent, {@link Long#MAX_VALUE} if the process had ended by itself
     */
    record GatewayEnd(int gateway, long terminatedAt, long killedAt) {}

    /** A span in which a gateway was paused (SIGSTOP) between two of its steps. */
    record GatewayPause(int gateway, long from, long until) {

        boolean overlaps(long start, long end) {
            return from < end && start < until;
        }
    }

    /** An engine whose process was killed. */
    record EngineDeath(String engine, long at) {}

    /** A draining engine, and the time from which this update counts as delivered to every gateway. */
    record Drain(String engine, long deliveredAt) {}

    static final int NO_ANSWER = 0;

    final Queue<SoakEvent> events = new ConcurrentLinkedQueue<>();
    final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    final Queue<GatewayEnd> gatewayEnds = new ConcurrentLinkedQueue<>();
    final Queue<GatewayPause> gatewayPauses = new ConcurrentLinkedQueue<>();
    final Queue<EngineDeath> engineDeaths = new ConcurrentLinkedQueue<>();
    final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    /** Log lines of gateways that report a violation or an internal error, and faults that could not be injected. */
    final Queue<String> alarms = new ConcurrentLinkedQueue<>();
    /** Descriptions of the injected faults, in order. */
    final Queue<String> faults = new ConcurrentLinkedQueue<>();
    /** How long each gateway took to end after SIGTERM, and the time from SIGTERM to SIGKILL, in seconds. */
    final Queue<String> ends = new ConcurrentLinkedQueue<>();

    final Map<String, Sent> sent = new ConcurrentHashMap<>();

    /** Whether an attempt of the request had reached an engine before {@code time}. */
    boolean wasForwardedBefore(String requestId, long time) {
        return events.stream()
                .anyMatch(event -> event.kind() == SoakEvent.Kind.SENT
                        && event.nanos() < time
                        && event.requestId().equals(requestId));
    }

    /** Returns the end of a gateway's process by SIGKILL within a span, or null if there was none. */
    GatewayEnd findKill(int gateway, long from, long until) {
        return gatewayEnds.stream()
                .filter(end -> end.gateway() == gateway && end.killedAt() >= from && end.killedAt() <= until)
                .findFirst()
                .orElse(null);
    }

    boolean wasPaused(int gateway, long from, long until) {
        return gatewayPauses.stream().anyMatch(pause -> pause.gateway() == gateway && pause.overlaps(from, until));
    }
}
