package dunlinladder.wire.discovery;

import dunlinladder.core.Decider;
import dunlinladder.core.Engine;
import dunlinladder.membership.News;
import dunlinladder.wire.BadInput;
import dunlinladder.wire.Json;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists. */
public final class HostReader {

    private final List<String> zones;
    private final List<String> kinds;

    /** Creates a reader for a deployment's zones and machine kinds. */
    public HostReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Translates a message; {@code cached} when it is a list from before the start. */
    public News read(Json message, boolean cached) {
        List<Engine> engines = new ArrayList<>();
        for (Json host : message.children("hosts")) {
            Engine.State state = switch (host.text("health")) {
                case "active" -> Engine.State.ACTIVE;
                case "leaving" -> Engine.State.LEAVING;
                case "left" -> Engine.State.LEFT;
                default -> throw new BadInput("unknown health " + host.text("health"));
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
        return new News(
                message.integer("seq"),
                cached ? Decider.Scope.CACHED : message.flag("whole") ? Decider.Scope.COMPLETE : Decider.Scope.CHANGES,
                engines);
    }

    private static int index(List<String> names, Json host, String field) {
        if (names.isEmpty()) {
            return 0;
        }
        int index = names.indexOf(host.text(field, names.get(0)));
        if (index < 0) {
            throw new BadInput("unknown " + field + " " + host.text(field));
        }
        return index;
    }
}
