package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Checks a chat configuration: that its keys are known, that their values are valid, and that the names in it are names
 * of the deployment. Each error is an {@link InvalidInputException} whose message names the key.
 */
final class ChatConfigChecks {

    private static final Pattern ENVIRONMENT_VARIABLE = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");
    /** Number of dot-separated parts of {@code deadlines.CLASS}. */
    private static final int DEADLINE_KEY_PARTS = 2;
    /** Number of dot-separated parts of {@code keys.VARIABLE.tenant}. */
    private static final int TENANT_KEY_PARTS = 3;

    private static final Set<String> UNKNOWN_FIELD_POLICIES = Set.of("pass", "drop", "refuse");

    /** Selects keys of one form and checks their values. */
    private record KeyRule(Predicate<String> appliesTo, BiConsumer<String, String> check) {}

    /** For each key, only the first rule that applies is used. A key without a rule is unknown. */
    private static final List<KeyRule> KEY_RULES = List.of(
            new KeyRule(ChatConfigChecks::isDeadline, ChatConfigChecks::requirePositive),
            new KeyRule(ChatConfigChecks::isTenantOfKey, ChatConfigChecks::requireVariableName),
            new KeyRule(ChatConfigChecks::isMaxTokens, ChatConfigChecks::requireInteger),
            new KeyRule("unknown_fields"::equals, ChatConfigChecks::requireUnknownFieldPolicy),
            new KeyRule("listen"::equals, ChatConfigChecks::acceptAny),
            new KeyRule(ChatConfigChecks::isClassOfModel, ChatConfigChecks::acceptAny),
            new KeyRule(MigrationConfigReader::isMigrationKey, ChatConfigChecks::acceptAny));

    private ChatConfigChecks() {}

    /** Checks everything that does not depend on the deployment's settings. */
    static void check(FlatSettings settings) {
        GatewayConfigReader.parseAddress(settings.text("listen").orElse(null), "listen");
        if (settings.namesUnder("keys").isEmpty()
                || settings.namesUnder("models").isEmpty()) {
            throw new InvalidInputException("keys and models must each have at least one entry");
        }
        settings.values().forEach(ChatConfigChecks::checkEntry);
        MigrationConfigReader.readPlan(settings, MigrationConfigReader.readGenerations(settings));
        for (String model : settings.namesUnder("models")) {
            settings.requiredText("models." + model + ".class");
        }
    }

    /** Checks the names in the settings against the deployment's classes, tenants, machine kinds and zones. */
    static void check(FlatSettings settings, GatewayConfig.DeploymentNames names) {
        MigrationConfigReader.readGenerations(settings, names);
        settings.values().forEach((key, value) -> checkNames(key, value, names));
    }

    private static void checkEntry(String key, String value) {
        KEY_RULES.stream()
                .filter(rule -> rule.appliesTo.test(key))
                .findFirst()
                .orElseThrow(() -> new InvalidInputException("unknown key " + key))
                .check
                .accept(key, value);
    }

    private static void checkNames(String key, String value, GatewayConfig.DeploymentNames names) {
        if (key.startsWith(ChatConfigReader.DEADLINE_PREFIX)) {
            requireName(names.classes(), key.substring(ChatConfigReader.DEADLINE_PREFIX.length()), key, "class");
        } else if (key.startsWith("keys.") && !names.tenants().isEmpty()) {
            requireName(names.tenants(), value, key, "tenant");
        } else if (key.startsWith("models.") && key.endsWith(".class")) {
            requireName(names.classes(), value, key, "class");
        }
    }

    private static void requireName(List<String> names, String name, String key, String nameType) {
        if (!names.contains(name)) {
            throw new InvalidInputException(key + ": unknown " + nameType + " " + name + "; known names: " + names);
        }
    }

    private static boolean isDeadline(String key) {
        return key.startsWith(ChatConfigReader.DEADLINE_PREFIX) && key.split("\\.").length == DEADLINE_KEY_PARTS;
    }

    private static boolean isTenantOfKey(String key) {
        return key.startsWith("keys.")
                && key.split("\\.").length == TENANT_KEY_PARTS
                && lastPart(key).equals("tenant");
    }

    /** Checks only the first and the last part of the key, because the name of a model may contain dots. */
    private static boolean isMaxTokens(String key) {
        return key.startsWith("models.") && lastPart(key).equals("max_tokens");
    }

    private static boolean isClassOfModel(String key) {
        return key.startsWith("models.") && lastPart(key).equals("class");
    }

    private static String lastPart(String key) {
        String[] parts = key.split("\\.");
        return parts[parts.length - 1];
    }

    private static double requirePositive(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number > 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported in the same way as a number that is not greater than 0.
        }
        throw new InvalidInputException(key + " must be a number greater than 0, not " + value);
    }

    private static void requireInteger(String key, String value) {
        double number = requirePositive(key, value);
        if (number != Math.rint(number)) {
            throw new InvalidInputException(key + " must be a whole number, not " + value);
        }
    }

    private static void requireVariableName(String key, String value) {
        String variable = key.split("\\.")[1];
        if (!ENVIRONMENT_VARIABLE.matcher(variable).matches()) {
            throw new InvalidInputException(key + ": " + variable + " is not the name of an environment variable");
        }
    }

    private static void requireUnknownFieldPolicy(String key, String value) {
        if (!UNKNOWN_FIELD_POLICIES.contains(value)) {
            throw new InvalidInputException(key + " must be pass, drop or refuse, not " + value);
        }
    }

    private static void acceptAny(String key, String value) {
        // The value is checked where it is read.
    }
}
