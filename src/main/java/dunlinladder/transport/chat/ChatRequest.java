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
 * The values of a chat front's request that the gateway itself uses, read and checked.
 *
 * @param modelName the model's name as the client gave it
 * @param model the settings of that model
 * @param streaming whether the client wants a stream of events rather than one body
 * @param includeUsage whether the client asked for the token usage at the end of the stream
 * @param prompt estimates of the prompt's size, at four characters per token, and the keys of its session and prefix
 * @param body the body that is sent to engines without translation; empty if the request is translated
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
     * Reads a chat completions request that is sent to the engines without translation.
     *
     * @throws ChatError if the request is invalid, names an unknown model, or asks for something that is not supported
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
        PromptMeter meter = measurePrompt(body, tenant, modelName);
        boolean streaming = body.flag("stream");
        return new ChatRequest(
                modelName,
                model,
                streaming,
                body.childOrEmpty("stream_options").flag("include_usage"),
                meter.prompt(maxOutputTokens),
                Optional.of(streaming ? content : withStreaming(body)));
    }

    private static long maxOutputTokens(JsonObject body, ChatSettings.Model model) {
        String field = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        long tokens = body.integer(field, model.defaultMaxTokens());
        if (tokens < 1) {
            throw ChatError.invalid(field + " must be 1 or more", field);
        }
        return tokens;
    }

    private static PromptMeter measurePrompt(JsonObject body, int tenant, String modelName) {
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

    /**
     * Returns the text of a message. The content may be a string or a list of text parts. It may also be absent, as in
     * a message with tool calls; the text is then empty.
     */
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

    /**
     * Returns the body with {@code stream} set to true, because engines send only streams. {@link ChatReplyRelay}
     * combines the events for a client that does not stream.
     */
    private static byte[] withStreaming(JsonObject body) {
        Map<String, Object> fields = new LinkedHashMap<>(body.fields());
        fields.put("stream", true);
        return JsonObject.write(fields).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a request that is translated for each engine. The result has no body, because the body depends on the
     * engine's format.
     *
     * @throws ChatError if the model is unknown
     */
    static ChatRequest of(Conversation conversation, ChatSettings settings, int tenant) {
        // Decoding rejects a request without a model.
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
     * Returns the settings of a model.
     *
     * @throws ChatError if the model is unknown
     */
    static ChatSettings.Model model(ChatSettings settings, String name) {
        ChatSettings.Model model = settings.models().get(name);
        if (model == null) {
            throw ChatError.unknownModel(name);
        }
        return model;
    }
}
