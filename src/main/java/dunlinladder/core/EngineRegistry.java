package dunlinladder.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The engine list as discovery last reported it. Safe for use by several threads. */
public final class EngineRegistry {

    private final Map<String, Engine> byId = new ConcurrentHashMap<>();

    /**
     * Applies an update. An update that covers all engines also removes the engines that it does not contain.
     *
     * @param engines the engines in the order of the update; if it has several entries for an engine, the last one
     *     counts
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

    /** Returns the engine with this id; empty when it is not listed. */
    public Optional<Engine> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Whether an engine may get new requests now: it is active and still has the address of the given entry. */
    public boolean accepts(Engine engine) {
        Engine listed = byId.get(engine.id());
        return listed != null
                && listed.state() == Engine.State.ACTIVE
                && listed.address().equals(engine.address());
    }

    /** Returns the number of listed engines, including draining ones. */
    public int size() {
        return byId.size();
    }

    /** Returns all listed engines, including draining ones, in no particular order. */
    public List<Engine> listed() {
        return List.copyOf(byId.values());
    }
}
