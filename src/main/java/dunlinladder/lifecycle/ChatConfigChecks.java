package dunlinladder.lifecycle;

import dunlinladder.transport.json.InvalidInputException;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * The checks of a chat configuration: which keys there may be, what values they may have, and that the names they use
 * are the deployment's. Each fault is an {@link InvalidInputException} that names its key.
 */
final class ChatConfigChecks {

    private static final Pattern ENVIRONMENT_VARIABLE = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");
    private static final Set<String> UNKNOWN_FIELD_POLICIES = Set.of("pass", "drop", "refuse");

    /** Keys of one shape and the check of their values. */
    private record KeyRule(Predicate<String> appliesTo, BiConsumer<String, String> check) {}

    /** The first rule that applies to a key decides; a key without a rule is unknown. */
    private static final List<KeyRule> KEY_RULES = List.of(
            new KeyRule(ChatConfigChecks::isDeadline, ChatConfigChecks::requirePositive),
            new KeyRule(ChatConfigChecks::isTenantOfKey, ChatConfigChecks::requireVariableName),
            new KeyRule(ChatConfigChecks::isMaxTokens, ChatConfigChecks::requireWhole),
            new KeyRule("unknown_fields"::equals, ChatConfigChecks::requireUnknownFieldPolicy),
            new KeyRule("listen"::equals, ChatConfigChecks::acceptAny),
            new KeyRule(ChatConfigChecks::isClassOfModel, ChatConfigChecks::acceptAny),
            new KeyRule(MigrationConfigReader::knows, ChatConfigChecks::acceptAny));

    private ChatConfigChecks() {}

    /** Checks what can be checked without the deployment's settings. */
    static void check(FlatSettings settings) {
        GatewayConfigReader.parseAddress(settings.text("listen").orElse(null), "listen");
        if (settings.namesUnder("keys").isEmpty()
                || settings.namesUnder("models").isEmpty()) {
            throw new InvalidInputException("keys and models must each name at least one");
        }
        settings.values().forEach(ChatConfigChecks::checkEntry);
        MigrationConfigReader.readPlan(settings, MigrationConfigReader.readGenerations(settings));
        for (String model : settings.namesUnder("models")) {
            settings.requiredText("models." + model + ".class");
        }
    }

    /** Checks names against the deployment's classes, tenants, kinds of engines and zones. */
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
        if (key.startsWith(ChatConfigReader.DEADLINES)) {
            requireName(names.classes(), key.substring(ChatConfigReader.DEADLINES.length()), key, "class");
        } else if (key.startsWith("keys.") && !names.tenants().isEmpty()) {
            requireName(names.tenants(), value, key, "tenant");
        } else if (key.startsWith("models.") && key.endsWith(".class")) {
            requireName(names.classes(), value, key, "class");
        }
    }

    private static void requireName(List<String> names, String name, String key, String what) {
        if (!names.contains(name)) {
            throw new InvalidInputException(key + ": no " + what + " is named " + name + "; there are " + names);
        }
    }

    private static boolean isDeadline(String key) {
        return key.startsWith(ChatConfigReader.DEADLINES) && key.split("\\.").length == 2;
    }

    private static boolean isTenantOfKey(String key) {
        return key.startsWith("keys.")
                && key.split("\\.").length == 3
                && lastPart(key).equals("tenant");
    }

    /** A model's own name may hold dots: only the ends of the key count. */
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
            // Reported like a number that is not over 0.
        }
        throw new InvalidInputException(key + " must be a number over 0, not " + value);
    }

    private static void requireWhole(String key, String value) {
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
        // Checked where the value is read.
    }
}
