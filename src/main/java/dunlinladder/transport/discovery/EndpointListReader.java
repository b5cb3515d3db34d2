package dunlinladder.transport.discovery;

import dunlinladder.core.Engine;
import dunlinladder.core.RequestRouter;
import dunlinladder.membership.EndpointUpdate;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists. */
public final class EndpointListReader {

    private final List<String> zones;
    private final List<String> kinds;

    /** Creates a reader for a deployment's zones and machine kinds. */
    public EndpointListReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Translates a message; {@code cached} when it is a list from before the start. */
    public EndpointUpdate read(JsonObject message, boolean cached) {
        List<Engine> engines = new ArrayList<>();
        for (JsonObject host : message.children("hosts")) {
            Engine.State state = switch (host.text("health")) {
                case "active" -> Engine.State.ACTIVE;
                case "leaving" -> Engine.State.LEAVING;
                case "left" -> Engine.State.LEFT;
                default -> throw new InvalidInputException("unknown health " + host.text("health"));
            };
            // born_ms is Unix time, as the clock's seconds are.
            engines.add(new Engine(
                    host.text("host"),
                    host.text("dial", ""),
                    index(zones, host, "site"),
                    index(kinds, host, "class"),
                    (int) host.integer("block", 0),
                    state,
                    host.number("share", 1),
                    host.number("born_ms", 0) / 1e3));
        }
        return new EndpointUpdate(
                message.integer("seq"),
                cached
                        ? RequestRouter.Scope.CACHED
                        : message.flag("whole") ? RequestRouter.Scope.COMPLETE : RequestRouter.Scope.CHANGES,
                engines);
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
