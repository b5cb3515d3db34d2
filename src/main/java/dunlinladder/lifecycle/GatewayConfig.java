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
    /** Descriptors that the process may open where the configuration does not say. */
    private static final int DEFAULT_SOCKETS = 1024;
    /** Connections of both sides together, whatever the descriptors allow. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int DEFAULT_MEMORY_MEGABYTES = 160;
    private static final int MIN_MEMORY_MEGABYTES = 32;
    /** A request takes a thread, with its stack and its share of the heap: some 100 KB in all. */
    private static final int REQUESTS_PER_MEGABYTE = 2;
    /** The bodies of all requests may take one part in this many of the heap. */
    private static final int HEAP_PER_BODIES = 5;

    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 1024 * 1024;
    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final int MAX_RESPONSE_BYTES = 4096;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final double DEFAULT_CONNECT_SECONDS = 0.25;
    private static final double DEFAULT_KEEP_ALIVE_SECONDS = 30;
    /** An idle connection is closed after one part in this many of the time after which its engine closes it. */
    private static final int KEEP_ALIVE_PER_IDLE = 3;

    private static final double REUSE_DELAY_SECONDS = 0.02;
    private static final double REUSE_SUSPENSION_SECONDS = 30;
    private static final double SEND_GUARD_SECONDS = 0.02;
    private static final double ANSWER_MARGIN_SECONDS = 0.04;
    private static final double STREAM_SECONDS = 4;
    private static final double RELEASE_SECONDS = 0.15;
    private static final int RELEASE_ATTEMPTS = 8;
    private static final double REQUEST_SECONDS = 2.5;
    private static final double STALL_SECONDS = 10;
    private static final double EVICT_SECONDS = 0.1;
    private static final double DEFAULT_RETRY_AFTER_SECONDS = 1;
    private static final double LAG_CHECK_SECONDS = 0.05;
    private static final double DRAIN_SECONDS = 0.6;
    /** Wait for a release that is allowed where the settings have no rule on it; see {@link #lag}. */
    private static final double DEFAULT_RELEASE_WAIT_SECONDS = 0.5;
    /** Hearing of a held state, choosing, sending and a margin share the wait for its release equally. */
    private static final int PARTS_OF_RELEASE_WAIT = 4;
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
        Router.Settings router = SettingsReader.read(settings);
        List<String> unknown = SettingsReader.unknown(settings);
        if (!unknown.isEmpty()) {
            LOG.warn("fields that are not known are left aside: {}", String.join(", ", unknown));
        }
        Limits limits = limits(file.childOrEmpty("limits"), settings.childOrEmpty("caps"), router);
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

    private static Limits limits(JsonObject given, JsonObject caps, Router.Settings router) {
        int sockets = given.whole("sockets", DEFAULT_SOCKETS, 4 * OWN_SOCKETS, Integer.MAX_VALUE);
        int memoryMegabytes =
                given.whole("memory_mb", DEFAULT_MEMORY_MEGABYTES, MIN_MEMORY_MEGABYTES, Integer.MAX_VALUE / 2);
        int connections = Math.min(MAX_CONNECTIONS, sockets - OWN_SOCKETS) / 2;
        int requests = Math.min(
                Math.min(connections, REQUESTS_PER_MEGABYTE * memoryMegabytes),
                caps.whole("most-held", connections, 1, Integer.MAX_VALUE));
        double keepAliveSeconds = positive(caps, "keepalive", DEFAULT_KEEP_ALIVE_SECONDS);
        return new Limits(
                new Limits.MessageLimits(
                        MAX_HEAD_BYTES,
                        MAX_CHUNK_BYTES,
                        MAX_BODY_BYTES,
                        Runtime.getRuntime().maxMemory() / HEAP_PER_BODIES),
                new Limits.EngineResponseLimits(MAX_INTERIM_RESPONSES, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES),
                new Limits.CapacityLimits(requests, connections, connections),
                new Limits.EngineConnectionTimes(
                        positive(caps, "connect-timeout", DEFAULT_CONNECT_SECONDS),
                        keepAliveSeconds / KEEP_ALIVE_PER_IDLE,
                        REUSE_DELAY_SECONDS,
                        REUSE_SUSPENSION_SECONDS),
                new Limits.AttemptTimes(SEND_GUARD_SECONDS, ANSWER_MARGIN_SECONDS, STREAM_SECONDS),
                new Limits.ReleaseLimits(RELEASE_SECONDS, RELEASE_ATTEMPTS),
                new Limits.ClientTimes(
                        REQUEST_SECONDS,
                        STALL_SECONDS,
                        EVICT_SECONDS,
                        router.maxRetryAfter() > 0 ? router.maxRetryAfter() : DEFAULT_RETRY_AFTER_SECONDS),
                new Limits.ProcessTimes(LAG_CHECK_SECONDS, lag(router), DRAIN_SECONDS));
    }

    /**
     * What a state may wait covers hearing of it, choosing, sending and a margin: a quarter each. Where no state is
     * held, as if it were half a second.
     */
    private static double lag(Router.Settings settings) {
        double most = settings.rules().releaseWithin();
        return (most > 0 ? most : DEFAULT_RELEASE_WAIT_SECONDS) / PARTS_OF_RELEASE_WAIT;
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
