package dunlinladder.transport.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.Clock;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineRegistry;
import dunlinladder.core.EngineTransport;
import dunlinladder.core.Limits;
import dunlinladder.core.ReleaseOrder;
import dunlinladder.core.ResponseSink;
import dunlinladder.core.SendGuard;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** The engines over HTTP: sends attempts and releases. All methods may be called by any thread. */
public final class EngineClient implements EngineTransport {

    private final EngineCallContext context;
    private final EngineRegistry engines;
    private final ScheduledExecutorService timer;
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
            Clock clock,
            Limits limits,
            ScheduledExecutorService timer) {
        this.context = new EngineCallContext(connections, sendGuard, clock, limits);
        this.engines = engines;
        this.timer = timer;
    }

    @Override
    public Call send(Attempt attempt, ResponseSink client, Runnable onFirstToken) {
        EngineCall call = new EngineCall(context, attempt, client, onFirstToken);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        EngineConnectionPool connections = context.connections();
        List<Engine> listed = new ArrayList<>(engines.listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, connections.lastResponses());
        openReleases.incrementAndGet();
        new ReleaseChain(connections, timer, context.limits(), id, order.iterator(), openReleases::decrementAndGet)
                .start();
    }

    /** How many releases no engine has taken yet and are still being tried. */
    public int openReleases() {
        return openReleases.get();
    }
}
