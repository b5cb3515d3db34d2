package dunlinladder.core;

import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * The last check before an attempt is sent or repeated, or a request is rejected. It applies to every decision of the
 * routing policy. A decision may be out of date when it is carried out: while it waited for a thread, a connection or a
 * processor, an engine may have begun to drain, the client may have left, or a deadline may have passed. An endpoint
 * update may also have arrived that has not been read yet. Refusals are counted.
 *
 * <p>Safe for use by several threads.
 */
public final class SendGuard {

    /** Interval between two checks whether an update has been read, in nanoseconds. */
    private static final long CHECK_INTERVAL_NANOS = 200_000;

    private final EngineRegistry engines;
    private final ServiceRules rules;
    private final MonotonicClock clock;
    private final Counters counters;
    private final double maxWaitSeconds;
    private volatile BooleanSupplier unreadUpdate = () -> false;

    /** Creates a guard; a send waits at most {@code maxWaitSeconds} until an update that has arrived is read. */
    public SendGuard(EngineRegistry engines, ServiceRules rules, Instruments instruments, double maxWaitSeconds) {
        this.engines = engines;
        this.rules = rules;
        this.clock = instruments.clock();
        this.counters = instruments.counters();
        this.maxWaitSeconds = maxWaitSeconds;
    }

    /** Sets the check whether an update has arrived that has not been applied to the engine list yet. */
    public void setUnreadUpdateCheck(BooleanSupplier check) {
        unreadUpdate = check;
    }

    /** Returns the current list entry of the engine with this id; empty when it is not listed. */
    Optional<Engine> find(String engineId) {
        return engines.find(engineId);
    }

    /** Returns the rule for reruns of a request. */
    RerunRule rerunRule(Request request) {
        return rules.rerunRule(request.serviceClass());
    }

    /** Whether engines of this engine's machine kind only prefill. */
    boolean isPrefillOnly(Engine engine) {
        return rules.isPrefillOnly(engine.kind());
    }

    /**
     * Returns why an attempt must not be started; empty when it may be. Called by the thread that drives the request.
     *
     * @param history the request's attempts before this one
     * @param cancelled whether no further attempt may be sent: the client has left, or the request has expired
     */
    Optional<SendRefusal> refusalToBegin(Attempt attempt, AttemptHistory history, boolean cancelled) {
        RerunRule rule = rerunRule(attempt.request());
        if (attempt.mayHaveEffect() && !rule.allowsRerun(history, attempt.engine(), clock.now())) {
            return refuse(SendRefusal.RERUN_FORBIDDEN);
        }
        if (cancelled) {
            return refuse(SendRefusal.CLIENT_GONE);
        }
        boolean listed = engines.find(attempt.engine().id()).isPresent();
        return listed ? Optional.empty() : refuse(SendRefusal.ENGINE_NOT_ADMITTED);
    }

    /**
     * Returns why the first byte of an attempt must not be written now; empty when it may be. If an update has arrived
     * that has not been read yet, this method waits for it first, for a bounded time.
     *
     * @param attemptAbandoned whether the attempt has ended in the meantime, or its client has left
     */
    public Optional<SendRefusal> refusalToSend(Attempt attempt, BooleanSupplier attemptAbandoned) {
        awaitUnreadUpdate();
        if (attemptAbandoned.getAsBoolean()) {
            return refuse(SendRefusal.CLIENT_GONE);
        }
        double now = clock.now();
        if (now >= Math.min(attempt.arrival().written(), attempt.firstTokenDeadline()) || now > attempt.latestSend()) {
            return refuse(SendRefusal.TOO_LATE);
        }
        return engines.accepts(attempt.engine()) ? Optional.empty() : refuse(SendRefusal.ENGINE_NOT_ADMITTED);
    }

    /**
     * Returns the clock time in seconds until which an attempt may be sent without running the request twice against
     * the rule of its class.
     *
     * @param history the request's attempts before this one
     * @param mayHaveEffect whether the attempt can have an effect
     */
    double latestSend(Request request, AttemptHistory history, boolean mayHaveEffect) {
        return mayHaveEffect ? rerunRule(request).latestRerun(history) : Double.POSITIVE_INFINITY;
    }

    /**
     * Whether a request may be rejected. A rejection promises that a retry is harmless at whatever engine, so it is
     * forbidden when the facts of the attempts do not guarantee that; such a refusal is counted.
     */
    boolean allowsRejection(Request request, AttemptHistory history) {
        if (history.mayHaveRun() && !rerunRule(request).allowsClientRetry()) {
            counters.increment(Counter.REJECTIONS_REFUSED);
            return false;
        }
        return true;
    }

    private void awaitUnreadUpdate() {
        if (!unreadUpdate.getAsBoolean()) {
            return;
        }
        double waitUntil = clock.now() + maxWaitSeconds;
        while (unreadUpdate.getAsBoolean() && clock.now() < waitUntil) {
            LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
        }
    }

    private Optional<SendRefusal> refuse(SendRefusal refusal) {
        counters.increment(refusal.counter());
        return Optional.of(refusal);
    }
}
