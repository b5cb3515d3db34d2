package dunlinladder.lifecycle;

import dunlinladder.core.RerunRule;
import dunlinladder.core.ServiceRules;
import dunlinladder.routing.RoutingSettings;

/** Implements the core's rules on retries with the routing settings, on which the core does not depend. Immutable. */
final class ConfiguredServiceRules implements ServiceRules {

    private final RoutingSettings settings;

    ConfiguredServiceRules(RoutingSettings settings) {
        this.settings = settings;
    }

    @Override
    public RerunRule rerunRule(int serviceClass) {
        return settings.classes().get(serviceClass).rerunRule();
    }

    @Override
    public boolean isPrefillOnly(int kind) {
        return kind < settings.roleByKind().size() && settings.roleByKind().get(kind) == RoutingSettings.Role.PREFILL;
    }
}
