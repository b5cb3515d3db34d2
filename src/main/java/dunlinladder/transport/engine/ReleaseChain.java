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
 * Asks one engine after another to release what is held for a request, until one has taken it. An engine that is silent
 * may be behind a network cut, as may the next: from each silence on one more is asked beside it, since what is held
 * has to be freed in time. A release that is lost leaves the KV cache held, so the next engine is asked then, too.
 *
 * <p>All of it runs on the timer's thread, which is what keeps its fields consistent; the calls report to that thread.
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
    private int attempts;
    private int openCalls;
    private boolean ended;

    /**
     * Prepares a chain.
     *
     * @param timer has one thread
     * @param engines whom to ask, in this order
     * @param endListener told once whether an engine has taken the release, when one has or none is left to be asked
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

    /** Begins; may be called by any thread, once. */
    void start() {
        timer.execute(this::askNext);
    }

    private void askNext() {
        if (ended) {
            return;
        }
        if (attempts < limits.releaseAttempts() && engines.hasNext()) {
            attempts++;
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
            askNext();
        }
    }

    @Override
    public void released() {
        timer.execute(() -> end(true));
    }

    @Override
    public void notReleased() {
        timer.execute(() -> {
            openCalls--;
            askNext();
        });
    }

    private void end(boolean taken) {
        if (!ended) {
            ended = true;
            if (taken) {
                LOG.info(
                        "event=release_taken request={} engines_asked={} seconds={}",
                        requestId,
                        attempts,
                        Seconds.text((System.nanoTime() - startedAt) / NANOS_PER_SECOND));
            }
            endListener.accept(taken);
        }
    }
}
