package dunlinladder.transport.chat;

import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.Message;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.core.Payload;
import dunlinladder.core.Request;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import dunlinladder.transport.platform.PlatformRequestReader;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A chat completion request: checked, and read for what the core wants to know.
 *
 * @param usage whether the client asked for the usage at the stream's end
 */
record ChatRequest(
        String model,
        ChatSettings.Model kind,
        boolean stream,
        boolean usage,
        double promptTokens,
        double prefixTokens,
        double maxOut,
        long session,
        long prefix,
        byte[] forward) {

    private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool", "function");
    private static final double CHARACTERS_PER_TOKEN = 4;

    /** Reads a request's body; throws a {@link ChatError} for what the API does not allow. */
    static ChatRequest read(byte[] content, ChatSettings settings, int tenant) {
        try {
            return read(JsonObject.parse(new String(content, StandardCharsets.UTF_8)), content, settings, tenant);
        } catch (InvalidInputException e) {
            throw ChatError.invalid(e.getMessage(), null);
        }
    }

    private static ChatRequest read(JsonObject body, byte[] content, ChatSettings settings, int tenant) {
        String model = body.text("model");
        ChatSettings.Model kind = kind(settings, model);
        if (body.integer("n", 1) != 1) {
            throw ChatError.invalid("only one choice is offered: n must be 1", "n");
        }
        String bound = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        long most = body.integer(bound, kind.mostTokens());
        if (most < 1) {
            throw ChatError.invalid(bound + " must be 1 or more", bound);
        }
        List<JsonObject> messages = body.children("messages");
        if (messages.isEmpty()) {
            throw ChatError.invalid("messages must not be empty", "messages");
        }
        // All turns of a conversation begin alike, up to the first message that is not an instruction.
        StringBuilder opening = new StringBuilder(tenant + "\n" + model);
        String shared = null;
        long characters = 0;
        boolean begun = false;
        for (JsonObject message : messages) {
            String role = message.text("role");
            if (!ROLES.contains(role)) {
                throw ChatError.invalid("unknown role '" + role + "'", "messages");
            }
            String text = text(message);
            characters += text.length();
            boolean instruction = role.equals("system") || role.equals("developer");
            if (!begun) {
                opening.append('\n').append(role).append('\n').append(text);
                begun = !instruction;
            }
            if (message == messages.get(0) && instruction) {
                shared = text;
            }
        }
        boolean stream = body.flag("stream");
        return new ChatRequest(
                model,
                kind,
                stream,
                body.childOrEmpty("stream_options").flag("include_usage"),
                Math.ceil(characters / CHARACTERS_PER_TOKEN),
                shared == null ? 0 : Math.floor(shared.length() / CHARACTERS_PER_TOKEN),
                most,
                PlatformRequestReader.key(opening.toString()),
                shared == null ? 0 : PlatformRequestReader.key(shared),
                stream ? content : streamed(body));
    }

    /** The text of a message, which is a string, a list of text parts, or absent beside tool calls. */
    private static String text(JsonObject message) {
        Object content = message.fields().get("content");
        if (content instanceof List) {
            StringBuilder text = new StringBuilder();
            for (JsonObject part : message.children("content")) {
                if (!part.text("type").equals("text")) {
                    throw ChatError.invalid("only text parts are taken, not " + part.text("type"), "messages");
                }
                text.append(part.text("text"));
            }
            return text.toString();
        }
        return content == null ? "" : message.text("content");
    }

    /** Figures of a request that is translated; its body depends on the engine. */
    static ChatRequest of(Conversation talk, ChatSettings settings, int tenant) {
        String model = talk.text(RequestParameter.MODEL).orElseThrow();
        ChatSettings.Model kind = kind(settings, model);
        StringBuilder opening = new StringBuilder(tenant + "\n" + model);
        String shared = null;
        long characters = 0;
        boolean begun = false;
        for (Message turn : talk.messages()) {
            String text = turn.text();
            characters += text.length();
            boolean instruction = turn.role() == Message.Role.SYSTEM;
            if (!begun) {
                opening.append('\n').append(turn.role()).append('\n').append(text);
                begun = !instruction;
            }
            shared = turn == talk.messages().get(0) && instruction ? text : shared;
        }
        return new ChatRequest(
                model,
                kind,
                talk.flag(RequestParameter.STREAM),
                talk.flag(RequestParameter.STREAM_USAGE),
                Math.ceil(characters / CHARACTERS_PER_TOKEN),
                shared == null ? 0 : Math.floor(shared.length() / CHARACTERS_PER_TOKEN),
                talk.number(RequestParameter.MAX_OUTPUT, kind.mostTokens()),
                PlatformRequestReader.key(opening.toString()),
                shared == null ? 0 : PlatformRequestReader.key(shared),
                null);
    }

    /** What a model's name stands for; throws a {@link ChatError} where it is not known. */
    static ChatSettings.Model kind(ChatSettings settings, String model) {
        ChatSettings.Model kind = settings.models().get(model);
        if (kind == null) {
            throw new ChatError(404, "The model '" + model + "' does not exist", "model", "model_not_found");
        }
        return kind;
    }

    /** Engines only stream: for a client that wants one answer the events are put together here. */
    private static byte[] streamed(JsonObject body) {
        Map<String, Object> fields = new LinkedHashMap<>(body.fields());
        fields.put("stream", true);
        return JsonObject.write(fields).getBytes(StandardCharsets.UTF_8);
    }

    /** The request as the core knows it. */
    Request toCore(String id, int tenant, double deadline, Payload payload, Predicate<String> fits) {
        return new Request(
                id,
                kind.serviceClass(),
                tenant,
                new Request.Prompt(session, prefix, promptTokens, prefixTokens, maxOut),
                deadline,
                Request.Resubmission.NONE,
                payload,
                fits);
    }
}
