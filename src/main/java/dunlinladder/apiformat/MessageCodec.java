package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.Message.Role;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The conversation in each format: which object holds a message, and which a part of one. */
final class MessageCodec {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private MessageCodec() {}

    // ---- Reading ----

    static List<Message> decode(ApiFormat from, JsonNode body) {
        List<Message> turns = new ArrayList<>();
        switch (from) {
            case COMPLETIONS ->
                turns.add(new Message(Role.USER, List.of(new ContentPart.Text(prompt(body.path("prompt")))), null));
            case CHAT -> list(body, "messages").forEach(message -> turns.add(chat(message)));
            case RESPONSES -> responses(body, turns);
            case MESSAGES -> {
                if (body.hasNonNull("system")) {
                    turns.add(new Message(Role.SYSTEM, parts(body.get("system"), "system"), null));
                }
                list(body, "messages").forEach(message -> turns.add(blocks(message)));
            }
            default -> throw new IllegalStateException(from.toString());
        }
        return turns;
    }

    private static JsonNode list(JsonNode body, String field) {
        JsonNode list = body.path(field);
        if (!list.isArray() || list.isEmpty()) {
            throw UntranslatableRequestException.malformed(field, "must be a list that is not empty");
        }
        return list;
    }

    private static String prompt(JsonNode prompt) {
        JsonNode one = prompt.isArray() && prompt.size() == 1 ? prompt.get(0) : prompt;
        if (!one.isTextual()) {
            throw UntranslatableRequestException.malformed(
                    "prompt",
                    "must be a string, or a list with one: prompts are neither " + "taken in batches nor as tokens");
        }
        return one.asText();
    }

    private static Message chat(JsonNode message) {
        String name = message.path("role").asText();
        Role role = switch (name) {
            case "system", "developer" -> Role.SYSTEM;
            case "user" -> Role.USER;
            case "assistant" -> Role.ASSISTANT;
            case "tool", "function" -> Role.TOOL;
            default -> throw UntranslatableRequestException.malformed("messages.role", "is not known: " + name);
        };
        String author = message.hasNonNull("name") ? message.get("name").asText() : null;
        if (role == Role.TOOL) {
            String id = name.equals("function") ? "call_" + author : text(message, "tool_call_id", "messages");
            return new Message(
                    role,
                    List.of(new ContentPart.Result(id, flat(message.path("content"), "messages.content"), false)),
                    null);
        }
        List<ContentPart> parts = new ArrayList<>();
        if (message.hasNonNull("content")) {
            parts.addAll(parts(message.get("content"), "messages.content"));
        } else if (role != Role.ASSISTANT) {
            throw UntranslatableRequestException.malformed("messages.content", "is missing");
        }
        if (message.hasNonNull("refusal")) {
            parts.add(new ContentPart.Refusal(message.get("refusal").asText()));
        }
        for (JsonNode call : message.path("tool_calls")) {
            JsonNode function = call.path("function");
            parts.add(new ContentPart.Call(
                    text(call, "id", "messages.tool_calls"),
                    text(function, "name", "messages.tool_calls.function"),
                    function.path("arguments").asText("{}")));
        }
        if (message.hasNonNull("function_call")) {
            JsonNode call = message.get("function_call");
            String called = text(call, "name", "messages.function_call");
            parts.add(new ContentPart.Call(
                    "call_" + called, called, call.path("arguments").asText("{}")));
        }
        return new Message(role, parts, author);
    }

    /** Content as a string or a list of parts, by the names that the formats have for them. */
    private static List<ContentPart> parts(JsonNode content, String where) {
        if (content.isTextual()) {
            return List.of(new ContentPart.Text(content.asText()));
        }
        if (!content.isArray()) {
            throw UntranslatableRequestException.malformed(where, "must be a string or a list of parts");
        }
        List<ContentPart> parts = new ArrayList<>();
        for (JsonNode part : content) {
            parts.add(part(part, where));
        }
        return parts;
    }

