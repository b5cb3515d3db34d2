package dunlinladder.transport.chat;

import dunlinladder.transport.json.JsonObject;
import java.util.Map;

/** Writes the answers of the model list endpoint in the published format. */
final class ModelListing {

    private static final String PATH = "/v1/models";

    private ModelListing() {}

    /** Whether a path is that of the list of models or of one model. */
    static boolean serves(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    /**
     * Returns the body of the answer for a path that {@link #serves} accepts.
     *
     * @throws ChatError if the path names an unknown model
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
