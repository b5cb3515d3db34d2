package dunlinladder.core;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The engine list as last told. */
public final class EngineRegistry {

    private final Map<String, Engine> byId = new ConcurrentHashMap<>();

    /** Takes news in; after a whole list, an engine that it lacks is gone. */
    public void apply(RequestRouter.Scope scope, List<Engine> news) {
        if (scope != RequestRouter.Scope.CHANGES) {
            byId.keySet().retainAll(news.stream().map(Engine::id).toList());
        }
        for (Engine engine : news) {
            if (engine.state() == Engine.State.LEFT) {
                byId.remove(engine.id());
            } else {
                byId.put(engine.id(), engine);
            }
        }
    }

    /** The engine, or null when the list does not have it. */
    public Engine find(String id) {
        return byId.get(id);
    }

    /** Whether new work may go to that engine, where it was reached when the work was decided, now. */
    public boolean accepts(Engine engine) {
        Engine listed = byId.get(engine.id());
        return listed != null
                && listed.state() == Engine.State.ACTIVE
                && listed.address().equals(engine.address());
    }

    /** How many engines are still listed. */
    public int size() {
        return byId.size();
    }

    /** All engines that are still listed. */
    public List<Engine> listed() {
        return List.copyOf(byId.values());
    }
}
