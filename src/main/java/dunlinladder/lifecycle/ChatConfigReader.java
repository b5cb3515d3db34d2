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

/** Reads the operator's file for the chat front and builds the front's configuration from applied settings. */
final class ChatConfigReader {

    /** Prefix of the keys of deadlines; the name of a service class follows. */
    static final String DEADLINE_PREFIX = "deadlines.";

    /** Maximum number of tokens of an answer if neither the client nor the model's settings limit it. */
    private static final String DEFAULT_MAX_TOKENS = "800";

    private static final String DEFAULT_UNKNOWN_FIELDS = "pass";

    private ChatConfigReader() {}

    /**
     * Reads and checks the text of the operator's file.
     *
     * @throws InvalidInputException if the text has an error; the message names the key
     */
    static FlatSettings read(String toml) {
        FlatSettings settings = FlatSettings.parseToml(toml);
        ChatConfigChecks.check(settings);
        return settings;
    }

    /**
     * Builds the configuration of the chat front from applied settings.
     *
     * @param environment holds the clients' secret keys; the settings name the variables
     * @throws InvalidInputException if the settings have an error; the message names the key
     */
    static ChatFrontConfig chatFront(FlatSettings settings, GatewayConfig config, Map<String, String> environment) {
        ChatConfigChecks.check(settings);
        ChatConfigChecks.check(settings, config.names());
        List<Generation> generations = MigrationConfigReader.readGenerations(settings, config.names());
        ChatSettings chat = new ChatSettings(
                tenantsBySecret(settings, config.names().tenants(), environment),
                models(settings, config.names().classes()),
                deadlines(settings, config),
                clientRetryHarmless(config.routing()),
                generations,
                MigrationConfigReader.readPlan(settings, generations).orElse(null),
                unknownFields(settings));
        return new ChatFrontConfig(
                GatewayConfigReader.parseAddress(settings.text("listen").orElse(null), "listen"), chat);
    }

    /** Returns the index of each client's tenant by the client's secret key; 0 in a deployment without tenants. */
    private static Map<String, Integer> tenantsBySecret(
            FlatSettings settings, List<String> tenants, Map<String, String> environment) {
        Map<String, Integer> tenantsBySecret = new TreeMap<>();
        for (String variable : settings.namesUnder("keys")) {
            String secret = environment.getOrDefault(variable, "");
            String tenant = settings.requiredText("keys." + variable + ".tenant");
            int index = Math.max(0, tenants.indexOf(tenant));
            if (secret.isBlank() || tenantsBySecret.put(secret, index) != null) {
                throw new InvalidInputException("keys." + variable + ": the environment variable " + variable
                        + " is not set, or holds the same key as another variable");
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

    /** Returns the deadline in seconds by service class: the chat front's own if it sets one, else the platform's. */
    private static List<Double> deadlines(FlatSettings settings, GatewayConfig config) {
        List<String> classes = config.names().classes();
        return IntStream.range(0, classes.size())
                .mapToObj(index -> settings.text(DEADLINE_PREFIX + classes.get(index))
                        .map(Double::valueOf)
                        .orElse(config.deadlines().get(index)))
                .toList();
    }

    /** Returns, by service class, whether a client may retry a request that may have run. */
    private static List<Boolean> clientRetryHarmless(RoutingSettings routing) {
        return routing.classes().stream()
                .map(serviceClass -> serviceClass.rerunRule().allowsClientRetry())
                .toList();
    }

    private static RequestTranslator.UnknownFields unknownFields(FlatSettings settings) {
        String policy = settings.text("unknown_fields").orElse(DEFAULT_UNKNOWN_FIELDS);
        return RequestTranslator.UnknownFields.valueOf(policy.toUpperCase(Locale.ROOT));
    }
}
