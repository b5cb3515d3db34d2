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

/** The engines over HTTP. */
public final class EngineClient implements EngineTransport {

    private final EngineConnectionPool connections;
    private final EngineRegistry engines;
    private final SendGuard gate;
    private final Clock clock;
    private final Limits limits;
    private final ScheduledExecutorService timer;
    private final AtomicInteger openReleases = new AtomicInteger();

    /** Creates a client; {@code timer} moves releases on that get no answer. */
    public EngineClient(
            EngineConnectionPool connections,
            EngineRegistry engines,
            SendGuard gate,
            Clock clock,
            Limits limits,
            ScheduledExecutorService timer) {
        this.connections = connections;
        this.engines = engines;
        this.gate = gate;
        this.clock = clock;
        this.limits = limits;
        this.timer = timer;
    }

    @Override
    public Call send(Attempt attempt, ResponseSink client, Runnable first) {
        EngineCall call = new EngineCall(connections, gate, clock, limits, attempt, client, first);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        List<Engine> listed = new ArrayList<>(engines.listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, connections.lastResponses());
        openReleases.incrementAndGet();
        new ReleaseChain(connections, timer, limits, id, order.iterator(), openReleases::decrementAndGet).start();
    }

    /** How many releases no engine has taken yet and are still being tried. */
    public int openReleases() {
        return openReleases.get();
    }
}
