package dunlinladder.transport.settings;

import dunlinladder.transport.json.JsonObject;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Finds fields of a deployment's settings that the platform's protocol does not define. They are not an error, because
 * the platform may add fields, but reporting them reveals misspelt names.
 */
public final class UnknownSettings {

    private static final Set<String> TOP_LEVEL = Set.of(
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
    private static final Set<String> SERVICE_CLASS = Set.of(
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
    private static final Set<String> FAMILY_INFO = Set.of(
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

    private UnknownSettings() {}

    /**
     * Returns the paths of the unknown fields, such as {@code settings.rules.NAME}; those of the top level come first.
     */
    public static List<String> find(JsonObject settings) {
        Stream<List<String>> sections = Stream.of(
                settings.unknown(TOP_LEVEL),
                settings.childOrEmpty("caps").unknown(CAPS),
                settings.childOrEmpty("family-info").unknown(FAMILY_INFO),
                settings.childOrEmpty("rules").unknown(RULES));
        Stream<List<String>> entries = Stream.concat(
                settings.children("classes").stream().map(entry -> entry.unknown(SERVICE_CLASS)),
                SettingsReader.projects(settings).stream().map(entry -> entry.unknown(PROJECT)));
        return Stream.concat(sections, entries).flatMap(List::stream).toList();
    }
}
