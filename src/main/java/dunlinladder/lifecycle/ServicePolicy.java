package dunlinladder.lifecycle;

import dunlinladder.core.Dispatcher;
import dunlinladder.routing.RoutingSettings;

/** What the core has to know of the settings, which only the routing package can read. */
final class ServicePolicy implements Dispatcher.Policy {

    private final RoutingSettings settings;

    ServicePolicy(RoutingSettings settings) {
        this.settings = settings;
    }

    @Override
    public boolean once(int serviceClass) {
        return settings.classes().get(serviceClass).effect() == RoutingSettings.Effect.UNSAFE;
    }

    @Override
    public boolean readsOnly(int kind) {
        return kind < settings.roleByKind().size() && settings.roleByKind().get(kind) == RoutingSettings.Role.PREFILL;
    }
}
