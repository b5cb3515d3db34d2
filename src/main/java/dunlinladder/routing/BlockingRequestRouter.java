package dunlinladder.routing;

import dunlinladder.core.Attempt;
import dunlinladder.core.AttemptReach;
import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Engine;
import dunlinladder.core.Instruments;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.Outcome;
import dunlinladder.core.Request;
import dunlinladder.core.RequestRouter;
import dunlinladder.core.RoutingDecision;
import dunlinladder.core.Seconds;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Blocking interface to the routing policy: {@link #nextDecision} waits for a request's next decision,
 * {@link #runTimers} runs timers, and the other calls report events. Events and actions are internal to it.
 *
 * <p>One lock guards all mutable state: the router, the pending requests and their fields, the admission queue, the
 * timers and the counts for the log. The clock is read while the lock is held. Otherwise a thread that waited for the
 * lock could pass the router a time before that of an earlier event.
 */
public final class BlockingRequestRouter implements RequestRouter {

    private static final Logger LOG = LoggerFactory.getLogger(BlockingRequestRouter.class);
    private static final double NANOS_PER_SECOND = 1e9;
    /** Maximum wait for a timer in one call of {@link #runTimers}; a new earlier timer ends it sooner. */
    private static final long MAX_TIMER_WAIT_NANOS = 1_000_000_000L;
    /**
     * Seconds after a request's deadline for which a decision is still awaited. An answer after the deadline has no
     * value, and half a second after the deadline it is lost.
     */
    private static final double DECISION_GRACE_SECONDS = 0.2;
    /** Minimum seconds between two log lines about queued requests. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timerSet = lock.newCondition();
    private final Router router;
    private final MonotonicClock clock;
    private final Counters counters;
    private final Consumer<String> cacheReleases;
    private final DoubleSupplier schedulingLag;
    private final RoutingSettings settings;
    private final AdmissionQueue<PendingRequest> admissionQueue;
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private final PriorityQueue<ScheduledTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledTimer::at));
    private int queuedSinceLog;
    private int rejectedSinceLog;
    private double maxSchedulingLag;
    private double loggedAt;

    private record ScheduledTimer(double at, long token) {}

    /**
     * Creates the router of one gateway.
     *
     * @param seed seed of the policy's random numbers
     * @param cacheReleases receives the ids of requests whose KV cache is to be released; must not block
     * @param schedulingLag supplies the scheduling lag of this process in seconds
     * @param maxSchedulingLag lag in seconds above which requests wait before they are processed
     */
    public BlockingRequestRouter(
            RoutingSettings settings,
            long seed,
            Instruments instruments,
            Consumer<String> cacheReleases,
            DoubleSupplier schedulingLag,
            double maxSchedulingLag) {
        this.settings = settings;
        this.schedulingLag = schedulingLag;
        this.admissionQueue = new AdmissionQueue<>(maxSchedulingLag);
        this.router = new RoutingPolicy(settings, seed);
        this.clock = instruments.clock();
        this.counters = instruments.counters();
        this.cacheReleases = cacheReleases;
    }

    @Override
    public RoutingDecision nextDecision(Request request) throws InterruptedException {
        lock.lock();
        try {
            PendingRequest existing = pendingRequests.get(request.id());
            if (existing != null) {
                return awaitDecision(request, existing);
            }
            PendingRequest pending = new PendingRequest(lock.newCondition());
            pendingRequests.put(request.id(), pending);
            Optional<RoutingDecision> earlyDecision = awaitAdmission(pending, request);
            if (earlyDecision.isPresent()) {
                pendingRequests.remove(request.id());
                return earlyDecision.get();
            }
            handle(new RoutingEvent.RequestArrived(routingRequest(request)));
            return awaitDecision(request, pending);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until the request is admitted. Returns its final decision if the wait takes too long or the client
     * disconnects.
     */
    private Optional<RoutingDecision> awaitAdmission(PendingRequest pending, Request request)
            throws InterruptedException {
        if (admissionQueue.isOpen(schedulingLag.getAsDouble())) {
            pending.admit();
            return Optional.empty();
        }
        double now = clock.now();
        double objective = settings.classes().get(request.serviceClass()).baseLatencyObjective();
        double waitDeadline = now + AdmissionQueue.maxWaitSeconds(objective, request.deadline() - now);
        admissionQueue.add(pending);
        while (!pending.isAdmitted() && !pending.isDisconnected() && clock.now() < waitDeadline) {
            pending.awaitAdmission(nanos(waitDeadline - clock.now()));
        }
        maxSchedulingLag = Math.max(maxSchedulingLag, schedulingLag.getAsDouble());
        queuedSinceLog++;
        if (!pending.isAdmitted()) {
            admissionQueue.remove(pending);
            rejectedSinceLog++;
        }
        if (pending.isDisconnected()) {
            return Optional.of(new RoutingDecision.Discard());
        }
        return pending.isAdmitted() ? Optional.empty() : Optional.of(new RoutingDecision.Reject(0));
    }

    private RoutingDecision awaitDecision(Request request, PendingRequest pending) throws InterruptedException {
        String id = request.id();
        double remaining = request.deadline() + DECISION_GRACE_SECONDS - clock.now();
        Optional<RoutingDecision> awaited = pending.awaitDecision(nanos(Math.max(0, remaining)));
        if (awaited.isEmpty()) {
            return failOverdueDecision(id);
        }
        RoutingDecision decision = awaited.get();
        // This forward is never executed. Without the event, the policy would count its attempt as in flight for good.
        pending.unusedForward()
                .ifPresent(forward -> handle(new RoutingEvent.AttemptEnded(
                        id,
                        pending.latestAttempt(),
                        forward.engine(),
                        RoutingEvent.Status.NOT_SENT,
                        0,
                        true,
                        0,
                        Map.of(),
                        false)));
        if (!(decision instanceof RoutingDecision.Forward)) {
            pendingRequests.remove(id);
        }
        return decision;
    }

    /**
     * Fails a request for which the policy has made no decision in time. The client must get its one answer, and the
     * policy must drop the request, even if the policy has a fault.
     */
    private RoutingDecision failOverdueDecision(String id) {
        LOG.error("event=invariant_violated invariant=decision_overdue request={}", id);
        counters.increment(Counter.INVARIANT_DECISION_OVERDUE);
        pendingRequests.remove(id);
        handle(new RoutingEvent.ClientDisconnected(id));
        return new RoutingDecision.Fail();
    }

    private static RoutingEvent.Request routingRequest(Request request) {
        return new RoutingEvent.Request(
                request.id(),
                request.serviceClass(),
                request.tenant(),
                request.session(),
                request.deadline(),
                0,
                request.prefix(),
                request.promptTokens(),
                request.prefixTokens(),
                request.maxOutputTokens(),
                request.isResubmission(),
                request.resumesStream(),
                request.eligible());
    }

    /** Admits waiting requests if the scheduling lag permits it; must be called at even intervals. */
    public void admitQueued() {
        lock.lock();
        try {
            for (int count = admissionQueue.nextBatchSize(schedulingLag.getAsDouble()); count > 0; count--) {
                admissionQueue.next().admit();
            }
            logSchedulingLag();
        } finally {
            lock.unlock();
        }
    }

    private void logSchedulingLag() {
        if (queuedSinceLog == 0 || clock.now() - loggedAt <= LOG_INTERVAL_SECONDS) {
            return;
        }
        LOG.warn(
                "event=scheduling_lag queued={} rejected={} lag={}",
                queuedSinceLog,
                rejectedSinceLog,
                Seconds.text(maxSchedulingLag));
        loggedAt = clock.now();
        queuedSinceLog = 0;
        rejectedSinceLog = 0;
        maxSchedulingLag = 0;
    }

    @Override
    public void firstToken(Attempt attempt) {
        String id = attempt.request().id();
        lock.lock();
        try {
            double elapsed = secondsSinceDecision(pendingRequests.get(id));
            handle(new RoutingEvent.FirstTokenReceived(
                    id, attempt.number(), attempt.engine().id(), elapsed));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void confirmationOverdue(Attempt attempt) {
        lock.lock();
        try {
            handle(new RoutingEvent.ConfirmationOverdue(attempt.request().id(), attempt.number()));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, Outcome outcome, AttemptReach reach, boolean last) {
        String id = attempt.request().id();
        lock.lock();
        try {
            PendingRequest pending = last ? pendingRequests.remove(id) : pendingRequests.get(id);
            handle(new RoutingEvent.AttemptEnded(
                    id,
                    attempt.number(),
                    attempt.engine().id(),
                    status(outcome.ending()),
                    secondsSinceDecision(pending),
                    last,
                    outcome.note(),
                    outcome.report(),
                    reach == AttemptReach.CONFIRMED));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void clientDisconnected(String id) {
        lock.lock();
        try {
            PendingRequest pending = pendingRequests.get(id);
            if (pending != null) {
                pending.disconnect();
                if (pending.isAdmitted()) {
                    handle(new RoutingEvent.ClientDisconnected(id));
                }
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void endpointsUpdated(Scope scope, List<Engine> engines) {
        List<RoutingEvent.Endpoint> endpoints =
                engines.stream().map(BlockingRequestRouter::endpoint).toList();
        lock.lock();
        try {
            handle(new RoutingEvent.EndpointsChanged(RoutingEvent.Scope.valueOf(scope.name()), endpoints));
        } finally {
            lock.unlock();
        }
    }

    private static RoutingEvent.Endpoint endpoint(Engine engine) {
        return new RoutingEvent.Endpoint(
                engine.id(),
                engine.zone(),
                engine.kind(),
                engine.cell(),
                RoutingEvent.Lifecycle.valueOf(engine.state().name()),
                engine.weight(),
                engine.startedAt());
    }

    /** Runs a timer that is due, or waits for the next one for a limited time; must be called repeatedly. */
    public void runTimers() throws InterruptedException {
        lock.lock();
        try {
            ScheduledTimer next = timers.peek();
            double remaining = next == null ? Double.POSITIVE_INFINITY : next.at - clock.now();
            if (remaining > 0) {
                timerSet.awaitNanos(Math.min(MAX_TIMER_WAIT_NANOS, nanos(remaining)));
            } else {
                timers.remove();
                handle(new RoutingEvent.TimerFired(next.token));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Converts seconds to nanoseconds and adds one, so that rounding never ends a wait too early. */
    private static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND + 1);
    }

    private double secondsSinceDecision(PendingRequest pending) {
        return pending == null ? 0 : clock.now() - pending.decidedAt();
    }

    private static RoutingEvent.Status status(Outcome.Ending ending) {
        if (ending == Outcome.Ending.REJECTED) {
            // A bad request of one client is no evidence against the engine that rejects it.
            return RoutingEvent.Status.CANCELLED;
        }
        return RoutingEvent.Status.valueOf(ending.name());
    }

    /** Passes one event to the router with the current time and executes its actions. The caller holds the lock. */
    private void handle(RoutingEvent event) {
        List<RoutingAction> actions;
        try {
            actions = router.handle(clock.now(), event);
        } catch (RuntimeException e) {
            // Without these actions, a fault of the policy would leave the request without an answer for good.
            LOG.error("event=policy_error input={}", event, e);
            actions = answerAfterError(event);
        }
        actions.forEach(this::execute);
    }

    private static List<RoutingAction> answerAfterError(RoutingEvent event) {
        if (event instanceof RoutingEvent.RequestArrived arrived) {
            return List.of(new RoutingAction.Fail(arrived.request().id()));
        }
        if (event instanceof RoutingEvent.AttemptEnded ended && !ended.closed()) {
            return List.of(new RoutingAction.Fail(ended.id()));
        }
        return List.of();
    }

    private void execute(RoutingAction action) {
        if (action instanceof RoutingAction.Forward forward) {
            decide(forward.id(), new RoutingDecision.Forward(forward.engine(), forward.timeout()));
        } else if (action instanceof RoutingAction.Reject reject) {
            decide(reject.id(), new RoutingDecision.Reject(reject.retryAfter()));
        } else if (action instanceof RoutingAction.Fail fail) {
            decide(fail.id(), new RoutingDecision.Fail());
        } else if (action instanceof RoutingAction.ReleaseCache release) {
            cacheReleases.accept(release.id());
        } else if (action instanceof RoutingAction.SetTimer timer) {
            timers.add(new ScheduledTimer(clock.now() + timer.delay(), timer.token()));
            timerSet.signal();
        }
        // WatchEndpoints needs no action: the discovery watch never ends.
    }

    private void decide(String id, RoutingDecision decision) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null) {
            pending.decide(decision, clock.now());
        }
    }
}
