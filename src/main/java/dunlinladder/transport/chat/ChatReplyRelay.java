package dunlinladder.transport.chat;

import dunlinladder.apiformat.ServerSentEventReader;
import dunlinladder.core.MonotonicClock;
import dunlinladder.transport.json.InvalidInputException;
import dunlinladder.transport.json.JsonObject;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The reply of an engine that speaks the chat completions format, for a client of the same: passes its events on with
 * the gateway's identity in place of the engine's, or puts them together for a client that wants one answer. For one
 * thread at a time, the one that reads the engine's stream.
 */
final class ChatReplyRelay {

    private static final String DONE = "[DONE]";

    private final ClientRequest client;
    private final MonotonicClock clock;
    /** Opens the client's stream where it is not open and gives the text that goes to it next. */
    private final Supplier<StringBuilder> output;

    private final ServerSentEventReader events = new ServerSentEventReader((name, data) -> accept(data));
    /** The reply's text so far, for a client that wants one answer. */
    private final StringBuilder text = new StringBuilder();

    private boolean eventSent;
    private boolean done;
    private boolean failed;
    private Object finishReason;
    private Map<String, Object> usage = Map.of();

    ChatReplyRelay(ClientRequest client, MonotonicClock clock, Supplier<StringBuilder> output) {
        this.client = client;
        this.clock = clock;
        this.output = output;
    }

    /** Takes a piece of the engine's stream. */
    void read(ByteBuffer piece) {
        events.read(piece);
    }

    /** Whether the reply came to its closing event without an error in it. */
    boolean isComplete() {
        return done && !failed;
    }

    private void accept(String data) {
        if (done || failed) {
            return;
        }
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        try {
            JsonObject event = JsonObject.parse(data);
            if (event.has("error")) {
                failed = true;
            } else {
                acceptChunk(event);
            }
        } catch (InvalidInputException e) {
            failed = true;
        }
    }

    private void acceptChunk(JsonObject event) {
        List<JsonObject> choices = event.has("choices") ? event.children("choices") : List.of();
        if (event.has("usage")) {
            usage = event.child("usage").fields();
        }
        if (!choices.isEmpty()) {
            JsonObject choice = choices.get(0);
            if (!client.asked().streaming()) {
                text.append(choice.childOrEmpty("delta").text("content", ""));
            }
            finishReason = choice.has("finish_reason") ? choice.text("finish_reason") : finishReason;
        }
        if (client.asked().streaming() && (!choices.isEmpty() || client.asked().includeUsage())) {
            sendChunk(event, choices);
        }
    }

    private void sendChunk(JsonObject event, List<JsonObject> choices) {
        Map<String, Object> fields = envelope("chat.completion.chunk");
        fields.putAll(event.fields());
        if (!eventSent && !choices.isEmpty()) {
            fields.put("choices", List.of(withRole(choices.get(0))));
        }
        send(JsonObject.write(fields));
    }

    /** The first choice of a stream names the role, whether the engine did or not. */
    private static Map<String, Object> withRole(JsonObject choice) {
        Map<String, Object> delta = new LinkedHashMap<>(Map.of("role", "assistant"));
        delta.putAll(choice.childOrEmpty("delta").fields());
        Map<String, Object> fields = new LinkedHashMap<>(choice.fields());
        fields.put("delta", delta);
        return fields;
    }

    private Map<String, Object> envelope(String object) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", "chatcmpl-" + client.id());
        fields.put("object", object);
        fields.put("created", (long) clock.now());
        fields.put("model", client.asked().modelName());
        return fields;
    }

    /** Adds an event to what goes to the client. */
    void send(String data) {
        eventSent = true;
        output.get().append("data: ").append(data).append("\n\n");
    }

    /** Adds the closing event to what goes to the client. */
    void sendDone() {
        send(DONE);
    }

    /** The whole reply, for a client that wants one answer. */
    String completeReply() {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("message", Map.of("role", "assistant", "content", text.toString()));
        choice.put("finish_reason", finishReason);
        Map<String, Object> fields = envelope("chat.completion");
        fields.put("choices", List.of(choice));
        fields.put("usage", usage);
        return JsonObject.write(fields);
    }
}
