package dunlinladder.core;

import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * The one check before anything is sent, repeated or rejected, whatever was decided before it. A decision that was made
 * before an engine began to drain, a client left or a deadline passed, and has waited since for a thread, a connection
 * or a processor, stops here; so does one that would otherwise overtake an update that has arrived and has not been
 * read. What it refuses is counted.
 *
 * <p>Safe for use by several threads.
 */
public final class SendGuard {

    /** Between two checks whether the update has been read, in nanoseconds. */
    private static final long CHECK_INTERVAL_NANOS = 200_000;

    private final EngineRegistry engines;
    private final ServiceRules rules;
    private final MonotonicClock clock;
    private final Counters counters;
    private final double maxWaitSeconds;
    private volatile BooleanSupplier unreadUpdate = () -> false;

    /** Creates a guard; a send waits at most {@code maxWaitSeconds} for an update to be read. */
    public SendGuard(EngineRegistry engines, ServiceRules rules, Instruments instruments, double maxWaitSeconds) {
        this.engines = engines;
        this.rules = rules;
        this.clock = instruments.clock();
        this.counters = instruments.counters();
        this.maxWaitSeconds = maxWaitSeconds;
    }

    /** Sets the check whether an update has arrived that is not yet in the list. */
    public void setUnreadUpdateCheck(BooleanSupplier check) {
        unreadUpdate = check;
    }

    /** The engine with an id as it is listed now; empty where it is not. */
    Optional<Engine> find(String engineId) {
        return engines.find(engineId);
    }

    /** Whether machines of the engine's kind only prefill. */
    boolean isPrefillOnly(Engine engine) {
        return rules.isPrefillOnly(engine.kind());
    }

    /**
     * Why an attempt must not be begun; empty where it may. For the thread that drives the request.
     *
     * @param history the request's attempts before this one
     * @param clientGone whether the client has left
     */
    Optional<SendRefusal> refusalToBegin(Attempt attempt, AttemptHistory history, boolean clientGone) {
        if (attempt.mayHaveEffect() && rules.forbidsRerun(attempt.request(), history)) {
            return refuse(SendRefusal.RERUN_FORBIDDEN);
        }
        if (clientGone) {
            return refuse(SendRefusal.CLIENT_GONE);
        }
        boolean listed = engines.find(attempt.engine().id()).isPresent();
        return listed ? Optional.empty() : refuse(SendRefusal.ENGINE_NOT_ADMITTED);
    }

    /**
     * Why the first byte of an attempt must not be written at this moment; empty where it may. Waits where an update is
     * yet to be read.
     *
     * @param givenUp whether the attempt has ended meanwhile
     */
    public Optional<SendRefusal> refusalToSend(Attempt attempt, BooleanSupplier givenUp) {
        awaitUnreadUpdate();
        if (givenUp.getAsBoolean()) {
            return refuse(SendRefusal.CLIENT_GONE);
        }
        if (clock.now() >= Math.min(attempt.arrival().written(), attempt.firstTokenDeadline())) {
            return refuse(SendRefusal.TOO_LATE);
        }
        return engines.accepts(attempt.engine()) ? Optional.empty() : refuse(SendRefusal.ENGINE_NOT_ADMITTED);
    }

    /** Whether a rejection, which promises that a retry is harmless, is borne out by the facts of all attempts. */
    boolean allowsRejection(Request request, AttemptHistory history) {
        if (rules.forbidsRerun(request, history)) {
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
