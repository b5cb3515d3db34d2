package dunlinladder.lifecycle;

import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.migration.Generation;
import dunlinladder.routing.RoutingSettings;
import dunlinladder.transport.chat.ChatSettings;
import dunlinladder.transport.json.InvalidInputException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Reads the operator's file for the chat front, and turns applied settings into what the front needs. */
final class ChatConfigReader {

    /** What the keys of deadlines start with; the name of a service class follows. */
    static final String DEADLINES = "deadlines.";

    /** Tokens of an answer where neither the client nor the model's settings bound it. */
    private static final String DEFAULT_MAX_TOKENS = "800";

    private static final String DEFAULT_UNKNOWN_FIELDS = "pass";

    private ChatConfigReader() {}

    /**
     * Reads and checks the file's text.
     *
     * @throws InvalidInputException that names the faulty key
     */
    static FlatSettings read(String toml) {
        FlatSettings settings = FlatSettings.parseToml(toml);
        ChatConfigChecks.check(settings);
        return settings;
    }

    /**
     * The front that applied settings describe.
     *
     * @param environment holds the clients' secret keys, under the names that the settings give
     * @throws InvalidInputException that names the faulty key
     */
    static ChatFrontConfig chatFront(FlatSettings settings, GatewayConfig config, Map<String, String> environment) {
        ChatConfigChecks.check(settings);
        ChatConfigChecks.check(settings, config.names());
        List<Generation> generations = MigrationConfigReader.readGenerations(settings, config.names());
        ChatSettings chat = new ChatSettings(
                tenantsBySecret(settings, config.names().tenants(), environment),
                models(settings, config.names().classes()),
                deadlines(settings, config),
                unsafeClasses(config.routing()),
                generations,
                MigrationConfigReader.readPlan(settings, generations).orElse(null),
                unknownFields(settings));
        return new ChatFrontConfig(
                GatewayConfigReader.parseAddress(settings.text("listen").orElse(null), "listen"), chat);
    }

    /** The number of each client's tenant by the client's secret; 0 in a deployment without tenants. */
    private static Map<String, Integer> tenantsBySecret(
            FlatSettings settings, List<String> tenants, Map<String, String> environment) {
        Map<String, Integer> tenantsBySecret = new TreeMap<>();
        for (String variable : settings.namesUnder("keys")) {
            String secret = environment.getOrDefault(variable, "");
            String tenant = settings.requiredText("keys." + variable + ".tenant");
            int index = Math.max(0, tenants.indexOf(tenant));
            if (secret.isBlank() || tenantsBySecret.put(secret, index) != null) {
                throw new InvalidInputException("keys." + variable + ": the environment variable " + variable
                        + " is not set, or holds the same key as another");
            }
        }
        return tenantsBySecret;
    }

    private static Map<String, ChatSettings.Model> models(FlatSettings settings, List<String> classes) {
        Map<String, ChatSettings.Model> models = new TreeMap<>();
        for (String model : settings.namesUnder("models")) {
            String prefix = "models." + model + ".";
            String maxTokens = settings.text(prefix + "max_tokens").orElse(DEFAULT_MAX_TOKENS);
            models.put(model, new ChatSettings.Model(classes.indexOf(settings.requiredText(prefix + "class")), (int)
                    Double.parseDouble(maxTokens)));
        }
        return models;
    }

    /** Seconds by service class: the chat front's own, else the platform's. */
    private static List<Double> deadlines(FlatSettings settings, GatewayConfig config) {
        List<String> classes = config.names().classes();
        return IntStream.range(0, classes.size())
                .mapToObj(index -> settings.text(DEADLINES + classes.get(index))
                        .map(Double::valueOf)
                        .orElse(config.deadlines().get(index)))
                .toList();
    }

    /** By service class, whether a request must never run twice. */
    private static List<Boolean> unsafeClasses(RoutingSettings routing) {
        return routing.classes().stream()
                .map(serviceClass -> serviceClass.effect() == RoutingSettings.Effect.UNSAFE)
                .toList();
    }

    private static RequestTranslator.UnknownFields unknownFields(FlatSettings settings) {
        String policy = settings.text("unknown_fields").orElse(DEFAULT_UNKNOWN_FIELDS);
        return RequestTranslator.UnknownFields.valueOf(policy.toUpperCase(Locale.ROOT));
    }
}
