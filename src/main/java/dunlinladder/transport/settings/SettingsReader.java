package dunlinladder.transport.settings;

import dunlinladder.routing.RoutingSettings;
import dunlinladder.routing.RoutingSettings.DeduplicationScope;
import dunlinladder.routing.RoutingSettings.Idempotence;
import dunlinladder.routing.RoutingSettings.Role;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads a deployment's settings, which have the same form on the simulator's wire and in a gateway's configuration. A
 * required field that is missing, or a field that is out of range, of the wrong type or holds an undefined name, causes
 * an {@link InvalidInputException} that names the field. Unknown fields are ignored.
 *
 * <p>The field names are the platform's; {@link RoutingSettings} describes their meaning.
 */
public final class SettingsReader {

    /** Maximum value in requests per second, tokens, points or seconds; a larger one is probably in a wrong unit. */
    private static final double MAX_VALUE = 1e12;
    /** Maximum number of gateways, zones or attempts; a larger one is probably a mistake. */
    private static final int MAX_COUNT = 1_000_000;

    private static final double SECONDS_PER_MICROSECOND = 1e-6;

    private static final Map<String, Role> ROLES =
            Map.of("read", Role.PREFILL, "write", Role.DECODE, "both", Role.MIXED);
    private static final Map<String, Idempotence> IDEMPOTENCE_VALUES =
            Map.of("safe", Idempotence.SAFE, "keyed", Idempotence.KEYED, "unsafe", Idempotence.UNSAFE);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    /** Whether discovery sends changes only on request, by the value of {@code membership-mode}. */
    private static final Map<String, Boolean> MEMBERSHIP_MODES = Map.of("pushed", false, "on_request", true);

    private SettingsReader() {}

    /**
     * Reads and checks the settings.
     *
     * @throws InvalidInputException if a field is invalid
     */
    public static RoutingSettings read(JsonObject settings) {
        JsonObject caps = settings.childOrEmpty("caps");
        JsonObject familyInfo = settings.childOrEmpty("family-info");
        List<Role> roles = roles(settings, familyInfo);
        int zoneCount = settings.has("zones") ? Math.max(1, zones(settings).size()) : MAX_COUNT;
        int gateways = settings.intInRange("balancers", 1, 1, MAX_COUNT);
        // This gateway's own number is not used, but an invalid one is still an error in the settings.
        settings.intInRange("me", 0, 0, gateways - 1);
        return new RoutingSettings(
                gateways,
                settings.intInRange("zone", 0, 0, zoneCount - 1),
                serviceClasses(settings, familyInfo),
                quotas(settings),
                roles,
                boundedNumbers(familyInfo, "kv-tokens", roles.size()),
                caps.intInRange("max-attempts", 1, 1, MAX_COUNT),
                familyInfo.flag("read-in-place"),
                caps.flag("retry-after"),
                boundedNumber(caps, "max-retry-after", 0),
                settings.choice("membership-mode", false, MEMBERSHIP_MODES),
                rules(settings.childOrEmpty("rules"), familyInfo));
    }

    /** Returns the names of the zones from a field that must be present; its list is empty if there are no zones. */
    public static List<String> zones(JsonObject settings) {
        return settings.texts("zones").isEmpty() ? List.of() : settings.names("zones");
    }

    /** Returns the tenants, possibly none. */
    public static List<JsonObject> projects(JsonObject settings) {
        return settings.has("projects") ? settings.children("projects") : List.of();
    }

    private static List<Role> roles(JsonObject settings, JsonObject familyInfo) {
        List<Role> roles = familyInfo.choices("role-by-kind", ROLES);
        // Settings from the simulator may lack kinds and zones; a gateway needs both to read its endpoints.
        if (settings.has("kinds") && roles.size() != settings.names("kinds").size()) {
            throw new InvalidInputException(familyInfo.where() + ".role-by-kind has " + roles.size() + " entries for "
                    + settings.names("kinds").size() + " kinds");
        }
        return roles;
    }

    private static List<Double> quotas(JsonObject settings) {
        return projects(settings).stream()
                .map(project -> boundedNumber(project, "quota-per-s", Double.POSITIVE_INFINITY))
                .toList();
    }

    private static List<RoutingSettings.ServiceClass> serviceClasses(JsonObject settings, JsonObject familyInfo) {
        List<JsonObject> entries = settings.children("classes");
        List<Double> latencyObjectiveMicrosPerKilotoken =
                boundedNumbers(familyInfo, "aim-us-per-1000-prompt-tokens", entries.size());
        List<Double> tokenLatencyObjectives = boundedNumbers(familyInfo, "token-aim", entries.size());
        List<RoutingSettings.ServiceClass> classes = new ArrayList<>();
        for (JsonObject entry : entries) {
            int index = classes.size();
            classes.add(serviceClass(
                    entry,
                    valueAt(latencyObjectiveMicrosPerKilotoken, index) * SECONDS_PER_MICROSECOND,
                    valueAt(tokenLatencyObjectives, index)));
        }
        return classes;
    }

    private static RoutingSettings.ServiceClass serviceClass(
            JsonObject entry, double latencyObjectivePerKilotoken, double tokenLatencyObjective) {
        // Without a declaration no repeat is safe.
        Idempotence idempotence = entry.choice("semantics", Idempotence.UNSAFE, IDEMPOTENCE_VALUES);
        DeduplicationScope deduplicationScope = entry.choice("group", DeduplicationScope.CELL, DEDUPLICATION_SCOPES);
        // Throws if the objective is missing; the other fields are optional.
        entry.number("objective");
        return new RoutingSettings.ServiceClass(
                entry.number("objective", 0, Double.MIN_VALUE, MAX_VALUE),
                latencyObjectivePerKilotoken,
                boundedNumber(entry, "aim-stretch", 0),
                tokenLatencyObjective,
                idempotence,
                deduplicationScope,
                boundedNumber(entry, "repeat-window", 0),
                boundedNumber(entry, "worth", 1),
                entry.number("late-worth", 0, 0, 1));
    }

    private static RoutingSettings.Rules rules(JsonObject rules, JsonObject familyInfo) {
        return new RoutingSettings.Rules(
                boundedNumber(rules, "answer-slack", 0),
                boundedNumber(rules, "stop-sending-within", 0),
                boundedNumber(rules, "fall-multiple", 1),
                boundedNumber(rules, "tip-after", 0),
                boundedNumber(rules, "cold", 0),
                rules.number("cold-from", 1, 0, 1),
                boundedNumber(familyInfo, "release-within", 0));
    }

    /** Returns a number from 0 to {@link #MAX_VALUE}, or {@code defaultValue} if the field is absent. */
    private static double boundedNumber(JsonObject from, String name, double defaultValue) {
        return from.number(name, defaultValue, 0, MAX_VALUE);
    }

    /** Returns at most {@code maxSize} numbers from 0 to {@link #MAX_VALUE}, an empty list if the field is absent. */
    private static List<Double> boundedNumbers(JsonObject from, String name, int maxSize) {
        List<Double> values = from.numbers(name);
        if (values.size() > maxSize || !values.stream().allMatch(SettingsReader::isInRange)) {
            throw new InvalidInputException(
                    from.where() + "." + name + " must hold at most " + maxSize + " numbers of 0 or more: " + values);
        }
        return values;
    }

    /** Whether a number is in the allowed range; false for NaN. */
    private static boolean isInRange(double value) {
        return value >= 0 && value <= MAX_VALUE;
    }

    private static double valueAt(List<Double> values, int index) {
        return index < values.size() ? values.get(index) : 0;
    }
}
