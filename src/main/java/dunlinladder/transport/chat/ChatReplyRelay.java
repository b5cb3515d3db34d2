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
 * Relays a reply that is in the chat completions format at both ends. A streaming client gets the engine's events, with
 * the gateway's values for {@code id}, {@code object}, {@code created} and {@code model} if an event has none. For any
 * other client the events are combined into one body.
 *
 * <p>Not thread-safe: the calls must come one at a time.
 */
final class ChatReplyRelay {

    private static final String DONE = "[DONE]";

    private final ClientRequest client;
    private final MonotonicClock clock;
    /** Opens the client's stream if it is not open yet, and returns the buffer for the text that is sent next. */
    private final Supplier<StringBuilder> output;

    private final ServerSentEventReader events = new ServerSentEventReader((name, data) -> accept(data));
    /** The text of the reply so far; stays empty for a streaming client. */
    private final StringBuilder text = new StringBuilder();

    private boolean eventSent;
    private boolean doneReceived;
    private boolean failed;
    private Object finishReason;
    private Map<String, Object> usage = Map.of();

    ChatReplyRelay(ClientRequest client, MonotonicClock clock, Supplier<StringBuilder> output) {
        this.client = client;
        this.clock = clock;
        this.output = output;
    }

    /** Reads the next part of the engine's stream. */
    void read(ByteBuffer part) {
        events.read(part);
    }

    /** Whether the closing event has come, with no error and no malformed event before it. */
    boolean isComplete() {
        return doneReceived && !failed;
    }

    private void accept(String data) {
        if (doneReceived || failed) {
            return;
        }
        if (data.equals(DONE)) {
            doneReceived = true;
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
            if (!client.details().streaming()) {
                text.append(choice.childOrEmpty("delta").text("content", ""));
            }
            finishReason = choice.has("finish_reason") ? choice.text("finish_reason") : finishReason;
        }
        if (client.details().streaming()
                && (!choices.isEmpty() || client.details().includeUsage())) {
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

    /** Returns a stream's first choice with the role in its delta, for an engine that leaves the role out. */
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
        fields.put("model", client.details().modelName());
        return fields;
    }

    /** Queues an event with this data for the client. */
    void send(String data) {
        eventSent = true;
        output.get().append("data: ").append(data).append("\n\n");
    }

    /** Queues the closing event for the client. */
    void sendDone() {
        send(DONE);
    }

    /** Returns the whole reply as one body, for a client that does not stream. */
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
