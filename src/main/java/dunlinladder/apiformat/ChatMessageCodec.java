package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.Message.Role;
import java.util.ArrayList;
import java.util.List;

/** Decodes and encodes the messages of the chat completions format. */
final class ChatMessageCodec extends MessageCodec {

    static final MessageCodec INSTANCE = new ChatMessageCodec();

    private static final String CONTENT_PATH = "messages.content";
    private static final String NO_ARGUMENTS = "{}";

    private ChatMessageCodec() {}

    @Override
    List<Message> decode(JsonNode body) {
        List<Message> messages = new ArrayList<>();
        requiredList(body, "messages").forEach(message -> messages.add(decodeMessage(message)));
        return messages;
    }

    private static Message decodeMessage(JsonNode message) {
        String roleName = message.path("role").asText();
        Role role = role(roleName);
        String author = message.hasNonNull("name") ? message.get("name").asText() : null;
        if (role == Role.TOOL) {
            return toolResult(message, roleName, author);
        }
        List<ContentPart> parts = new ArrayList<>();
        if (message.hasNonNull("content")) {
            parts.addAll(ContentPartDecoder.parts(message.get("content"), CONTENT_PATH));
        } else if (role != Role.ASSISTANT) {
            throw UntranslatableRequestException.malformed(CONTENT_PATH, "is missing");
        }
        if (message.hasNonNull("refusal")) {
            parts.add(new ContentPart.Refusal(message.get("refusal").asText()));
        }
        decodeCalls(message, parts);
        return new Message(role, parts, author);
    }

    private static Role role(String name) {
        return switch (name) {
            case "system", "developer" -> Role.SYSTEM;
            case "user" -> Role.USER;
            case "assistant" -> Role.ASSISTANT;
            case "tool", "function" -> Role.TOOL;
            default -> throw UntranslatableRequestException.malformed("messages.role", "is not known: " + name);
        };
    }

    private static Message toolResult(JsonNode message, String roleName, String author) {
        String callId = roleName.equals("function")
                ? legacyCallId(author)
                : ContentPartDecoder.text(message, "tool_call_id", "messages");
        String text = ContentPartDecoder.flatText(message.path("content"), CONTENT_PATH);
        return new Message(Role.TOOL, List.of(new ContentPart.Result(callId, text, false)), null);
    }

    /** Returns an id made from the function's name, for calls in the older fields, which have no id. */
    private static String legacyCallId(String function) {
        return "call_" + function;
    }

    private static void decodeCalls(JsonNode message, List<ContentPart> parts) {
        for (JsonNode call : message.path("tool_calls")) {
            JsonNode function = call.path("function");
            parts.add(new ContentPart.Call(
                    ContentPartDecoder.text(call, "id", "messages.tool_calls"),
                    ContentPartDecoder.text(function, "name", "messages.tool_calls.function"),
                    function.path("arguments").asText(NO_ARGUMENTS)));
        }
        if (message.hasNonNull("function_call")) {
            JsonNode call = message.get("function_call");
            String name = ContentPartDecoder.text(call, "name", "messages.function_call");
            String arguments = call.path("arguments").asText(NO_ARGUMENTS);
            parts.add(new ContentPart.Call(legacyCallId(name), name, arguments));
        }
    }

    @Override
    void encode(List<Message> messages, ObjectNode body, List<String> warnings) {
        ArrayNode encoded = body.putArray("messages");
        messages.forEach(message -> encode(message, encoded));
    }

    /** Encodes a message. Each tool result becomes a separate message, before a message with the other parts. */
    private static void encode(Message message, ArrayNode encoded) {
        List<ContentPart> others = new ArrayList<>();
        for (ContentPart part : message.parts()) {
            if (part instanceof ContentPart.Result result) {
                encoded.addObject()
                        .put("role", "tool")
                        .put("tool_call_id", result.callId())
                        .put("content", resultText(result));
            } else {
                others.add(part);
            }
        }
        if (others.isEmpty() && message.role() == Role.TOOL) {
            return;
        }
        ObjectNode node = encoded.addObject().put("role", roleName(message.role()));
        encodeParts(others, node);
        if (message.name() != null) {
            node.put("name", message.name());
        }
    }

    private static String roleName(Role role) {
        return switch (role) {
            case SYSTEM -> "system";
            case ASSISTANT -> "assistant";
            case USER, TOOL -> "user";
        };
    }

    private static void encodeParts(List<ContentPart> parts, ObjectNode message) {
        ArrayNode content = JSON.arrayNode();
        for (ContentPart part : parts) {
            if (part instanceof ContentPart.Call call) {
                encodeCall(call, message.withArray("tool_calls"));
            } else if (part instanceof ContentPart.Refusal refusal) {
                message.put("refusal", refusal.text());
            } else {
                content.add(contentPart(part));
            }
        }
        message.set("content", content(content));
    }

    /**
     * Returns the content of a message: a string if it is a single text, null if it is empty, else the list of parts.
     */
    private static JsonNode content(ArrayNode parts) {
        if (parts.isEmpty()) {
            return JSON.nullNode();
        }
        boolean singleText =
                parts.size() == 1 && parts.get(0).path("type").asText().equals("text");
        return singleText ? parts.get(0).get("text") : parts;
    }

    private static void encodeCall(ContentPart.Call call, ArrayNode calls) {
        calls.addObject()
                .put("id", call.id())
                .put("type", "function")
                .putObject("function")
                .put("name", call.name())
                .put("arguments", call.arguments());
    }

    private static ObjectNode contentPart(ContentPart part) {
        ObjectNode node = JSON.objectNode();
        if (part instanceof ContentPart.Image image) {
            ObjectNode url =
                    node.put("type", "image_url").putObject("image_url").put("url", image.url());
            if (image.detail() != null) {
                url.put("detail", image.detail());
            }
        } else if (part instanceof ContentPart.Audio audio) {
            node.put("type", "input_audio")
                    .putObject("input_audio")
                    .put("data", audio.data())
                    .put("format", audio.format());
        } else if (part instanceof ContentPart.File file) {
            putFile(node.put("type", "file").putObject("file"), file);
        } else {
            node.put("type", "text").put("text", ((ContentPart.Text) part).text());
        }
        return node;
    }
}
