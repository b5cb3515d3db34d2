package dunlinladder.routing;

import dunlinladder.core.RoutingDecision;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.locks.Condition;

/** A request of {@link BlockingRequestRouter} that is owed decisions; its lock guards all fields. */
final class PendingRequest {
    private final Queue<RoutingDecision> decisions = new ArrayDeque<>();
    private final Condition changed;
    private int forwards;
    private double decidedAt;
    private boolean disconnected;
    private boolean admitted;

    /** {@code changed} belongs to the lock that guards this request. */
    PendingRequest(Condition changed) {
        this.changed = changed;
    }

    void decide(RoutingDecision decision, double now) {
        decisions.add(decision);
        decidedAt = now;
        forwards += decision instanceof RoutingDecision.Forward ? 1 : 0;
        changed.signal();
    }

    void admit() {
        admitted = true;
        changed.signal();
    }

    void disconnect() {
        disconnected = true;
        changed.signal();
    }

    /**
     * Waits for the next decision; {@link RoutingDecision.Discard} once the client has disconnected.
     *
     * @param nanos longest wait
     * @return empty where there was none in that time
     */
    Optional<RoutingDecision> awaitDecision(long nanos) throws InterruptedException {
        long left = nanos;
        while (decisions.isEmpty() && !disconnected && left > 0) {
            left = changed.awaitNanos(left);
        }
        return disconnected ? Optional.of(new RoutingDecision.Discard()) : Optional.ofNullable(decisions.poll());
    }

    /** Waits until it is admitted or its client has disconnected, at most so long. */
    void awaitAdmission(long nanos) throws InterruptedException {
        changed.awaitNanos(nanos);
    }

    /** A forward that was decided and, as the client has disconnected, is never made. */
    Optional<RoutingDecision.Forward> unusedForward() {
        return disconnected && decisions.peek() instanceof RoutingDecision.Forward forward
                ? Optional.of(forward)
                : Optional.empty();
    }

    /** Number of the latest forward, from 0. */
    int latestAttempt() {
        return forwards - 1;
    }

    /** Clock time of the latest decision, in seconds. */
    double decidedAt() {
        return decidedAt;
    }

    boolean isDisconnected() {
        return disconnected;
    }

    boolean isAdmitted() {
        return admitted;
    }
}
