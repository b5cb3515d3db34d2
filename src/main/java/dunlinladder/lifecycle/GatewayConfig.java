package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.membership.WatchTimeouts;
import dunlinladder.routing.Router;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.simulator.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The gateway's configuration: read, checked and given defaults here and nowhere else. */
record GatewayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        JsonObject known,
        Router.Settings settings,
        List<String> classes,
        List<Double> deadlines,
        List<String> tenants,
        List<String> zones,
        List<String> kinds,
        Limits limits,
        WatchTimeouts list) {

    private static final Logger LOG = LoggerFactory.getLogger(GatewayConfig.class);
    /** Descriptors kept for the program itself: files, selectors, the watch, listeners. */
    private static final int OWN_SOCKETS = 64;
    /** Seconds after which news of a drain has to be in force where the settings have no rule on it. */
    private static final double STOP_WITHIN = 1;

    /** Reads the file that {@code RELAY_CONFIG} names; {@code RELAY_LISTEN} and the like go before it. */
    static GatewayConfig read(Map<String, String> environment) {
        String file = environment.get("RELAY_CONFIG");
        if (file == null) {
            throw new InvalidInputException("RELAY_CONFIG is not set; it names the configuration file");
        }
        try {
            return read(JsonObject.parse(Files.readString(Path.of(file)), "the configuration"), environment);
        } catch (IOException e) {
            throw new InvalidInputException("RELAY_CONFIG: cannot read " + file + ": " + e.getMessage());
        } catch (InvalidInputException e) {
            throw new InvalidInputException("RELAY_CONFIG " + file + ": " + e.getMessage());
        }
    }

    /**
     * Reads the file again while the gateway runs, with the same checks. What the file says of discovery now goes
     * before the environment, which still names the address of the start.
     */
    static GatewayConfig reread(Map<String, String> environment) {
        Map<String, String> start = new HashMap<>(environment);
        start.remove("RELAY_DISCOVERY");
        return read(start);
    }

    static GatewayConfig read(JsonObject file, Map<String, String> environment) {
        JsonObject settings = file.child("settings");
        JsonObject caps = settings.childOrEmpty("caps");
        JsonObject given = file.childOrEmpty("limits");
        int sockets = given.intInRange("sockets", 1024, 4 * OWN_SOCKETS, Integer.MAX_VALUE);
        // A request takes a thread, with its stack and its share of the heap: some 100 KB in all.
        int memory = given.intInRange("memory_mb", 160, 32, Integer.MAX_VALUE / 2);
        int each = Math.min(1024, sockets - OWN_SOCKETS) / 2;
        double keepalive = positive(caps, "keepalive", 30);
        long bodies = Runtime.getRuntime().maxMemory() / 5;
        Router.Settings router = SettingsReader.read(settings);
        List<String> unknown = SettingsReader.unknown(settings);
        if (!unknown.isEmpty()) {
            LOG.warn("fields that are not known are left aside: {}", String.join(", ", unknown));
        }
        Limits limits = new Limits(
                256 * 1024,
                bodies,
                16 * 1024,
                1024 * 1024,
                64 * 1024,
                16,
                4096,
                Math.min(Math.min(each, 2 * memory), caps.intInRange("most-held", each, 1, Integer.MAX_VALUE)),
                each,
                each,
                positive(caps, "connect-timeout", 0.25),
                keepalive / 3,
                0.02,
                30,
                4,
                0.15,
                8,
                0.02,
                router.maxRetryAfter() > 0 ? router.maxRetryAfter() : 1,
                2.5,
                0.04,
                10,
                0.1,
                0.6,
                0.05,
                lag(router));
        List<JsonObject> classes = settings.children("classes");
        List<JsonObject> projects = SettingsReader.projects(settings);
        return new GatewayConfig(
                environment.getOrDefault("RELAY_NAME", file.text("name", "gateway")),
                address(environment.getOrDefault("RELAY_LISTEN", file.text("listen", null)), "listen"),
                address(environment.getOrDefault("RELAY_DISCOVERY", file.text("discovery", null)), "discovery"),
                seed(file),
                file.childOrEmpty("known"),
                router,
                JsonObject.names(
                        "settings.classes",
                        classes.stream().map(c -> c.text("name")).toList()),
                classes.stream().map(c -> positive(c, "deadline", 10)).toList(),
                projects.isEmpty()
                        ? List.of()
                        : JsonObject.names(
                                "settings.projects",
                                projects.stream().map(p -> p.text("name")).toList()),
                SettingsReader.zones(settings),
                settings.names("kinds"),
                limits,
                WatchTimeouts.of(
                        !router.listOnRequest(),
                        router.rules().stopSendingWithin() > 0 ? router.rules().stopSendingWithin() : STOP_WITHIN));
    }

    /**
     * What a state may wait covers hearing of it, choosing, sending and a margin: a quarter each. Where no state is
     * held, as if it were half a second.
     */
    private static double lag(Router.Settings settings) {
        double most = settings.rules().releaseWithin();
        return (most > 0 ? most : 0.5) / 4;
    }

    private static long seed(JsonObject file) {
        String seed = file.text("seed", "0");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("seed is not hexadecimal: " + seed);
        }
    }

    private static double positive(JsonObject from, String key, double absent) {
        return from.number(key, absent, Double.MIN_VALUE, Integer.MAX_VALUE);
    }

    static InetSocketAddress address(String text, String key) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // Said below.
        }
        throw new InvalidInputException(key + (text == null ? " is missing" : " is not address:port: " + text));
    }
}
