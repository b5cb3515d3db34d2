package dunlinladder.lifecycle;

import dunlinladder.core.Limits;
import dunlinladder.membership.WatchTimeouts;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.settings.SettingsReader;
import dunlinladder.transport.settings.UnknownSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads and checks the gateway's configuration and fills in defaults. Each error is an {@link InvalidInputException}
 * whose message names the key. Unknown fields are logged and ignored.
 */
final class GatewayConfigReader {

    /** Environment variable that names the configuration file. */
    static final String CONFIG_VARIABLE = "RELAY_CONFIG";

    private static final String NAME_VARIABLE = "RELAY_NAME";
    private static final String LISTEN_VARIABLE = "RELAY_LISTEN";
    private static final String DISCOVERY_VARIABLE = "RELAY_DISCOVERY";

    private static final Logger LOG = LoggerFactory.getLogger(GatewayConfigReader.class);

    private static final String DEFAULT_NAME = "gateway";
    private static final String DEFAULT_SEED = "0";
    private static final int SEED_RADIX = 16;
    /** Seconds that a request may wait for its first token if its class has no deadline. */
    private static final double DEFAULT_DEADLINE_SECONDS = 10;
    /**
     * Seconds between the update that an engine is draining and the last new request to it; used if the settings have
     * no rule.
     */
    private static final double DEFAULT_DRAIN_GRACE_SECONDS = 1;

    private GatewayConfigReader() {}

    /**
     * Reads the file that {@code RELAY_CONFIG} names. {@code RELAY_NAME}, {@code RELAY_LISTEN} and
     * {@code RELAY_DISCOVERY} take precedence over the values in the file.
     *
     * @throws InvalidInputException if {@code RELAY_CONFIG} is not set, or the file cannot be read or has an error; the
     *     message names the file and the key
     */
    static GatewayConfig read(Map<String, String> environment) {
        String file = environment.get(CONFIG_VARIABLE);
        if (file == null) {
            throw new InvalidInputException("RELAY_CONFIG is not set; it must name the configuration file");
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
     * Reads the file again while the gateway runs, with the same checks. The discovery address in the file takes
     * precedence over the environment, because the environment still holds the address from the start of the process.
     */
    static GatewayConfig reread(Map<String, String> environment) {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    /** Reads a configuration that has already been parsed. */
    static GatewayConfig read(JsonObject file, Map<String, String> environment) {
        JsonObject settings = file.child("settings");
        RoutingSettings routing = SettingsReader.read(settings);
        warnOfUnknownSettings(settings);
        List<Double> deadlines = deadlines(settings);
        Limits limits =
                LimitsReader.read(file.childOrEmpty("limits"), settings.childOrEmpty("caps"), routing, deadlines);
        return new GatewayConfig(
                identity(file, environment),
                parseAddress(environment.getOrDefault(LISTEN_VARIABLE, file.text("listen", null)), "listen"),
                discovery(file, environment, routing),
                names(settings),
                deadlines,
                routing,
                limits);
    }

    private static void warnOfUnknownSettings(JsonObject settings) {
        List<String> unknown = UnknownSettings.find(settings);
        if (!unknown.isEmpty()) {
            LOG.warn("event=unknown_settings keys={}", String.join(",", unknown));
        }
    }

    private static GatewayConfig.Identity identity(JsonObject file, Map<String, String> environment) {
        return new GatewayConfig.Identity(
                environment.getOrDefault(NAME_VARIABLE, file.text("name", DEFAULT_NAME)), seed(file));
    }

    private static long seed(JsonObject file) {
        String seed = file.text("seed", DEFAULT_SEED);
        try {
            return Long.parseUnsignedLong(seed, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("seed is not hexadecimal: " + seed);
        }
    }

    private static GatewayConfig.Discovery discovery(
            JsonObject file, Map<String, String> environment, RoutingSettings routing) {
        double drainGraceSeconds = routing.rules().stopSendingWithin();
        return new GatewayConfig.Discovery(
                parseAddress(environment.getOrDefault(DISCOVERY_VARIABLE, file.text("discovery", null)), "discovery"),
                Optional.of(file.childOrEmpty("known")).filter(list -> list.has("hosts")),
                WatchTimeouts.of(
                        !routing.changesOnRequest(),
                        drainGraceSeconds > 0 ? drainGraceSeconds : DEFAULT_DRAIN_GRACE_SECONDS));
    }

    private static GatewayConfig.DeploymentNames names(JsonObject settings) {
        List<JsonObject> tenants = SettingsReader.projects(settings);
        return new GatewayConfig.DeploymentNames(
                names("settings.classes", settings.children("classes")),
                tenants.isEmpty() ? List.of() : names("settings.projects", tenants),
                SettingsReader.zones(settings),
                settings.names("kinds"));
    }

    private static List<String> names(String location, List<JsonObject> entries) {
        return JsonObject.names(
                location, entries.stream().map(entry -> entry.text("name")).toList());
    }

    private static List<Double> deadlines(JsonObject settings) {
        return settings.children("classes").stream()
                .map(entry -> positiveNumber(entry, "deadline", DEFAULT_DEADLINE_SECONDS))
                .toList();
    }

    /** Returns the number of a key, which must be greater than 0; {@code defaultValue} if the key is absent. */
    static double positiveNumber(JsonObject object, String key, double defaultValue) {
        return object.number(key, defaultValue, Double.MIN_VALUE, Integer.MAX_VALUE);
    }

    /**
     * Parses {@code address:port}.
     *
     * @param text the value; null if the key is absent, which is an error
     * @param key named in the error message
     */
    static InetSocketAddress parseAddress(String text, String key) {
        if (text == null) {
            throw new InvalidInputException(key + " is missing");
        }
        int colon = text.lastIndexOf(':');
        if (colon > 0) {
            try {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            } catch (IllegalArgumentException e) {
                // The port is not a number or out of range: reported in the same way as a missing colon.
            }
        }
        throw new InvalidInputException(key + " is not address:port: " + text);
    }
}
