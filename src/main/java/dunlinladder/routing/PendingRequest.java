package dunlinladder.routing;

import dunlinladder.core.RoutingDecision;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.locks.Condition;

/** A request of {@link BlockingRequestRouter} that waits for decisions; the lock of the router guards all fields. */
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
     * Waits for the next decision, which is {@link RoutingDecision.Discard} once the client has disconnected.
     *
     * @param nanos maximum wait in nanoseconds
     * @return the decision, or empty if there was none in that time
     */
    Optional<RoutingDecision> awaitDecision(long nanos) throws InterruptedException {
        long remaining = nanos;
        while (decisions.isEmpty() && !disconnected && remaining > 0) {
            remaining = changed.awaitNanos(remaining);
        }
        return disconnected ? Optional.of(new RoutingDecision.Discard()) : Optional.ofNullable(decisions.poll());
    }

    /** Waits at most {@code nanos} nanoseconds until the request is admitted or its client has disconnected. */
    void awaitAdmission(long nanos) throws InterruptedException {
        changed.awaitNanos(nanos);
    }

    /** Returns a forward that was decided but is never executed, as the client has disconnected. */
    Optional<RoutingDecision.Forward> unusedForward() {
        return disconnected && decisions.peek() instanceof RoutingDecision.Forward forward
                ? Optional.of(forward)
                : Optional.empty();
    }

    /** Returns the number of the latest forward, from 0. */
    int latestAttempt() {
        return forwards - 1;
    }

    /** Returns the clock time of the latest decision, in seconds. */
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
