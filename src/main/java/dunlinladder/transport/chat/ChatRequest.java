package dunlinladder.transport.chat;

import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.Message;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.core.Request;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a request of the chat front asks for: checked, and read for what the core wants to know.
 *
 * @param modelName as the client gave it
 * @param model what that name stands for
 * @param streaming whether the client wants events rather than one whole answer
 * @param includeUsage whether the client asked for the usage at the stream's end
 * @param prompt estimates, at four characters to a token
 * @param body what goes to engines that speak the client's own format; empty where the request is translated
 */
record ChatRequest(
        String modelName,
        ChatSettings.Model model,
        boolean streaming,
        boolean includeUsage,
        Request.Prompt prompt,
        Optional<byte[]> body) {

    private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool", "function");

    /**
     * Reads a chat completions request, which goes on to the engines as it is.
     *
     * @throws ChatError for what the API does not allow
     */
    static ChatRequest read(byte[] content, ChatSettings settings, int tenant) {
        try {
            return read(JsonObject.parse(new String(content, StandardCharsets.UTF_8)), content, settings, tenant);
        } catch (InvalidInputException e) {
            throw ChatError.invalid(e.getMessage());
        }
    }

    private static ChatRequest read(JsonObject body, byte[] content, ChatSettings settings, int tenant) {
        String modelName = body.text("model");
        ChatSettings.Model model = model(settings, modelName);
        if (body.integer("n", 1) != 1) {
            throw ChatError.invalid("only one choice is offered: n must be 1", "n");
        }
        long maxOutputTokens = maxOutputTokens(body, model);
        PromptMeter meter = measure(body, tenant, modelName);
        boolean streaming = body.flag("stream");
        return new ChatRequest(
                modelName,
                model,
                streaming,
                body.childOrEmpty("stream_options").flag("include_usage"),
                meter.prompt(maxOutputTokens),
                Optional.of(streaming ? content : asStream(body)));
    }

    private static long maxOutputTokens(JsonObject body, ChatSettings.Model model) {
        String field = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        long tokens = body.integer(field, model.defaultMaxTokens());
        if (tokens < 1) {
            throw ChatError.invalid(field + " must be 1 or more", field);
        }
        return tokens;
    }

    private static PromptMeter measure(JsonObject body, int tenant, String modelName) {
        List<JsonObject> messages = body.children("messages");
        if (messages.isEmpty()) {
            throw ChatError.invalid("messages must not be empty", "messages");
        }
        PromptMeter meter = new PromptMeter(tenant, modelName);
        for (JsonObject message : messages) {
            String role = message.text("role");
            if (!ROLES.contains(role)) {
                throw ChatError.invalid("unknown role '" + role + "'", "messages");
            }
            meter.add(role, text(message), role.equals("system") || role.equals("developer"));
        }
        return meter;
    }

    /** The text of a message, which is a string, a list of text parts, or absent beside tool calls. */
    private static String text(JsonObject message) {
        Object content = message.fields().get("content");
        if (content == null) {
            return "";
        }
        if (!(content instanceof List)) {
            return message.text("content");
        }
        StringBuilder text = new StringBuilder();
        for (JsonObject part : message.children("content")) {
            if (!part.text("type").equals("text")) {
                throw ChatError.invalid("only text parts are taken, not " + part.text("type"), "messages");
            }
            text.append(part.text("text"));
        }
        return text.toString();
    }

    /** Engines only stream: for a client that wants one answer the events are put together here. */
    private static byte[] asStream(JsonObject body) {
        Map<String, Object> fields = new LinkedHashMap<>(body.fields());
        fields.put("stream", true);
        return JsonObject.write(fields).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * What a conversation asks for that is translated; its body depends on the engine.
     *
     * @throws ChatError where its model is not known
     */
    static ChatRequest of(Conversation conversation, ChatSettings settings, int tenant) {
        // A conversation always names its model: decoding has seen to that.
        String modelName = conversation.text(RequestParameter.MODEL).orElseThrow();
        ChatSettings.Model model = model(settings, modelName);
        PromptMeter meter = new PromptMeter(tenant, modelName);
        for (Message message : conversation.messages()) {
            boolean instruction = message.role() == Message.Role.SYSTEM;
            meter.add(message.role().toString(), message.text(), instruction);
        }
        return new ChatRequest(
                modelName,
                model,
                conversation.flag(RequestParameter.STREAM),
                conversation.flag(RequestParameter.STREAM_USAGE),
                meter.prompt(conversation.number(RequestParameter.MAX_OUTPUT, model.defaultMaxTokens())),
                Optional.empty());
    }

    /**
     * What a model's name stands for.
     *
     * @throws ChatError where it is not known
     */
    static ChatSettings.Model model(ChatSettings settings, String name) {
        ChatSettings.Model model = settings.models().get(name);
        if (model == null) {
            throw ChatError.unknownModel(name);
        }
        return model;
    }
}
