package dunlinladder.transport.simulator;

import dunlinladder.routing.RoutingSettings;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Reads a deployment's settings, the same for the simulator's wire and for a gateway's configuration. Whatever is
 * missing that must be there, out of range, of the wrong type or names nothing defined is a
 * {@link InvalidInputException} that names its field. Fields not known are left aside: the platform may add some.
 */
public final class SettingsReader {

    /** Most requests a second, tokens, points or seconds that are believed; past it a unit was mistaken. */
    private static final double MOST = 1e12;

    private static final int MANY = 1_000_000;

    private static final Set<String> TOP = Set.of(
            "balancers",
            "caps",
            "classes",
            "clients",
            "family-info",
            "kind-of-service",
            "kinds",
            "layer",
            "load-report",
            "me",
            "membership-mode",
            "over-share-worth",
            "prices",
            "projects",
            "rules",
            "scoring-mix",
            "tick",
            "tiers",
            "weights",
            "worth-by",
            "zone",
            "zones");
    private static final Set<String> CAPS = Set.of(
            "cancel",
            "connect-timeout",
            "cpu-us-per-request",
            "cpu-us-per-s",
            "keepalive",
            "max-attempts",
            "max-retry-after",
            "may-tell",
            "most-held",
            "probes",
            "retry-after",
            "second-copies",
            "streams-per-conn");
    private static final Set<String> CLASS = Set.of(
            "aim-stretch",
            "deadline",
            "group",
            "late-worth",
            "name",
            "objective",
            "repeat-window",
            "semantics",
            "stream",
            "worth");
    private static final Set<String> FAMILY = Set.of(
            "aim-us-per-1000-prompt-tokens",
            "kv-tokens",
            "may-reserve",
            "move-fee",
            "read-in-place",
            "release-within",
            "report-x0",
            "report-x1",
            "resume",
            "role-by-kind",
            "token-aim");
    private static final Set<String> RULES = Set.of(
            "answer-slack", "ask-every", "cold", "cold-from", "fall-multiple", "stop-sending-within", "tip-after");
    private static final Set<String> PROJECT = Set.of("fraction", "name", "quota-per-s");

    private SettingsReader() {}

    /** Reads and checks the settings. */
    public static RoutingSettings read(JsonObject info) {
        JsonObject caps = info.childOrEmpty("caps");
        JsonObject family = info.childOrEmpty("family-info");
        List<Role> roles =
                family.choices("role-by-kind", Map.of("read", Role.PREFILL, "write", Role.DECODE, "both", Role.MIXED));
        // The simulator's drills name neither kinds nor zones; a gateway cannot read its list without.
        if (info.has("kinds") && roles.size() != info.names("kinds").size()) {
            throw new InvalidInputException(family.where() + ".role-by-kind has " + roles.size() + " entries for "
                    + info.names("kinds").size() + " kinds");
        }
        int zones = info.has("zones") ? Math.max(1, zones(info).size()) : MANY;
        int balancers = info.whole("balancers", 1, 1, MANY);
        info.whole("me", 0, 0, balancers - 1);
        return new RoutingSettings(
                balancers,
                info.whole("zone", 0, 0, zones - 1),
                classes(info, family),
                quotas(info),
                roles,
                figures(family, "kv-tokens", roles.size()),
                caps.whole("max-attempts", 1, 1, MANY),
                family.flag("read-in-place"),
                caps.flag("retry-after"),
                caps.number("max-retry-after", 0, 0, MOST),
                info.choice("membership-mode", false, Map.of("pushed", false, "on_request", true)),
                rules(info.childOrEmpty("rules"), family));
    }

    /** Where fields stand that no page names. */
    public static List<String> unknown(JsonObject info) {
        Stream<List<String>> found = Stream.of(
                info.unknown(TOP),
                info.childOrEmpty("caps").unknown(CAPS),
                info.childOrEmpty("family-info").unknown(FAMILY),
                info.childOrEmpty("rules").unknown(RULES));
        Stream<List<String>> entries = Stream.concat(
                info.children("classes").stream().map(entry -> entry.unknown(CLASS)),
                projects(info).stream().map(entry -> entry.unknown(PROJECT)));
        return Stream.concat(found, entries).flatMap(List::stream).toList();
    }

    /** The names of the zones, none where a deployment has no zones. */
    public static List<String> zones(JsonObject info) {
        return info.texts("zones").isEmpty() ? List.of() : info.names("zones");
    }

    /** The tenants, possibly none. */
    public static List<JsonObject> projects(JsonObject info) {
        return info.has("projects") ? info.children("projects") : List.of();
    }

    private static List<Double> quotas(JsonObject info) {
        return projects(info).stream()
                .map(p -> p.number("quota-per-s", Double.POSITIVE_INFINITY, 0, MOST))
                .toList();
    }

    private static List<RoutingSettings.ServiceClass> classes(JsonObject info, JsonObject family) {
        List<JsonObject> entries = info.children("classes");
        List<Double> perKilotoken = figures(family, "aim-us-per-1000-prompt-tokens", entries.size());
        List<Double> tokenAims = figures(family, "token-aim", entries.size());
        List<RoutingSettings.ServiceClass> classes = new ArrayList<>();
        for (JsonObject entry : entries) {
            int index = classes.size();
            // Where nothing is said of repeats, none is safe.
            Effect effect = entry.choice(
                    "semantics",
                    Effect.UNSAFE,
                    Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE));
            Group group =
                    entry.choice("group", Group.CELL, Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL));
            entry.number("objective");
            classes.add(new RoutingSettings.ServiceClass(
                    entry.number("objective", 0, Double.MIN_VALUE, MOST),
                    at(perKilotoken, index) * 1e-6,
                    entry.number("aim-stretch", 0, 0, MOST),
                    at(tokenAims, index),
                    effect,
                    group,
                    entry.number("repeat-window", 0, 0, MOST),
                    entry.number("worth", 1, 0, MOST),
                    entry.number("late-worth", 0, 0, 1)));
        }
        return classes;
    }

    /** Figures of which there is one for each of so many; those that are absent are none. */
    private static List<Double> figures(JsonObject from, String name, int most) {
        List<Double> figures = from.numbers(name);
        if (figures.size() > most || figures.stream().anyMatch(figure -> !(figure >= 0 && figure <= MOST))) {
            throw new InvalidInputException(
                    from.where() + "." + name + " must hold at most " + most + " figures, 0 or more: " + figures);
        }
        return figures;
    }

    private static double at(List<Double> list, int index) {
        return index < list.size() ? list.get(index) : 0;
    }

    private static RoutingSettings.Rules rules(JsonObject rules, JsonObject family) {
        return new RoutingSettings.Rules(
                rules.number("answer-slack", 0, 0, MOST),
                rules.number("stop-sending-within", 0, 0, MOST),
                rules.number("fall-multiple", 1, 0, MOST),
                rules.number("tip-after", 0, 0, MOST),
                rules.number("cold", 0, 0, MOST),
                rules.number("cold-from", 1, 0, 1),
                family.number("release-within", 0, 0, MOST));
    }
}
