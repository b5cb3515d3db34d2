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
 * {@link GatewayConfigReader} makes one.
 *
 * @param identity what tells this gateway from others of its deployment
 * @param listen address of the platform's front; port 0 takes any free one
 * @param discovery how the engines are found
 * @param names what the deployment calls its parts; the position of a name is the number that the routing uses
 * @param deadlines seconds that a request may wait for its first token, by service class
 * @param routing settings of the routing policy
 * @param limits sizes, counts and times that bound the gateway
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
     * What tells this gateway from others of its deployment.
     *
     * @param name for the log
     * @param seed of all random draws; gateways with the same seed act in step
     */
    record Identity(String name, long seed) {}

    /**
     * How the engines are found.
     *
     * @param address where discovery is asked first
     * @param cachedList engines that the configuration itself lists, for the time until discovery answers; as discovery
     *     would write them and not yet checked
     * @param timeouts of the watch
     */
    record Discovery(InetSocketAddress address, Optional<JsonObject> cachedList, WatchTimeouts timeouts) {}

    /**
     * What a deployment calls its parts.
     *
     * @param classes service classes, at least one
     * @param tenants possibly none
     * @param zones possibly none
     * @param kinds kinds of engines, at least one
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
