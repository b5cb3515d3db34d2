package dunlinladder.transport.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.AttemptListener;
import dunlinladder.core.CacheHoldLedger;
import dunlinladder.core.Counter;
import dunlinladder.core.Counters;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.Instruments;
import dunlinladder.core.Limits;
import dunlinladder.core.LruMap;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.SendGuard;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends attempts and releases to the engines over HTTP. All methods may be called by any thread. */
public final class EngineClient implements EngineTransport {

    /**
     * Maximum number of releases that are remembered, so that a later attempt of the same request can stop their
     * repeats.
     */
    private static final int MAX_REMEMBERED_RELEASES = 1024;

    private final EngineCallContext context;
    private final CacheRelease.Context releaseContext;
    private final Counters counters;
    private final CacheHoldLedger cacheHolds;
    private final AtomicInteger openReleases = new AtomicInteger();
    /** The latest release of each request, limited to the most recent ones; guarded by its own monitor. */
    private final Map<String, CacheRelease> latestReleases =
            Collections.synchronizedMap(new LruMap<>(MAX_REMEMBERED_RELEASES));

    /**
     * Creates a client.
     *
     * @param engines the engines that may be asked to release a KV cache
     * @param sendGuard checked before the first byte of an attempt is written
     * @param timer executor with one thread, which runs the releases, asks the next engine if one does not answer, and
     *     ends streams that do not continue
     */
    public EngineClient(
            EngineConnectionPool connections,
            EngineRegistry engines,
            SendGuard sendGuard,
            Instruments instruments,
            Limits limits,
            ScheduledExecutorService timer) {
        this.context = new EngineCallContext(
                connections, sendGuard, instruments.clock(), limits, instruments.counters(), new OpenStreams(timer));
        this.counters = instruments.counters();
        this.cacheHolds = instruments.cacheHolds();
        this.releaseContext = new CacheRelease.Context(connections, engines, limits, timer);
    }

    @Override
    public Call send(Attempt attempt, ResponseSink client, AttemptListener listener) {
        CacheRelease earlierRelease = latestReleases.remove(attempt.request().id());
        if (earlierRelease != null) {
            earlierRelease.supersede();
        }
        EngineCall call = new EngineCall(context, attempt, client, listener);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        openReleases.incrementAndGet();
        counters.increment(Counter.RELEASES);
        CacheRelease release = new CacheRelease(
                releaseContext, id, cacheHolds.releaseBegun(id), accepted -> releaseSettled(id, accepted));
        latestReleases.put(id, release);
        release.start();
    }

    private void releaseSettled(String id, boolean accepted) {
        openReleases.decrementAndGet();
        if (accepted) {
            cacheHolds.releaseAccepted(id);
        } else {
            counters.increment(Counter.RELEASES_FAILED);
        }
    }

    /**
     * Returns the number of open releases: those that no engine has accepted yet and that are still being tried, and
     * those that wait for the first repeat after an attempt that was given up.
     */
    public int openReleases() {
        return openReleases.get();
    }
}
