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

    /** Applies a complete list of endpoints, or changes to it. */
    void apply(EndpointsChanged event) {
        boolean completeList = event.scope() != Scope.CHANGES;
        if (completeList) {
            context.engines.values().forEach(engine -> engine.active = false);
        }
        event.endpoints().forEach(this::apply);
        Set<String> listed = event.endpoints().stream().map(Endpoint::engine).collect(Collectors.toSet());
        for (EngineState engine : List.copyOf(context.engines.values())) {
            if (engine.endpoint.lifecycle() == Lifecycle.LEFT || completeList && !listed.contains(engine.id)) {
                context.engines.remove(engine.id); // new engines have new ids: the map would grow without limit
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
            engine.resetAfterRestart();
        }
        if (restarted || !known) {
            // an engine that started long ago caches the prefixes that all gateways send
            engine.cachedFractionOfOthers = endpoint.startedAt() > 0 ? 0 : 1;
        }
        engine.endpoint = endpoint;
        engine.role = valueForKind(context.settings.roleByKind(), endpoint, Role.MIXED);
        engine.kvCapacityTokens = valueForKind(context.settings.kvCapacityByKind(), endpoint, 0.0);
        engine.active = endpoint.lifecycle() == Lifecycle.ACTIVE;
    }

    private static <T> T valueForKind(List<T> byKind, Endpoint endpoint, T defaultValue) {
        return endpoint.kind() < byKind.size() ? byKind.get(endpoint.kind()) : defaultValue;
    }
}
