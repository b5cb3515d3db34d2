package dunlinladder.wire.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.Client;
import dunlinladder.core.Clock;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineCalls;
import dunlinladder.core.Engines;
import dunlinladder.core.Gate;
import dunlinladder.core.Limits;
import dunlinladder.core.ReleaseOrder;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** The engines over HTTP. */
public final class EngineClient implements EngineCalls {

    private final Connections connections;
    private final Engines engines;
    private final Gate gate;
    private final Clock clock;
    private final Limits limits;
    private final ScheduledExecutorService timer;
    private final AtomicInteger releasing = new AtomicInteger();

    /** Creates a client; {@code timer} moves releases on that get no answer. */
    public EngineClient(
            Connections connections,
            Engines engines,
            Gate gate,
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
    public Call send(Attempt attempt, Client client, Runnable first) {
        EngineCall call = new EngineCall(connections, gate, clock, limits, attempt, client, first);
        call.start(attempt.engine().address());
        return call;
    }

    @Override
    public void release(String id) {
        List<Engine> listed = new ArrayList<>(engines.listed());
        Collections.shuffle(listed);
        List<Engine> order = ReleaseOrder.of(listed, connections.answered());
        releasing.incrementAndGet();
        timer.execute(new ReleaseCall.Chain(
                connections, timer, limits, id, order.iterator(), releasing::decrementAndGet)::next);
    }

    /** How many releases no engine has taken yet and are still being tried. */
    public int releasing() {
        return releasing.get();
    }
}
