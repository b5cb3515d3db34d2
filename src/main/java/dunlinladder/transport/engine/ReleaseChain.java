package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Limits;
import dunlinladder.core.Seconds;
import java.util.Iterator;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks one engine after another to release the KV cache of a request, until one accepts or
 * {@link Limits#releaseAttempts} engines have been asked. A silent engine may be cut off by a network partition, and so
 * may the next one. The KV cache has to be freed in time, so each silent engine adds one call to those that run in
 * parallel. If a call fails, the next engine is asked as well, because a lost release leaves the KV cache held.
 *
 * <p>Runs on the timer's thread only, so its fields need no lock; the calls report to that thread.
 */
final class ReleaseChain implements ReleaseCall.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(ReleaseChain.class);

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineConnectionPool connections;
    private final ScheduledExecutorService timer;
    private final Limits limits;
    private final String requestId;
    private final Iterator<Engine> engines;
    private final Consumer<Boolean> endListener;
    private final long startedAt = System.nanoTime();
    private int enginesAsked;
    private int openCalls;
    private boolean ended;

    /**
     * Prepares a chain.
     *
     * @param timer executor with one thread
     * @param engines the engines to ask, in this order
     * @param endListener called once: with true when an engine has accepted the release, with false when all calls have
     *     ended and no further engine may be asked
     */
    ReleaseChain(
            EngineConnectionPool connections,
            ScheduledExecutorService timer,
            Limits limits,
            String requestId,
            Iterator<Engine> engines,
            Consumer<Boolean> endListener) {
        this.connections = connections;
        this.timer = timer;
        this.limits = limits;
        this.requestId = requestId;
        this.engines = engines;
        this.endListener = endListener;
    }

    /** Starts the chain; may be called by any thread, once. */
    void start() {
        timer.execute(this::askNextEngine);
    }

    private void askNextEngine() {
        if (ended) {
            return;
        }
        if (enginesAsked < limits.releaseAttempts() && engines.hasNext()) {
            enginesAsked++;
            openCalls++;
            ReleaseCall call = new ReleaseCall(connections, requestId, engines.next(), this);
            call.start();
            timer.schedule(
                    () -> giveUpIfSilent(call),
                    (long) (limits.releaseSeconds() * MICROS_PER_SECOND),
                    TimeUnit.MICROSECONDS);
        } else if (openCalls == 0) {
            LOG.warn("event=release_failed request={}", requestId);
            end(false);
        }
    }

    private void giveUpIfSilent(ReleaseCall call) {
        if (!call.hasEnded()) {
            call.abort();
            askNextEngine();
        }
    }

    @Override
    public void accepted() {
        timer.execute(() -> end(true));
    }

    @Override
    public void notAccepted() {
        timer.execute(() -> {
            openCalls--;
            askNextEngine();
        });
    }

    private void end(boolean accepted) {
        if (!ended) {
            ended = true;
            if (accepted) {
                LOG.info(
                        "event=release_taken request={} engines_asked={} seconds={}",
                        requestId,
                        enginesAsked,
                        Seconds.text((System.nanoTime() - startedAt) / NANOS_PER_SECOND));
            }
            endListener.accept(accepted);
        }
    }
}
