package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.decision.Router;
import dunlinladder.membership.Timing;
import dunlinladder.wire.BadInput;
import dunlinladder.wire.Json;
import dunlinladder.wire.sim.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The gateway's configuration: read, checked and given defaults here and nowhere else. */
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, Json known,
        Router.Settings settings, List<String> classes, List<Double> deadlines, List<String> tenants,
        List<String> zones, List<String> kinds, Limits limits, Timing list) {

    /** Descriptors kept for the program itself: files, selectors, the watch, listeners. */
    private static final int OWN_SOCKETS = 64;
    /** The protocol's: seconds between the empty lines of a watch while nothing changes. */
    private static final double BEAT = 2;
    /** The protocol's: seconds after which what a silent watch misses counts as told. */
    private static final double TOLD = 6;
    /** Seconds by which a beat may be late on its way; the most that is added by chance is the same. */
    private static final double BEAT_LATE = 0.5;

    /** Reads the file that {@code RELAY_CONFIG} names; {@code RELAY_LISTEN} and the like go before it. */
    static Config read(Map<String, String> environment) {
        String file = environment.get("RELAY_CONFIG");
        if (file == null) {
            throw new BadInput("RELAY_CONFIG is not set; it names the configuration file");
        }
        try {
            return read(Json.parse(Files.readString(Path.of(file))), environment);
        } catch (IOException e) {
            throw new BadInput("RELAY_CONFIG: cannot read " + file + ": " + e.getMessage());
        } catch (BadInput e) {
            throw new BadInput("RELAY_CONFIG: " + e.getMessage());
        }
    }

    /**
     * Reads the file again while the gateway runs, with the same checks. What the file says of discovery now
     * goes before the environment, which still names the address of the start.
     */
    static Config reread(Map<String, String> environment) {
        Map<String, String> start = new HashMap<>(environment);
        start.remove("RELAY_DISCOVERY");
        return read(start);
    }

    static Config read(Json file, Map<String, String> environment) {
        Json settings = file.child("settings");
        Json caps = settings.childOrEmpty("caps");
        int sockets = (int) file.childOrEmpty("limits").integer("sockets", 1024);
        if (sockets < 4 * OWN_SOCKETS) {
            throw new BadInput("limits.sockets is " + sockets + ", under " + 4 * OWN_SOCKETS);
        }
        // A request takes a thread, with its stack and its share of the heap: some 100 KB in all.
        long memory = file.childOrEmpty("limits").integer("memory_mb", 160);
        if (memory < 32) {
            throw new BadInput("limits.memory_mb is " + memory + ", under 32");
        }
        int each = Math.min(1024, sockets - OWN_SOCKETS) / 2;
        double keepalive = positive(caps, "keepalive", 30);
        long bodies = Runtime.getRuntime().maxMemory() / 5;
        Router.Settings router = Wire.settings(settings);
        Limits limits = new Limits(256 * 1024, bodies, 16 * 1024, 1024 * 1024, 64 * 1024, 16, 4096,
                (int) Math.min(Math.min(each, 2 * memory), caps.integer("most-held", each)),
                each, each, positive(caps, "connect-timeout", 0.25), keepalive / 3, 0.02,
                30, 4, 0.15, 8, 0.02, positive(caps, "max-retry-after", 1), 2.5, 0.04, 10, 0.1,
                0.6, 0.05, lag(router));
        List<Json> classes = settings.children("classes");
        return new Config(environment.getOrDefault("RELAY_NAME", file.text("name", "gateway")),
                address(environment.getOrDefault("RELAY_LISTEN", file.text("listen", null)), "listen"),
                address(environment.getOrDefault("RELAY_DISCOVERY", file.text("discovery", null)),
                        "discovery"),
                seed(file), file.childOrEmpty("known"), router,
                classes.stream().map(c -> c.text("name")).toList(),
                classes.stream().map(c -> positive(c, "deadline", 10)).toList(),
                settings.has("projects")
                        ? settings.children("projects").stream().map(p -> p.text("name")).toList()
                        : List.of(),
                settings.texts("zones"), settings.texts("kinds"), limits,
                following());
    }

    /**
     * One clock for silence: what a watch that has fallen silent misses counts as told {@code TOLD} seconds
     * later. Its silence is noticed after a beat that is late, the rest of that time is for three things
     * alike: a call that is lost as well, the one beside it, and the way of its news to the decisions.
     */
    private static Timing following() {
        double silence = BEAT + BEAT_LATE;
        return new Timing(0.3, 2, 3, (TOLD - silence - BEAT_LATE) / 3, silence, BEAT_LATE, 0.2, 4, 10, 3);
    }

    /**
     * What a state may wait covers hearing of it, choosing, sending and a margin: a quarter each. Where no
     * state is held, as if it were half a second.
     */
    private static double lag(Router.Settings settings) {
        double most = settings.rules().releaseWithin();
        return (most > 0 ? most : 0.5) / 4;
    }

    private static long seed(Json file) {
        String seed = file.text("seed", "0");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new BadInput("seed is not hexadecimal: " + seed);
        }
    }

    private static double positive(Json from, String key, double absent) {
        double value = from.number(key, absent);
        if (!(value > 0)) {
            throw new BadInput(key + " in " + from.where() + " must be over 0, not " + value);
        }
        return value;
    }

    static InetSocketAddress address(String text, String key) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // Said below.
        }
        throw new BadInput(key + (text == null ? " is missing" : " is not address:port: " + text));
    }
}
