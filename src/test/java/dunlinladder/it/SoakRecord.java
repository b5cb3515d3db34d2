package dunlinladder.it;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was seen of one run, by all sides; times are {@link System#nanoTime}. Safe for use by several threads. */
final class SoakRecord {

    /**
     * What a client got for one request.
     *
     * @param status {@link #NO_ANSWER} where the connection ended without one
     * @param endedAt when the head of the answer or the end of the connection came
     */
    record Answer(Sent request, int status, long endedAt) {}

    /**
     * One request as its client sent it.
     *
     * @param leavesAt when its client closes the connection, {@link Long#MAX_VALUE} for never
     */
    record Sent(String id, int gateway, boolean listing, long sentAt, long timeoutNanos, long leavesAt) {}

    /**
     * The end of a gateway's process.
     *
     * @param terminatedAt when it got SIGTERM, {@link Long#MAX_VALUE} for never
     * @param killedAt when it got SIGKILL, {@link Long#MAX_VALUE} where it had ended by itself
     */
    record GatewayEnd(int gateway, long terminatedAt, long killedAt) {}

    /** A span for which a gateway was held up between two of its steps. */
    record HoldUp(int gateway, long from, long until) {

        boolean overlaps(long start, long end) {
            return from < end && start < until;
        }
    }

    /** An engine whose process was killed. */
    record EngineDeath(String engine, long at) {}

    /** An engine that drains, and from when on this counts as told. */
    record Drain(String engine, long toldAt) {}

    static final int NO_ANSWER = 0;

    final Queue<SoakEvent> events = new ConcurrentLinkedQueue<>();
    final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    final Queue<GatewayEnd> gatewayEnds = new ConcurrentLinkedQueue<>();
    final Queue<HoldUp> holdUps = new ConcurrentLinkedQueue<>();
    final Queue<EngineDeath> engineDeaths = new ConcurrentLinkedQueue<>();
    final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    /** Lines of the gateways' logs that tell of a violation or a fault of their own. */
    final Queue<String> alarms = new ConcurrentLinkedQueue<>();
    /** Names of what was brought about, in order. */
    final Queue<String> faults = new ConcurrentLinkedQueue<>();
    /** How long each end by SIGTERM took, in seconds, against the time that there was. */
    final Queue<String> ends = new ConcurrentLinkedQueue<>();

    final Map<String, Sent> sent = new ConcurrentHashMap<>();

    /** Whether an attempt of the request had come to an engine before a time. */
    boolean wasForwardedBefore(String requestId, long time) {
        return events.stream()
                .anyMatch(event -> event.kind() == SoakEvent.Kind.SENT
                        && event.nanos() < time
                        && event.requestId().equals(requestId));
    }

    /** The end of a gateway's process by SIGKILL within a span; null where there was none. */
    GatewayEnd killOf(int gateway, long from, long until) {
        return gatewayEnds.stream()
                .filter(end -> end.gateway() == gateway && end.killedAt() >= from && end.killedAt() <= until)
                .findFirst()
                .orElse(null);
    }

    boolean wasHeldUp(int gateway, long from, long until) {
        return holdUps.stream().anyMatch(holdUp -> holdUp.gateway() == gateway && holdUp.overlaps(from, until));
    }
}
