package dunlinladder.transport.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.AttemptListener;
import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.ReleaseOrder;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.SendGuard;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The engines over HTTP: sends attempts and releases. All methods may be called by any thread. */
public final class EngineClient implements EngineTransport {

    private static final Logger LOG = LoggerFactory.getLogger(EngineClient.class);

    /** Times that all engines are asked to release a KV cache. */
    private static final int MAX_RELEASE_ROUNDS = 4;
    /** Between two of them. */
    private static final long RELEASE_PAUSE_MILLIS = 100;

    private final EngineCallContext context;
    private final EngineRegistry engines;
    private final ScheduledExecutorService timer;
    private final Counters counters;
    private final CacheHoldLedger cacheHolds;
    private final AtomicInteger openReleases = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param engines the engines that may be asked to release a KV cache
     * @param sendGuard looked at before the first byte of an attempt
     * @param timer has one thread, which moves releases on that get no answer
     */
    public EngineClient(
            EngineConnectionPool connections,
            EngineRegistry engines,
            SendGuard sendGuard,
            Instruments instruments,
            Limits limits,
            ScheduledExecutorService timer) {
        this.context = new EngineCallContext(connections, sendGuard, instruments.clock(), limits);
        this.engines = engines;
        this.timer = timer;
        this.counters = instruments.counters();
        this.cacheHolds = instruments.cacheHolds();
    }

    @Override
    public Call send(Attempt attempt, ResponseSink client, AttemptListener listener) {
        EngineCall call = new EngineCall(context, attempt, client, listener);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        openReleases.incrementAndGet();
        counters.increment(Counter.RELEASES);
        release(id, 1, cacheHolds.releaseBegun(id));
    }

    private void release(String id, int round, boolean repeat) {
        EngineConnectionPool connections = context.connections();
        List<Engine> listed = new ArrayList<>(engines.listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, connections.lastResponses());
        LOG.info("event=release_begun request={} round={} engines={}", id, round, order.size());
        new ReleaseChain(
                        connections,
                        timer,
                        context.limits(),
                        id,
                        order.iterator(),
                        taken -> releaseEnded(id, round, repeat, taken))
                .start();
    }

    /**
     * What is held stays owed: where no engine could be reached, all are asked again after a while; and behind an
     * attempt that was given up one is, as the release may have overtaken the close of that attempt's connection.
     */
    private void releaseEnded(String id, int round, boolean repeat, boolean taken) {
        if (!taken && round < MAX_RELEASE_ROUNDS || taken && repeat) {
            timer.schedule(() -> release(id, round + 1, repeat && !taken), RELEASE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        openReleases.decrementAndGet();
        if (taken) {
            cacheHolds.releaseTaken(id);
        } else {
            counters.increment(Counter.RELEASES_FAILED);
        }
    }

    /** How many releases no engine has taken yet and are still being tried. */
    public int openReleases() {
        return openReleases.get();
    }
}
