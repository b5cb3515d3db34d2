package dunlinladder.transport.chat;

import dunlinladder.transport.json.JsonObject;
import java.util.Map;

/** Answers which models there are, in the published form. */
final class ModelListing {

    private static final String PATH = "/v1/models";

    private ModelListing() {}

    /** Whether a path asks for all models or for one. */
    static boolean serves(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    /**
     * The answer to a path that is served.
     *
     * @throws ChatError where it names a model that is not known
     */
    static String answer(String path, ChatSettings settings) {
        if (path.equals(PATH)) {
            return JsonObject.write(Map.of(
                    "object",
                    "list",
                    "data",
                    settings.models().keySet().stream()
                            .sorted()
                            .map(ModelListing::describe)
                            .toList()));
        }
        String name = path.substring(PATH.length() + 1);
        ChatRequest.model(settings, name);
        return JsonObject.write(describe(name));
    }

    private static Map<String, Object> describe(String name) {
        return Map.of("id", name, "object", "model", "created", 0, "owned_by", "dunlinladder");
    }
}
