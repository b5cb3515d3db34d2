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
 * Releases the KV cache of one request until no engine can hold it any more.
 *
 * <p>Engines are asked in rounds, by one {@link ReleaseChain} each. If no engine accepts in a round, another round
 * follows. After an attempt that was given up, the release is repeated once it was accepted: an engine does not free a
 * KV cache that an attempt waits for. The attempt's engine detects the end of the attempt when the connection closes,
 * and the release may have arrived before that. A silent engine detects the end late, so the repeats continue until the
 * engine responds, for a bounded time. They also stop if no engine accepts a repeat.
 *
 * <p>Runs on the timer's thread only.
 */
final class CacheRelease {

    private static final Logger LOG = LoggerFactory.getLogger(CacheRelease.class);

    /** Maximum number of rounds if no engine accepts. */
    private static final int MAX_ROUNDS = 4;
    /**
     * Delay between two rounds and before the first repeat. The closing of a connection reaches a running engine within
     * this time.
     */
    private static final long ROUND_DELAY_MILLIS = 100;
    /** Delay between further repeats. An engine that resumes after a silence holds the KV cache no longer than this. */
    private static final long REPEAT_DELAY_MILLIS = 400;
    /** Maximum number of repeats after a decode attempt; they cover silences of up to 4 s. */
    private static final int MAX_DECODE_REPEATS = 11;
    /**
     * Maximum number of repeats after a prefill attempt. A prefill soon ends by itself; then no attempt waits for its
     * KV cache, and the next repeat frees it.
     */
    private static final int MAX_PREFILL_REPEATS = 2;

    private final Context context;
    private final String requestId;
    private final Optional<GivenUpAttempt> givenUp;
    private final Consumer<Boolean> settledListener;
    private final long startedAt = System.nanoTime();
    /** Whether a later attempt of the request has begun; a repeat would free the KV cache of that attempt. */
    private volatile boolean superseded;

    private int rounds;
    private int repeats;

    /**
     * The objects that all releases share.
     *
     * @param engines the engines that may be asked
     * @param timer executor with one thread
     */
    record Context(
            EngineConnectionPool connections, EngineRegistry engines, Limits limits, ScheduledExecutorService timer) {}

    /**
     * Prepares a release.
     *
     * @param givenUp the request's last attempt, if it was given up
     * @param settledListener receives once, at the latest after the first repeat, whether an engine has accepted the
     *     release
     */
    CacheRelease(
            Context context, String requestId, Optional<GivenUpAttempt> givenUp, Consumer<Boolean> settledListener) {
        this.context = context;
        this.requestId = requestId;
        this.givenUp = givenUp;
        this.settledListener = settledListener;
    }

    /** Starts the release; may be called by any thread, once. */
    void start() {
        context.timer().execute(this::startRound);
    }

    private void startRound() {
        rounds++;
        List<Engine> listed = new ArrayList<>(context.engines().listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, context.connections().lastResponses());
        LOG.info("event=release_begun request={} round={} engines={}", requestId, rounds, order.size());
        new ReleaseChain(
                        context.connections(),
                        context.timer(),
                        context.limits(),
                        requestId,
                        order.iterator(),
                        this::chainEnded)
                .start();
    }

    private void chainEnded(boolean accepted) {
        if (!accepted && repeats == 0 && rounds < MAX_ROUNDS) {
            schedule(this::startRound, ROUND_DELAY_MILLIS);
            return;
        }
        if (repeats == 1 || !accepted && repeats == 0 || givenUp.isEmpty()) {
            settledListener.accept(accepted);
        }
        if (accepted && givenUp.isPresent() && !isSettled(givenUp.get())) {
            schedule(this::repeat, repeats == 0 ? ROUND_DELAY_MILLIS : REPEAT_DELAY_MILLIS);
        }
    }

    /**
     * Stops the repeats because a later attempt of the request begins. A KV cache that the later attempt leaves is
     * released separately; the first token of that attempt frees all other KV caches of the request.
     */
    void supersede() {
        superseded = true;
    }

    /**
     * Whether a repeat was made and the engine has responded since the start of the release, or the maximum number of
     * repeats is reached.
     */
    private boolean isSettled(GivenUpAttempt attempt) {
        boolean responded =
                context.connections().hasRespondedSince(attempt.engine().address(), startedAt);
        int maxRepeats = attempt.prefillOnly() ? MAX_PREFILL_REPEATS : MAX_DECODE_REPEATS;
        return repeats >= maxRepeats || repeats > 0 && responded;
    }

    private void repeat() {
        repeats++;
        if (!superseded) {
            startRound();
        } else if (repeats == 1) {
            settledListener.accept(true);
        }
    }

    private void schedule(Runnable task, long millis) {
        context.timer().schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
