package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.GivenUpAttempt;
import dunlinladder.core.Limits;
import dunlinladder.core.ReleaseOrder;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The release of one request's KV cache until nothing can be held any more. Where no engine could be reached, all are
 * asked again. Behind an attempt that was given up the release is repeated: it frees nothing that an attempt waits for,
 * and it may have overtaken the close by which that attempt's engine hears of its end. An engine that has fallen silent
 * hears of it late, so that the repeats go on until there is a sign of life from it, for a bounded time.
 *
 * <p>All of it runs on the timer's thread.
 */
final class CacheRelease {

    private static final Logger LOG = LoggerFactory.getLogger(CacheRelease.class);

    /** Times that all engines are asked where none can be reached. */
    private static final int MAX_ROUNDS = 4;
    /** Between two of them, and before the first repeat: a close takes no longer to a running engine. */
    private static final long PAUSE_MILLIS = 100;
    /** Between further repeats: an engine that goes on holds the KV cache for no longer. */
    private static final long REPEAT_MILLIS = 400;
    /** Repeats at most behind a decode attempt; silences of up to 4 s are covered. */
    private static final int MAX_REPEATS = 11;
    /**
     * Behind a prefill, which ends by itself soon: its KV cache waits for no attempt then, and is freed by the next.
     */
    private static final int MAX_PREFILL_REPEATS = 2;

    private final Shared shared;
    private final String requestId;
    private final Optional<GivenUpAttempt> givenUp;
    private final Consumer<Boolean> settledListener;
    private final long begunAt = System.nanoTime();
    /** Whether a later attempt of the request has begun: the release would free its KV cache. */
    private volatile boolean superseded;

    private int rounds;
    private int repeats;

    /**
     * What all releases share.
     *
     * @param engines those that may be asked
     * @param timer has one thread
     */
    record Shared(
            EngineConnectionPool connections, EngineRegistry engines, Limits limits, ScheduledExecutorService timer) {}

    /**
     * Prepares a release.
     *
     * @param givenUp the request's last attempt, if it was given up
     * @param settledListener told once whether an engine has taken the release, by the first repeat at the latest
     */
    CacheRelease(Shared shared, String requestId, Optional<GivenUpAttempt> givenUp, Consumer<Boolean> settledListener) {
        this.shared = shared;
        this.requestId = requestId;
        this.givenUp = givenUp;
        this.settledListener = settledListener;
    }

    /** Begins; may be called by any thread, once. */
    void start() {
        shared.timer().execute(this::ask);
    }

    private void ask() {
        rounds++;
        List<Engine> listed = new ArrayList<>(shared.engines().listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, shared.connections().lastResponses());
        LOG.info("event=release_begun request={} round={} engines={}", requestId, rounds, order.size());
        new ReleaseChain(
                        shared.connections(),
                        shared.timer(),
                        shared.limits(),
                        requestId,
                        order.iterator(),
                        this::chainEnded)
                .start();
    }

    private void chainEnded(boolean taken) {
        if (!taken && repeats == 0 && rounds < MAX_ROUNDS) {
            schedule(this::ask, PAUSE_MILLIS);
            return;
        }
        if (repeats == 1 || !taken && repeats == 0 || givenUp.isEmpty()) {
            settledListener.accept(taken);
        }
        if (taken && givenUp.isPresent() && !isSettled(givenUp.get())) {
            schedule(this::repeat, repeats == 0 ? PAUSE_MILLIS : REPEAT_MILLIS);
        }
    }

    /** A later attempt of the request begins; it releases what it leaves, and its first token frees all the rest. */
    void supersede() {
        superseded = true;
    }

    /** Whether a repeat has come behind a sign of life of the engine, or there were enough. */
    private boolean isSettled(GivenUpAttempt attempt) {
        boolean heard = shared.connections().wasHeardSince(attempt.engine().address(), begunAt);
        int maxRepeats = attempt.prefillOnly() ? MAX_PREFILL_REPEATS : MAX_REPEATS;
        return repeats >= maxRepeats || repeats > 0 && heard;
    }

    private void repeat() {
        repeats++;
        if (!superseded) {
            ask();
        } else if (repeats == 1) {
            settledListener.accept(true);
        }
    }

    private void schedule(Runnable task, long millis) {
        shared.timer().schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