    private static ContentPart part(JsonNode part, String where) {
        String type = part.path("type").asText();
        return switch (type) {
            case "text", "input_text", "output_text" -> new ContentPart.Text(text(part, "text", where));
            case "refusal" -> new ContentPart.Refusal(text(part, "refusal", where));
            case "image_url" ->
                new ContentPart.Image(
                        text(part.path("image_url"), "url", where + ".image_url"),
                        part.path("image_url").path("detail").asText(null));
            case "input_image" ->
                new ContentPart.Image(
                        text(part, "image_url", where), part.path("detail").asText(null));
            case "image" -> new ContentPart.Image(source(part.path("source"), where), null);
            case "input_audio" ->
                new ContentPart.Audio(
                        text(part.path("input_audio"), "data", where + ".input_audio"),
                        part.path("input_audio").path("format").asText("wav"));
            case "file" -> file(part.path("file"));
            case "input_file" -> file(part);
            case "document" ->
                new ContentPart.File(part.path("title").asText(null), source(part.path("source"), where), null);
            case "tool_use" ->
                new ContentPart.Call(
                        text(part, "id", where),
                        text(part, "name", where),
                        part.path("input").toString());
            case "tool_result" ->
                new ContentPart.Result(
                        text(part, "tool_use_id", where),
                        part.has("content") ? flat(part.get("content"), where + ".content") : "",
                        part.path("is_error").asBoolean());
            case "thinking" ->
                new ContentPart.Thought(
                        part.path("thinking").asText(), part.path("signature").asText(null));
            case "redacted_thinking" ->
                new ContentPart.Thought("", part.path("data").asText(null));
            default -> throw UntranslatableRequestException.malformed(where + ".type", "is not known: " + type);
        };
    }

    private static ContentPart file(JsonNode file) {
        return new ContentPart.File(
                file.path("filename").asText(null),
                file.path("file_data").asText(null),
                file.path("file_id").asText(null));
    }

    /** A block's source as an address. */
    private static String source(JsonNode source, String where) {
        return switch (source.path("type").asText()) {
            case "url" -> text(source, "url", where + ".source");
            case "base64" ->
                "data:" + text(source, "media_type", where + ".source") + ";base64,"
                        + text(source, "data", where + ".source");
            case "text" -> "data:text/plain," + text(source, "data", where + ".source");
            default ->
                throw UntranslatableRequestException.malformed(where + ".source.type", "must be url, base64 or text");
        };
    }

    /** The text of what a tool gave. */
    private static String flat(JsonNode content, String where) {
        StringBuilder text = new StringBuilder();
        for (ContentPart part : parts(content, where)) {
            if (!(part instanceof ContentPart.Text piece)) {
                throw UntranslatableRequestException.malformed(where, "of a tool's result must be text");
            }
            text.append(piece.text());
        }
        return text.toString();
    }

    private static String text(JsonNode node, String field, String where) {
        if (!node.path(field).isTextual()) {
            throw UntranslatableRequestException.malformed(where + "." + field, "must be a string");
        }
        return node.get(field).asText();
    }

    private static void responses(JsonNode body, List<Message> turns) {
        if (body.hasNonNull("instructions")) {
            turns.add(
                    new Message(Role.SYSTEM, List.of(new ContentPart.Text(text(body, "instructions", "body"))), null));
        }
        JsonNode input = body.path("input");
        if (input.isTextual()) {
            turns.add(new Message(Role.USER, List.of(new ContentPart.Text(input.asText())), null));
            return;
        }
        for (JsonNode item : list(body, "input")) {
            switch (item.path("type").asText("message")) {
                case "message" ->
                    turns.add(new Message(
                            switch (item.path("role").asText()) {
                                case "system", "developer" -> Role.SYSTEM;
                                case "user" -> Role.USER;
                                case "assistant" -> Role.ASSISTANT;
                                default -> throw UntranslatableRequestException.malformed("input.role", "is not known");
                            },
                            parts(item.path("content"), "input.content"),
                            null));
                case "function_call" ->
                    join(
                            turns,
                            new ContentPart.Call(
                                    text(item, "call_id", "input"),
                                    text(item, "name", "input"),
                                    item.path("arguments").asText("{}")));
                case "function_call_output" ->
                    turns.add(new Message(
                            Role.TOOL,
                            List.of(new ContentPart.Result(
                                    text(item, "call_id", "input"), flat(item.path("output"), "input.output"), false)),
                            null));
                case "reasoning" -> {
                    StringBuilder summary = new StringBuilder();
                    item.path("summary")
                            .forEach(piece -> summary.append(piece.path("text").asText()));
                    join(
                            turns,
                            new ContentPart.Thought(
                                    summary.toString(),
                                    item.path("encrypted_content").asText(null)));
                }
                default ->
                    throw UntranslatableRequestException.malformed(
                            "input.type", "is not known: " + item.path("type").asText());
            }
        }
    }

