package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Endpoint;
import dunlinladder.routing.RoutingEvent.EndpointsChanged;
import dunlinladder.routing.RoutingEvent.Lifecycle;
import dunlinladder.routing.RoutingEvent.Scope;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Keeps the engines as discovery lists them. Records; decides nothing. */
final class EndpointTable {
    private final PolicyContext context;

    EndpointTable(PolicyContext context) {
        this.context = context;
    }

    /** Takes in a list, or changes of it. */
    void apply(EndpointsChanged event) {
        boolean all = event.scope() != Scope.CHANGES;
        if (all) {
            context.engines.values().forEach(engine -> engine.active = false);
        }
        event.endpoints().forEach(this::apply);
        Set<String> listed = event.endpoints().stream().map(Endpoint::engine).collect(Collectors.toSet());
        for (EngineState engine : List.copyOf(context.engines.values())) {
            if (engine.endpoint.lifecycle() == Lifecycle.LEFT || all && !listed.contains(engine.id)) {
                context.engines.remove(engine.id); // others come under new ids: what is kept would grow for ever
                context.prefixCache.evict(engine);
            }
        }
        context.fleet.invalidate();
    }

    private void apply(Endpoint endpoint) {
        EngineState engine = context.engines.computeIfAbsent(endpoint.engine(), EngineState::new);
        boolean known = engine.endpoint != null;
        boolean restarted = known && endpoint.startedAt() > engine.endpoint.startedAt();
        if (restarted) {
            engine.resetProcess();
        }
        if (restarted || !known) {
            engine.cachedPartOfOthers = endpoint.startedAt() > 0 ? 0 : 1; // long at work it caches what all send
        }
        engine.endpoint = endpoint;
        engine.role = ofKind(context.settings.roleByKind(), endpoint, Role.MIXED);
        engine.kvCapacityTokens = ofKind(context.settings.kvTokens(), endpoint, 0.0);
        engine.active = endpoint.lifecycle() == Lifecycle.ACTIVE;
    }

    private static <T> T ofKind(List<T> byKind, Endpoint endpoint, T otherwise) {
        return endpoint.kind() < byKind.size() ? byKind.get(endpoint.kind()) : otherwise;
    }
}
