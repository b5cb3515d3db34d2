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

/** The engines over HTTP: sends attempts and releases. All methods may be called by any thread. */
public final class EngineClient implements EngineTransport {

    /** Releases that are remembered, so that a later attempt of their request stops their repeats. */
    private static final int MAX_RELEASING = 1024;

    private final EngineCallContext context;
    private final CacheRelease.Shared releases;
    private final Counters counters;
    private final CacheHoldLedger cacheHolds;
    private final AtomicInteger openReleases = new AtomicInteger();
    /** The latest release of each request, as far as memory goes; guarded by itself. */
    private final Map<String, CacheRelease> releasing = Collections.synchronizedMap(new LruMap<>(MAX_RELEASING));

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
        this.counters = instruments.counters();
        this.cacheHolds = instruments.cacheHolds();
        this.releases = new CacheRelease.Shared(connections, engines, limits, timer);
    }

    @Override
    public Call send(Attempt attempt, ResponseSink client, AttemptListener listener) {
        CacheRelease earlier = releasing.remove(attempt.request().id());
        if (earlier != null) {
            earlier.supersede();
        }
        EngineCall call = new EngineCall(context, attempt, client, listener);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        openReleases.incrementAndGet();
        counters.increment(Counter.RELEASES);
        CacheRelease release =
                new CacheRelease(releases, id, cacheHolds.releaseBegun(id), taken -> releaseSettled(id, taken));
        releasing.put(id, release);
        release.start();
    }

    private void releaseSettled(String id, boolean taken) {
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
