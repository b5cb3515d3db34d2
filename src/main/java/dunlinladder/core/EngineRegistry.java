package dunlinladder.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The engine list as discovery last told it. Safe for use by several threads. */
public final class EngineRegistry {

    private final Map<String, Engine> byId = new ConcurrentHashMap<>();

    /**
     * Applies an update. Unless it holds changes only, an engine that it lacks is no longer listed.
     *
     * @param engines in the order of the update: of several entries for one engine the last one counts
     */
    public void apply(RequestRouter.Scope scope, List<Engine> engines) {
        if (scope != RequestRouter.Scope.CHANGES) {
            byId.keySet().retainAll(engines.stream().map(Engine::id).toList());
        }
        for (Engine engine : engines) {
            if (engine.state() == Engine.State.LEFT) {
                byId.remove(engine.id());
            } else {
                byId.put(engine.id(), engine);
            }
        }
    }

    /** The engine with an id; empty when the list does not have it. */
    public Optional<Engine> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Whether an engine may get new requests now, at the address that was known when it was chosen. */
    public boolean accepts(Engine engine) {
        Engine listed = byId.get(engine.id());
        return listed != null
                && listed.state() == Engine.State.ACTIVE
                && listed.address().equals(engine.address());
    }

    /** The number of listed engines, the draining ones included. */
    public int size() {
        return byId.size();
    }

    /** All listed engines, the draining ones included, in no order. */
    public List<Engine> listed() {
        return List.copyOf(byId.values());
    }
}
