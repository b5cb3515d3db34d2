package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.membership.WatchTimeouts;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The gateway's configuration: complete, checked, with all defaults filled in, and immutable. Only
 * {@link GatewayConfigReader} creates it.
 *
 * @param identity distinguishes this gateway from the others of its deployment
 * @param listen address of the platform's front; port 0 selects any free port
 * @param discovery how the engines are found
 * @param names names of the deployment's classes, tenants, zones and kinds; the routing uses the position of a name as
 *     its number
 * @param deadlines seconds that a request may wait for its first token, by service class
 * @param routing settings of the routing policy
 * @param limits sizes, counts and times that limit the gateway
 */
record GatewayConfig(
        Identity identity,
        InetSocketAddress listen,
        Discovery discovery,
        DeploymentNames names,
        List<Double> deadlines,
        RoutingSettings routing,
        Limits limits) {

    /** Copies the list. */
    GatewayConfig {
        deadlines = List.copyOf(deadlines);
    }

    /**
     * Distinguishes this gateway from the others of its deployment.
     *
     * @param name used in the log
     * @param seed seed of all random numbers; gateways with the same seed draw the same numbers, and so make the same
     *     random choices
     */
    record Identity(String name, long seed) {}

    /**
     * How the engines are found.
     *
     * @param address address at which discovery is asked first
     * @param cachedList engines that the configuration itself lists, used until discovery answers; in discovery's
     *     format and not yet checked
     * @param timeouts timeouts of the watch
     */
    record Discovery(InetSocketAddress address, Optional<JsonObject> cachedList, WatchTimeouts timeouts) {}

    /**
     * Names of a deployment's classes, tenants, zones and machine kinds.
     *
     * @param classes service classes, at least one
     * @param tenants tenants, may be empty
     * @param zones zones, may be empty
     * @param kinds machine kinds, at least one
     */
    record DeploymentNames(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {

        /** Copies the lists. */
        DeploymentNames {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            zones = List.copyOf(zones);
            kinds = List.copyOf(kinds);
        }
    }
}