    /** What the model said in items that follow each other is one message elsewhere. */
    private static void join(List<Message> turns, ContentPart part) {
        Message last = turns.isEmpty() ? null : turns.get(turns.size() - 1);
        if (last != null && last.role() == Role.ASSISTANT) {
            List<ContentPart> parts = new ArrayList<>(last.parts());
            parts.add(part);
            turns.set(turns.size() - 1, new Message(Role.ASSISTANT, parts, null));
        } else {
            turns.add(new Message(Role.ASSISTANT, List.of(part), null));
        }
    }

    private static Message blocks(JsonNode message) {
        String name = message.path("role").asText();
        if (!name.equals("user") && !name.equals("assistant")) {
            throw UntranslatableRequestException.malformed("messages.role", "must be user or assistant, not " + name);
        }
        List<ContentPart> parts = parts(message.path("content"), "messages.content");
        boolean results = parts.stream().anyMatch(part -> part.kind() == ContentPart.Kind.RESULT);
        return new Message(name.equals("assistant") ? Role.ASSISTANT : results ? Role.TOOL : Role.USER, parts, null);
    }

    // ---- Writing ----

    static void encode(ApiFormat to, Conversation talk, ObjectNode body, List<String> warnings) {
        TranslationTable table = TranslationTable.of(talk.from(), to);
        List<Message> turns = new ArrayList<>();
        for (Message turn : talk.messages()) {
            List<ContentPart> parts = new ArrayList<>();
            for (ContentPart part : turn.parts()) {
                switch (table.action(part.kind())) {
                    case REFUSED ->
                        throw UntranslatableRequestException.unsupported(partName(talk.from(), part.kind()), to);
                    case DROPPED ->
                        warnings.add("a part of type " + part.kind().name().toLowerCase(Locale.ROOT) + " was left out");
                    default -> parts.add(part);
                }
            }
            if (!parts.isEmpty() || turn.parts().isEmpty()) {
                turns.add(new Message(turn.role(), parts, turn.name()));
            }
        }
        switch (to) {
            case COMPLETIONS -> body.put("prompt", flatPrompt(turns, warnings));
            case CHAT -> writeChat(turns, body);
            case RESPONSES -> writeResponses(turns, body);
            case MESSAGES -> writeBlocks(turns, body);
            default -> throw new IllegalStateException(to.toString());
        }
    }

    /** A kind of part, for messages to a client. */
    static String partName(ApiFormat from, ContentPart.Kind kind) {
        return where(from) + " of type " + kind.name().toLowerCase(Locale.ROOT);
    }

    private static String where(ApiFormat from) {
        return from == ApiFormat.RESPONSES ? "input" : from == ApiFormat.COMPLETIONS ? "prompt" : "messages";
    }

    /** One message is the prompt itself; more of them are told apart by who speaks. */
    private static String flatPrompt(List<Message> turns, List<String> warnings) {
        if (turns.size() == 1) {
            return turns.get(0).text();
        }
        warnings.add("the messages were joined into one prompt");
        StringBuilder prompt = new StringBuilder();
        for (Message turn : turns) {
            prompt.append(
                            switch (turn.role()) {
                                case SYSTEM -> "";
                                case USER -> "User: ";
                                case ASSISTANT -> "Assistant: ";
                                case TOOL -> "Tool: ";
                            })
                    .append(turn.text())
                    .append("\n\n");
        }
        return prompt.append("Assistant:").toString();
    }

