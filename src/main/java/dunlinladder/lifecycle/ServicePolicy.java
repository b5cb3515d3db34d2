package dunlinladder.lifecycle;

import dunlinladder.core.Dispatcher;
import dunlinladder.routing.Router;

/** What the core has to know of the settings, which only the routing package can read. */
final class ServicePolicy implements Dispatcher.Policy {

    private final Router.Settings settings;

    ServicePolicy(Router.Settings settings) {
        this.settings = settings;
    }

    @Override
    public boolean once(int serviceClass) {
        return settings.classes().get(serviceClass).effect() == Router.Effect.UNSAFE;
    }

    @Override
    public boolean readsOnly(int kind) {
        return kind < settings.roleByKind().size() && settings.roleByKind().get(kind) == Router.Role.PREFILL;
    }
}
