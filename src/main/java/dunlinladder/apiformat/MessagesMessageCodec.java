package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.Message.Role;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes and encodes the messages of the messages format: messages with content blocks, alternately of a user and an
 * assistant, and the system text in a separate field.
 */
final class MessagesMessageCodec extends MessageCodec {

    static final MessageCodec INSTANCE = new MessagesMessageCodec();

    private static final String DATA_SCHEME = "data:";
    private static final String BASE64_SUFFIX = ";base64";
    private static final String PLAIN_TEXT_PREFIX = "data:text/plain,";

    private MessagesMessageCodec() {}

    @Override
    List<Message> decode(JsonNode body) {
        List<Message> messages = new ArrayList<>();
        if (body.hasNonNull("system")) {
            messages.add(new Message(Role.SYSTEM, ContentPartDecoder.parts(body.get("system"), "system"), null));
        }
        requiredList(body, "messages").forEach(message -> messages.add(decodeMessage(message)));
        return messages;
    }

    private static Message decodeMessage(JsonNode message) {
        String roleName = message.path("role").asText();
        if (!roleName.equals("user") && !roleName.equals("assistant")) {
            throw UntranslatableRequestException.malformed(
                    "messages.role", "must be user or assistant, not " + roleName);
        }
        List<ContentPart> parts = ContentPartDecoder.parts(message.path("content"), "messages.content");
        if (roleName.equals("assistant")) {
            return new Message(Role.ASSISTANT, parts, null);
        }
        boolean hasResult = parts.stream().anyMatch(part -> part.kind() == ContentPart.Kind.RESULT);
        return new Message(hasResult ? Role.TOOL : Role.USER, parts, null);
    }

    /**
     * Encodes messages. The system text goes into its own field, and consecutive messages with the same encoded role
     * become one message.
     */
    @Override
    void encode(List<Message> messages, ObjectNode body, List<String> warnings) {
        StringBuilder system = new StringBuilder();
        ArrayNode encoded = body.putArray("messages");
        for (Message message : messages) {
            if (message.role() == Role.SYSTEM) {
                appendParagraph(system, message.text());
            } else {
                ArrayNode content = contentFor(message.role(), encoded);
                message.parts().forEach(part -> content.add(block(part)));
            }
        }
        encoded.forEach(message -> simplify((ObjectNode) message));
        if (!system.isEmpty()) {
            body.put("system", system.toString());
        }
    }

    private static ArrayNode contentFor(Role role, ArrayNode messages) {
        String roleName = role == Role.ASSISTANT ? "assistant" : "user";
        JsonNode last = messages.path(messages.size() - 1);
        return last.path("role").asText().equals(roleName)
                ? (ArrayNode) last.get("content")
                : messages.addObject().put("role", roleName).putArray("content");
    }

    /** Replaces content that is a single text with a string. */
    private static void simplify(ObjectNode message) {
        JsonNode content = message.get("content");
        if (content.size() == 1 && content.get(0).path("type").asText().equals("text")) {
            message.set("content", content.get(0).get("text"));
        }
    }

    private static ObjectNode block(ContentPart part) {
        if (part instanceof ContentPart.Image image) {
            return block("image").set("source", source(image.url()));
        }
        if (part instanceof ContentPart.File file) {
            return documentBlock(file);
        }
        if (part instanceof ContentPart.Call call) {
            return block("tool_use")
                    .put("id", call.id())
                    .put("name", call.name())
                    .set("input", StrictJson.object(call.arguments(), "messages.tool_calls.function.arguments"));
        }
        if (part instanceof ContentPart.Result result) {
            return resultBlock(result);
        }
        if (part instanceof ContentPart.Thought thought) {
            return thinkingBlock(thought);
        }
        String text = part instanceof ContentPart.Refusal refusal ? refusal.text() : ((ContentPart.Text) part).text();
        return block("text").put("text", text);
    }

    private static ObjectNode block(String type) {
        return JSON.objectNode().put("type", type);
    }

    private static ObjectNode documentBlock(ContentPart.File file) {
        if (file.data() == null) {
            throw UntranslatableRequestException.unsupported("a file by its id", ApiFormat.MESSAGES);
        }
        ObjectNode node = block("document");
        node.set("source", source(file.data()));
        if (file.name() != null) {
            node.put("title", file.name());
        }
        return node;
    }

    private static ObjectNode resultBlock(ContentPart.Result result) {
        ObjectNode node =
                block("tool_result").put("tool_use_id", result.callId()).put("content", result.text());
        if (result.error()) {
            node.put("is_error", true);
        }
        return node;
    }

    private static ObjectNode thinkingBlock(ContentPart.Thought thought) {
        if (thought.text().isEmpty() && thought.signature() != null) {
            return block("redacted_thinking").put("data", thought.signature());
        }
        ObjectNode node = block("thinking").put("thinking", thought.text());
        if (thought.signature() != null) {
            node.put("signature", thought.signature());
        }
        return node;
    }

    /** Returns the source of an image or document from its URL, which may be a {@code data:} URL. */
    private static ObjectNode source(String url) {
        int comma = url.indexOf(',');
        if (url.startsWith(DATA_SCHEME) && comma > 0 && url.substring(0, comma).endsWith(BASE64_SUFFIX)) {
            return block("base64")
                    .put("media_type", url.substring(DATA_SCHEME.length(), comma - BASE64_SUFFIX.length()))
                    .put("data", url.substring(comma + 1));
        }
        if (url.startsWith(PLAIN_TEXT_PREFIX)) {
            return block("text").put("media_type", "text/plain").put("data", url.substring(comma + 1));
        }
        return block("url").put("url", url);
    }
}
