package dunlinladder.lifecycle;

import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.migration.Generation;
import dunlinladder.routing.Router;
import dunlinladder.transport.chat.ChatSettings;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The operator's file for the chat front: read, checked, and turned into what the front wants. Its settings are kept
 * flat, as {@code models.NAME.class}, so that two of them compare line by line.
 */
final class ChatConfigReader {

    private static final Pattern ENVIRONMENT = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");
    private static final int MOST_TOKENS = 800;

    /** The chat front as it is to be started. */
    record Chat(InetSocketAddress listen, ChatSettings settings) {}

    private ChatConfigReader() {}

    /** Reads the file's text; an error names the faulty key. */
    static SortedMap<String, String> read(String toml) {
        SortedMap<String, String> flat = new TreeMap<>();
        flatten("", JsonObject.parseToml(toml).fields(), flat);
        check(flat);
        return flat;
    }

    private static void flatten(String prefix, Map<?, ?> fields, Map<String, String> flat) {
        fields.forEach((name, value) -> {
            if (value instanceof Map<?, ?> map) {
                flatten(prefix + name + ".", map, flat);
            } else {
                flat.put(prefix + name, String.valueOf(value));
            }
        });
    }

    /** Checks what can be checked without the deployment's settings. */
    static void check(Map<String, String> flat) {
        GatewayConfig.address(flat.get("listen"), "listen");
        if (names(flat, "keys").isEmpty() || names(flat, "models").isEmpty()) {
            throw new InvalidInputException("keys and models must each name at least one");
        }
        flat.forEach((key, value) -> {
            String[] parts = key.split("\\.");
            String last = parts[parts.length - 1];
            if (key.startsWith("deadlines.") && parts.length == 2) {
                number(key, value);
            } else if (key.startsWith("keys.") && parts.length == 3 && last.equals("tenant")) {
                if (!ENVIRONMENT.matcher(parts[1]).matches()) {
                    throw new InvalidInputException(
                            key + ": " + parts[1] + " is not the name of an environment variable");
                }
            } else if (key.startsWith("models.") && last.equals("max_tokens")) {
                if (number(key, value) != Math.rint(number(key, value))) {
                    throw new InvalidInputException(key + " must be a whole number, not " + value);
                }
            } else if (key.equals("unknown_fields")) {
                if (!value.matches("pass|drop|refuse")) {
                    throw new InvalidInputException(key + " must be pass, drop or refuse, not " + value);
                }
            } else if (!MigrationConfigReader.knows(key)
                    && !key.equals("listen")
                    && !(key.startsWith("models.") && last.equals("class"))) {
                throw new InvalidInputException("unknown key " + key);
            }
        });
        MigrationConfigReader.move(flat, MigrationConfigReader.read(flat, null, null));
        for (String model : names(flat, "models")) {
            if (!flat.containsKey("models." + model + ".class")) {
                throw new InvalidInputException("models." + model + ".class is missing");
            }
        }
    }

    private static double number(String key, String value) {
        try {
            if (Double.parseDouble(value) > 0) {
                return Double.parseDouble(value);
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new InvalidInputException(key + " must be a number over 0, not " + value);
    }

    /** The names under a heading; a model's own name may hold dots. */
    private static List<String> names(Map<String, String> flat, String heading) {
        return flat.keySet().stream()
                .filter(k -> k.startsWith(heading + ".") && k.lastIndexOf('.') > heading.length())
                .map(k -> k.substring(heading.length() + 1, k.lastIndexOf('.')))
                .distinct()
                .toList();
    }

    /** Checks names against the deployment's classes and tenants. */
    static void check(Map<String, String> flat, GatewayConfig config) {
        MigrationConfigReader.read(flat, config.kinds(), config.zones());
        flat.forEach((key, value) -> {
            if (key.startsWith("deadlines.")) {
                index(config.classes(), key.substring(10), key, "class");
            } else if (key.startsWith("keys.") && !config.tenants().isEmpty()) {
                index(config.tenants(), value, key, "tenant");
            } else if (key.startsWith("models.") && key.endsWith(".class")) {
                index(config.classes(), value, key, "class");
            }
        });
    }

    private static int index(List<String> names, String name, String key, String what) {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new InvalidInputException(key + ": no " + what + " is named " + name + "; there are " + names);
        }
        return index;
    }

    /** The front that applied settings describe; secrets come from the environment. */
    static Chat chat(Map<String, String> flat, GatewayConfig config, Map<String, String> environment) {
        check(flat);
        check(flat, config);
        Map<String, Integer> tenants = new TreeMap<>();
        for (String variable : names(flat, "keys")) {
            String secret = environment.getOrDefault(variable, "");
            if (secret.isBlank()
                    || tenants.put(
                                    secret,
                                    Math.max(0, config.tenants().indexOf(flat.get("keys." + variable + ".tenant"))))
                            != null) {
                throw new InvalidInputException("keys." + variable + ": the environment variable " + variable
                        + " is not set, or holds the same key as another");
            }
        }
        Map<String, ChatSettings.Model> models = new TreeMap<>();
        for (String model : names(flat, "models")) {
            models.put(
                    model,
                    new ChatSettings.Model(config.classes().indexOf(flat.get("models." + model + ".class")), (int)
                            Double.parseDouble(flat.getOrDefault(
                                    "models." + model + ".max_tokens", String.valueOf(MOST_TOKENS)))));
        }
        List<Double> deadlines = new ArrayList<>();
        for (int i = 0; i < config.classes().size(); i++) {
            String own = flat.get("deadlines." + config.classes().get(i));
            deadlines.add(own == null ? config.deadlines().get(i) : Double.valueOf(own));
        }
        List<Generation> generations = MigrationConfigReader.read(flat, config.kinds(), config.zones());
        return new Chat(
                GatewayConfig.address(flat.get("listen"), "listen"),
                new ChatSettings(
                        tenants,
                        models,
                        deadlines,
                        config.settings().classes().stream()
                                .map(c -> c.effect() == Router.Effect.UNSAFE)
                                .toList(),
                        generations,
                        MigrationConfigReader.move(flat, generations),
                        RequestTranslator.UnknownFields.valueOf(
                                flat.getOrDefault("unknown_fields", "pass").toUpperCase(Locale.ROOT))));
    }
}
