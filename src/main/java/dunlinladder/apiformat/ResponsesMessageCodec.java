package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.Message.Role;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes and encodes the messages of the responses format: instructions, and a list of items, of which messages are
 * one type.
 */
final class ResponsesMessageCodec extends MessageCodec {

    static final MessageCodec INSTANCE = new ResponsesMessageCodec();

    private ResponsesMessageCodec() {}

    @Override
    List<Message> decode(JsonNode body) {
        List<Message> messages = new ArrayList<>();
        if (body.hasNonNull("instructions")) {
            messages.add(textMessage(Role.SYSTEM, ContentPartDecoder.text(body, "instructions", "body")));
        }
        JsonNode input = body.path("input");
        if (input.isTextual()) {
            messages.add(textMessage(Role.USER, input.asText()));
        } else {
            requiredList(body, "input").forEach(item -> decodeItem(item, messages));
        }
        return messages;
    }

    private static Message textMessage(Role role, String text) {
        return new Message(role, List.of(new ContentPart.Text(text)), null);
    }

    private static void decodeItem(JsonNode item, List<Message> messages) {
        switch (item.path("type").asText("message")) {
            case "message" -> messages.add(decodeMessage(item));
            case "function_call" -> appendToAssistant(messages, decodeCall(item));
            case "function_call_output" -> messages.add(decodeOutput(item));
            case "reasoning" -> appendToAssistant(messages, decodeReasoning(item));
            default ->
                throw UntranslatableRequestException.malformed(
                        "input.type", "is not known: " + item.path("type").asText());
        }
    }

    private static Message decodeMessage(JsonNode item) {
        Role role = switch (item.path("role").asText()) {
            case "system", "developer" -> Role.SYSTEM;
            case "user" -> Role.USER;
            case "assistant" -> Role.ASSISTANT;
            default -> throw UntranslatableRequestException.malformed("input.role", "is not known");
        };
        return new Message(role, ContentPartDecoder.parts(item.path("content"), "input.content"), null);
    }

    private static ContentPart decodeCall(JsonNode item) {
        return new ContentPart.Call(
                ContentPartDecoder.text(item, "call_id", "input"),
                ContentPartDecoder.text(item, "name", "input"),
                item.path("arguments").asText("{}"));
    }

    private static Message decodeOutput(JsonNode item) {
        String callId = ContentPartDecoder.text(item, "call_id", "input");
        String text = ContentPartDecoder.flatText(item.path("output"), "input.output");
        return new Message(Role.TOOL, List.of(new ContentPart.Result(callId, text, false)), null);
    }

    private static ContentPart decodeReasoning(JsonNode item) {
        StringBuilder summary = new StringBuilder();
        item.path("summary").forEach(part -> summary.append(part.path("text").asText()));
        return new ContentPart.Thought(summary.toString(), ContentPartDecoder.optionalText(item, "encrypted_content"));
    }

    /**
     * Appends a part to the last message if that is the assistant's, or else to a new one: consecutive items of the
     * model are one message in the other formats.
     */
    private static void appendToAssistant(List<Message> messages, ContentPart part) {
        int last = messages.size() - 1;
        if (last >= 0 && messages.get(last).role() == Role.ASSISTANT) {
            List<ContentPart> parts = new ArrayList<>(messages.get(last).parts());
            parts.add(part);
            messages.set(last, new Message(Role.ASSISTANT, parts, null));
        } else {
            messages.add(new Message(Role.ASSISTANT, List.of(part), null));
        }
    }

    @Override
    void encode(List<Message> messages, ObjectNode body, List<String> warnings) {
        ArrayNode input = JSON.arrayNode();
        StringBuilder instructions = new StringBuilder();
        boolean leading = true;
        for (Message message : messages) {
            leading &= message.role() == Role.SYSTEM;
            if (leading) {
                appendParagraph(instructions, message.text());
            } else {
                encode(message, input);
            }
        }
        if (!instructions.isEmpty()) {
            body.put("instructions", instructions.toString());
        }
        body.set("input", input);
    }

    /**
     * Encodes a message as items. Reasoning comes before the message that it led to; calls and their results come after
     * it.
     */
    private static void encode(Message message, ArrayNode input) {
        ArrayNode content = JSON.arrayNode();
        List<ObjectNode> following = new ArrayList<>();
        for (ContentPart part : message.parts()) {
            if (part instanceof ContentPart.Call call) {
                following.add(callItem(call));
            } else if (part instanceof ContentPart.Result result) {
                following.add(outputItem(result));
            } else if (part instanceof ContentPart.Thought thought) {
                input.add(reasoningItem(thought));
            } else {
                content.add(contentPart(part, message.role()));
            }
        }
        if (!content.isEmpty()) {
            input.addObject()
                    .put("type", "message")
                    .put("role", roleName(message.role()))
                    .set("content", content);
        }
        following.forEach(input::add);
    }

    private static String roleName(Role role) {
        return switch (role) {
            case SYSTEM -> "developer";
            case ASSISTANT -> "assistant";
            case USER, TOOL -> "user";
        };
    }

    private static ObjectNode callItem(ContentPart.Call call) {
        return JSON.objectNode()
                .put("type", "function_call")
                .put("call_id", call.id())
                .put("name", call.name())
                .put("arguments", call.arguments());
    }

    private static ObjectNode outputItem(ContentPart.Result result) {
        return JSON.objectNode()
                .put("type", "function_call_output")
                .put("call_id", result.callId())
                .put("output", resultText(result));
    }

    private static ObjectNode reasoningItem(ContentPart.Thought thought) {
        ObjectNode item = JSON.objectNode().put("type", "reasoning");
        ArrayNode summary = item.putArray("summary");
        if (!thought.text().isEmpty()) {
            summary.addObject().put("type", "summary_text").put("text", thought.text());
        }
        if (thought.signature() != null) {
            item.put("encrypted_content", thought.signature());
        }
        return item;
    }

    private static ObjectNode contentPart(ContentPart part, Role role) {
        ObjectNode node = JSON.objectNode();
        if (part instanceof ContentPart.Image image) {
            node.put("type", "input_image").put("image_url", image.url());
            if (image.detail() != null) {
                node.put("detail", image.detail());
            }
        } else if (part instanceof ContentPart.File file) {
            putFile(node.put("type", "input_file"), file);
        } else if (part instanceof ContentPart.Refusal refusal) {
            node.put("type", "refusal").put("refusal", refusal.text());
        } else {
            node.put("type", role == Role.ASSISTANT ? "output_text" : "input_text")
                    .put("text", ((ContentPart.Text) part).text());
        }
        return node;
    }
}