    private static void writeChat(List<Message> turns, ObjectNode body) {
        ArrayNode messages = body.putArray("messages");
        for (Message turn : turns) {
            for (ContentPart part : turn.parts()) {
                if (part instanceof ContentPart.Result result) {
                    messages.addObject()
                            .put("role", "tool")
                            .put("tool_call_id", result.callId())
                            .put("content", result.error() ? "Error: " + result.text() : result.text());
                }
            }
            List<ContentPart> others = turn.parts().stream()
                    .filter(p -> p.kind() != ContentPart.Kind.RESULT)
                    .toList();
            if (others.isEmpty() && turn.role() == Role.TOOL) {
                continue;
            }
            ObjectNode message = messages.addObject()
                    .put(
                            "role",
                            switch (turn.role()) {
                                case SYSTEM -> "system";
                                case ASSISTANT -> "assistant";
                                default -> "user";
                            });
            ArrayNode content = JSON.arrayNode();
            for (ContentPart part : others) {
                if (part instanceof ContentPart.Call call) {
                    ObjectNode function = message.withArray("tool_calls")
                            .addObject()
                            .put("id", call.id())
                            .put("type", "function")
                            .putObject("function");
                    function.put("name", call.name()).put("arguments", call.arguments());
                } else if (part instanceof ContentPart.Refusal refusal) {
                    message.put("refusal", refusal.text());
                } else {
                    content.add(chatPart(part));
                }
            }
            boolean plain =
                    content.size() == 1 && content.get(0).path("type").asText().equals("text");
            message.set("content", plain ? content.get(0).get("text") : content.isEmpty() ? JSON.nullNode() : content);
            if (turn.name() != null) {
                message.put("name", turn.name());
            }
        }
    }

