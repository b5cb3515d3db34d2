package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.Message.Role;
import java.util.List;

/** Decodes and encodes the messages of the legacy completions format, which has one prompt and no roles. */
final class CompletionsMessageCodec extends MessageCodec {

    static final MessageCodec INSTANCE = new CompletionsMessageCodec();

    private CompletionsMessageCodec() {}

    @Override
    List<Message> decode(JsonNode body) {
        JsonNode prompt = body.path("prompt");
        JsonNode single = prompt.isArray() && prompt.size() == 1 ? prompt.get(0) : prompt;
        if (!single.isTextual()) {
            throw UntranslatableRequestException.malformed(
                    "prompt",
                    "must be a string, or a list with one: prompts are neither taken in batches nor as tokens");
        }
        return List.of(new Message(Role.USER, List.of(new ContentPart.Text(single.asText())), null));
    }

    @Override
    void encode(List<Message> messages, ObjectNode body, List<String> warnings) {
        body.put("prompt", prompt(messages, warnings));
    }

    /**
     * Returns the prompt: the text of a single message as it is, or the texts of several messages joined, each after a
     * label for its role.
     */
    private static String prompt(List<Message> messages, List<String> warnings) {
        if (messages.size() == 1) {
            return messages.get(0).text();
        }
        warnings.add("the messages were joined into one prompt");
        StringBuilder prompt = new StringBuilder();
        for (Message message : messages) {
            prompt.append(roleLabel(message.role())).append(message.text()).append("\n\n");
        }
        return prompt.append("Assistant:").toString();
    }

    private static String roleLabel(Role role) {
        return switch (role) {
            case SYSTEM -> "";
            case USER -> "User: ";
            case ASSISTANT -> "Assistant: ";
            case TOOL -> "Tool: ";
        };
    }
}
