package dunlinladder.transport.discovery;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * Translates discovery's engine lists, whose format is defined in the platform protocol specification, to
 * {@link EndpointUpdate}s. Immutable and safe for use by several threads.
 */
public final class EndpointListReader {

    private static final double MILLIS_PER_SECOND = 1e3;

    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a reader for a deployment.
     *
     * @param zones names of the zones, in the order of their indexes; empty if there is only one zone, which has no
     *     name
     * @param kinds names of the engine kinds, in the order of their indexes; empty if there is only one kind, which has
     *     no name
     */
    public EndpointListReader(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * Translates a list.
     *
     * @param message the list as it was received
     * @param cached whether the list is a snapshot from before this process started, which may be out of date
     * @throws InvalidInputException if a field is missing, has the wrong type, or holds an unknown name
     */
    public EndpointUpdate read(JsonObject message, boolean cached) {
        List<Engine> engines = new ArrayList<>();
        for (JsonObject host : message.children("hosts")) {
            engines.add(engine(host));
        }
        return new EndpointUpdate(message.integer("seq"), scope(message, cached), engines);
    }

    private Engine engine(JsonObject host) {
        Engine.State state = state(host.text("health"));
        // born_ms is Unix time; EngineStartTimes translates it to clock time.
        return new Engine(
                host.text("host"),
                host.text("dial", ""),
                index(zones, host, "site"),
                index(kinds, host, "class"),
                (int) host.integer("block", 0),
                state,
                host.number("share", 1),
                host.number("born_ms", 0) / MILLIS_PER_SECOND);
    }

    private static Engine.State state(String health) {
        return switch (health) {
            case "active" -> Engine.State.ACTIVE;
            case "leaving" -> Engine.State.LEAVING;
            case "left" -> Engine.State.LEFT;
            default -> throw new InvalidInputException("unknown health " + health);
        };
    }

    private static RequestRouter.Scope scope(JsonObject message, boolean cached) {
        if (cached) {
            return RequestRouter.Scope.CACHED;
        }
        return message.flag("whole") ? RequestRouter.Scope.COMPLETE : RequestRouter.Scope.CHANGES;
    }

    private static int index(List<String> names, JsonObject host, String field) {
        if (names.isEmpty()) {
            return 0;
        }
        int index = names.indexOf(host.text(field, names.get(0)));
        if (index < 0) {
            throw new InvalidInputException("unknown " + field + " " + host.text(field));
        }
        return index;
    }
}
