package dunlinladder.wire.engine;

import dunlinladder.core.Attempt;
import dunlinladder.core.Client;
import dunlinladder.core.Clock;
import dunlinladder.core.Engine;
import dunlinladder.core.EngineCalls;
import dunlinladder.core.Engines;
import dunlinladder.core.Gate;
import dunlinladder.core.Limits;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;

/** The engines over HTTP. */
public final class EngineClient implements EngineCalls {

    private final Connections connections;
    private final Engines engines;
    private final Gate gate;
    private final Clock clock;
    private final Limits limits;
    private final ScheduledExecutorService timer;

    /** Creates a client; {@code timer} moves releases on that get no answer. */
    public EngineClient(Connections connections, Engines engines, Gate gate, Clock clock, Limits limits,
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

    /**
     * Any engine passes a release on, so any that is running will do: the one that answered last is likely
     * to, and a connection to it is open; the list may name many that are gone. Those that drain come last.
     */
    @Override
    public void release(String id) {
        List<Engine> order = new ArrayList<>(engines.listed());
        Collections.shuffle(order);
        Map<String, Long> answered = connections.answered();
        order.sort(Comparator.comparing(Engine::state).thenComparing(
                engine -> answered.getOrDefault(engine.address(), Long.MIN_VALUE),
                Comparator.reverseOrder()));
        timer.execute(new ReleaseCall.Chain(connections, timer, limits, id, order.iterator())::next);
    }
}
