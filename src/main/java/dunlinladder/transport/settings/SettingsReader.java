package dunlinladder.transport.settings;

import dunlinladder.routing.RoutingSettings;
import dunlinladder.routing.RoutingSettings.Effect;
import dunlinladder.routing.RoutingSettings.Group;
import dunlinladder.routing.RoutingSettings.Role;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads a deployment's settings, the same for the simulator's wire and for a gateway's configuration. Whatever is
 * missing that must be there, out of range, of the wrong type or names nothing defined is an
 * {@link InvalidInputException} that names its field. Fields that are not known are left aside.
 *
 * <p>The names of the fields are the platform's; what they mean is said at {@link RoutingSettings}.
 */
public final class SettingsReader {

    /**
     * Greatest figure that is believed, in requests a second, tokens, points or seconds; past it a unit was mistaken.
     */
    private static final double MAX_FIGURE = 1e12;
    /** Greatest number of gateways, zones or attempts that is believed. */
    private static final int MAX_COUNT = 1_000_000;

    private static final double SECONDS_PER_MICROSECOND = 1e-6;

    private static final Map<String, Role> ROLES =
            Map.of("read", Role.PREFILL, "write", Role.DECODE, "both", Role.MIXED);
    private static final Map<String, Effect> EFFECTS =
            Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE);
    private static final Map<String, Group> GROUPS = Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL);
    /** Whether discovery sends changes only after it was asked for them. */
    private static final Map<String, Boolean> MEMBERSHIP_MODES = Map.of("pushed", false, "on_request", true);

    private SettingsReader() {}

    /**
     * Reads and checks the settings.
     *
     * @throws InvalidInputException where a field has a fault
     */
    public static RoutingSettings read(JsonObject settings) {
        JsonObject caps = settings.childOrEmpty("caps");
        JsonObject family = settings.childOrEmpty("family-info");
        List<Role> roles = roles(settings, family);
        int zoneCount = settings.has("zones") ? Math.max(1, zones(settings).size()) : MAX_COUNT;
        int balancers = settings.intInRange("balancers", 1, 1, MAX_COUNT);
        // This gateway's own number is not used, but a wrong one is a fault of the settings all the same.
        settings.intInRange("me", 0, 0, balancers - 1);
        return new RoutingSettings(
                balancers,
                settings.intInRange("zone", 0, 0, zoneCount - 1),
                serviceClasses(settings, family),
                quotas(settings),
                roles,
                figures(family, "kv-tokens", roles.size()),
                caps.intInRange("max-attempts", 1, 1, MAX_COUNT),
                family.flag("read-in-place"),
                caps.flag("retry-after"),
                figure(caps, "max-retry-after", 0),
                settings.choice("membership-mode", false, MEMBERSHIP_MODES),
                rules(settings.childOrEmpty("rules"), family));
    }

    /** The names of the zones, none where a deployment has no zones. */
    public static List<String> zones(JsonObject settings) {
        return settings.texts("zones").isEmpty() ? List.of() : settings.names("zones");
    }

    /** The tenants, possibly none. */
    public static List<JsonObject> projects(JsonObject settings) {
        return settings.has("projects") ? settings.children("projects") : List.of();
    }

    private static List<Role> roles(JsonObject settings, JsonObject family) {
        List<Role> roles = family.choices("role-by-kind", ROLES);
        // The simulator's drills name neither kinds nor zones; a gateway cannot read its endpoints without.
        if (settings.has("kinds") && roles.size() != settings.names("kinds").size()) {
            throw new InvalidInputException(family.where() + ".role-by-kind has " + roles.size() + " entries for "
                    + settings.names("kinds").size() + " kinds");
        }
        return roles;
    }

    private static List<Double> quotas(JsonObject settings) {
        return projects(settings).stream()
                .map(project -> figure(project, "quota-per-s", Double.POSITIVE_INFINITY))
                .toList();
    }

    private static List<RoutingSettings.ServiceClass> serviceClasses(JsonObject settings, JsonObject family) {
        List<JsonObject> entries = settings.children("classes");
        List<Double> aimMicrosPerKilotoken = figures(family, "aim-us-per-1000-prompt-tokens", entries.size());
        List<Double> tokenAims = figures(family, "token-aim", entries.size());
        List<RoutingSettings.ServiceClass> classes = new ArrayList<>();
        for (JsonObject entry : entries) {
            int index = classes.size();
            classes.add(serviceClass(
                    entry,
                    figureAt(aimMicrosPerKilotoken, index) * SECONDS_PER_MICROSECOND,
                    figureAt(tokenAims, index)));
        }
        return classes;
    }

    private static RoutingSettings.ServiceClass serviceClass(
            JsonObject entry, double aimPerKilotoken, double tokenAim) {
        // Where nothing is said of repeats, none is safe.
        Effect effect = entry.choice("semantics", Effect.UNSAFE, EFFECTS);
        Group group = entry.choice("group", Group.CELL, GROUPS);
        // Must be there, unlike the others.
        entry.number("objective");
        return new RoutingSettings.ServiceClass(
                entry.number("objective", 0, Double.MIN_VALUE, MAX_FIGURE),
                aimPerKilotoken,
                figure(entry, "aim-stretch", 0),
                tokenAim,
                effect,
                group,
                figure(entry, "repeat-window", 0),
                figure(entry, "worth", 1),
                entry.number("late-worth", 0, 0, 1));
    }

    private static RoutingSettings.Rules rules(JsonObject rules, JsonObject family) {
        return new RoutingSettings.Rules(
                figure(rules, "answer-slack", 0),
                figure(rules, "stop-sending-within", 0),
                figure(rules, "fall-multiple", 1),
                figure(rules, "tip-after", 0),
                figure(rules, "cold", 0),
                rules.number("cold-from", 1, 0, 1),
                figure(family, "release-within", 0));
    }

    /** A figure of 0 or more; {@code absent} where there is none. */
    private static double figure(JsonObject from, String name, double absent) {
        return from.number(name, absent, 0, MAX_FIGURE);
    }

    /** Figures of which there is at most one for each of so many; an absent list is empty. */
    private static List<Double> figures(JsonObject from, String name, int maxSize) {
        List<Double> figures = from.numbers(name);
        if (figures.size() > maxSize || !figures.stream().allMatch(SettingsReader::isFigure)) {
            throw new InvalidInputException(
                    from.where() + "." + name + " must hold at most " + maxSize + " figures, 0 or more: " + figures);
        }
        return figures;
    }

    /** False for NaN as well. */
    private static boolean isFigure(double figure) {
        return figure >= 0 && figure <= MAX_FIGURE;
    }

    private static double figureAt(List<Double> figures, int index) {
        return index < figures.size() ? figures.get(index) : 0;
    }
}