    private static ObjectNode chatPart(ContentPart part) {
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
            file(node.put("type", "file").putObject("file"), file);
        } else {
            node.put("type", "text").put("text", ((ContentPart.Text) part).text());
        }
        return node;
    }

    private static void file(ObjectNode node, ContentPart.File file) {
        if (file.name() != null) {
            node.put("filename", file.name());
        }
        if (file.data() != null) {
            node.put("file_data", file.data());
        }
        if (file.id() != null) {
            node.put("file_id", file.id());
        }
    }

    private static void writeResponses(List<Message> turns, ObjectNode body) {
        ArrayNode input = JSON.arrayNode();
        boolean opening = true;
        StringBuilder instructions = new StringBuilder();
        for (Message turn : turns) {
            if (opening && turn.role() == Role.SYSTEM) {
                instructions.append(instructions.isEmpty() ? "" : "\n\n").append(turn.text());
                continue;
            }
            opening = false;
            ArrayNode content = JSON.arrayNode();
            List<ObjectNode> items = new ArrayList<>();
            for (ContentPart part : turn.parts()) {
                if (part instanceof ContentPart.Call call) {
                    items.add(JSON.objectNode()
                            .put("type", "function_call")
                            .put("call_id", call.id())
                            .put("name", call.name())
                            .put("arguments", call.arguments()));
                } else if (part instanceof ContentPart.Result result) {
                    items.add(JSON.objectNode()
                            .put("type", "function_call_output")
                            .put("call_id", result.callId())
                            .put("output", result.error() ? "Error: " + result.text() : result.text()));
                } else if (part instanceof ContentPart.Thought thought) {
                    ObjectNode item = JSON.objectNode().put("type", "reasoning");
                    ArrayNode summary = item.putArray("summary");
                    if (!thought.text().isEmpty()) {
                        summary.addObject().put("type", "summary_text").put("text", thought.text());
                    }
                    if (thought.signature() != null) {
                        item.put("encrypted_content", thought.signature());
                    }
                    input.add(item);
                } else {
                    content.add(item(part, turn.role()));
                }
            }
            if (!content.isEmpty()) {
                input.addObject()
                        .put("type", "message")
                        .put(
                                "role",
                                switch (turn.role()) {
                                    case SYSTEM -> "developer";
                                    case ASSISTANT -> "assistant";
                                    default -> "user";
                                })
                        .set("content", content);
            }
            items.forEach(input::add);
        }
        if (!instructions.isEmpty()) {
            body.put("instructions", instructions.toString());
        }
        body.set("input", input);
    }

    private static ObjectNode item(ContentPart part, Role role) {
        ObjectNode node = JSON.objectNode();
        if (part instanceof ContentPart.Image image) {
            node.put("type", "input_image").put("image_url", image.url());
            if (image.detail() != null) {
                node.put("detail", image.detail());
            }
        } else if (part instanceof ContentPart.File file) {
            file(node.put("type", "input_file"), file);
        } else if (part instanceof ContentPart.Refusal refusal) {
            node.put("type", "refusal").put("refusal", refusal.text());
        } else {
            node.put("type", role == Role.ASSISTANT ? "output_text" : "input_text")
                    .put("text", ((ContentPart.Text) part).text());
        }
        return node;
    }

    /** System text goes apart, and messages of one side that follow each other become one. */
    private static void writeBlocks(List<Message> turns, ObjectNode body) {
        StringBuilder system = new StringBuilder();
        ArrayNode messages = body.putArray("messages");
        for (Message turn : turns) {
            if (turn.role() == Role.SYSTEM) {
                system.append(system.isEmpty() ? "" : "\n\n").append(turn.text());
                continue;
            }
            String role = turn.role() == Role.ASSISTANT ? "assistant" : "user";
            JsonNode last = messages.isEmpty() ? null : messages.get(messages.size() - 1);
            ArrayNode content = last != null && last.path("role").asText().equals(role)
                    ? (ArrayNode) last.get("content")
                    : messages.addObject().put("role", role).putArray("content");
            turn.parts().forEach(part -> content.add(block(part)));
        }
        for (JsonNode message : messages) {
            ArrayNode content = (ArrayNode) message.get("content");
            if (content.size() == 1 && content.get(0).path("type").asText().equals("text")) {
                ((ObjectNode) message).set("content", content.get(0).get("text"));
            }
        }
        if (!system.isEmpty()) {
            body.put("system", system.toString());
        }
    }

    private static ObjectNode block(ContentPart part) {
        ObjectNode node = JSON.objectNode();
        if (part instanceof ContentPart.Image image) {
            node.put("type", "image").set("source", source(image.url()));
        } else if (part instanceof ContentPart.File file) {
            if (file.data() == null) {
                throw UntranslatableRequestException.unsupported("a file by its id", ApiFormat.MESSAGES);
            }
            node.put("type", "document").set("source", source(file.data()));
            if (file.name() != null) {
                node.put("title", file.name());
            }
        } else if (part instanceof ContentPart.Call call) {
            node.put("type", "tool_use")
                    .put("id", call.id())
                    .put("name", call.name())
                    .set("input", StrictJson.object(call.arguments(), "messages.tool_calls.function.arguments"));
        } else if (part instanceof ContentPart.Result result) {
            node.put("type", "tool_result").put("tool_use_id", result.callId()).put("content", result.text());
            if (result.error()) {
                node.put("is_error", true);
            }
        } else if (part instanceof ContentPart.Thought thought) {
            if (thought.text().isEmpty() && thought.signature() != null) {
                node.put("type", "redacted_thinking").put("data", thought.signature());
            } else {
                node.put("type", "thinking").put("thinking", thought.text());
                if (thought.signature() != null) {
                    node.put("signature", thought.signature());
                }
            }
        } else {
            node.put("type", "text")
                    .put(
                            "text",
                            part instanceof ContentPart.Refusal refusal
                                    ? refusal.text()
                                    : ((ContentPart.Text) part).text());
        }
        return node;
    }

    private static ObjectNode source(String url) {
        ObjectNode source = JSON.objectNode();
        int comma = url.indexOf(',');
        if (url.startsWith("data:") && comma > 0 && url.substring(0, comma).endsWith(";base64")) {
            return source.put("type", "base64")
                    .put("media_type", url.substring(5, comma - 7))
                    .put("data", url.substring(comma + 1));
        }
        return url.startsWith("data:text/plain,")
                ? source.put("type", "text").put("media_type", "text/plain").put("data", url.substring(comma + 1))
                : source.put("type", "url").put("url", url);
    }
}
