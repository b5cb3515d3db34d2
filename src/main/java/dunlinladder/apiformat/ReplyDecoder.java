package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decodes one reply of an engine into the neutral model, event by event. What cannot be understood becomes a
 * {@link ReplyEvent.Failed} of kind {@link ApiError.Kind#GARBLED}; after that, and after the closing event, the rest of
 * the stream is ignored.
 *
 * <p>A format's decoder calls the methods of this class, which keep the order of events: a part starts before it grows,
 * finishes before its choice does, and the reply completes last. It names each part by a key of its own.
 *
 * <p>Not thread-safe.
 */
public abstract class ReplyDecoder {

    private static final String DONE_MARKER = "[DONE]";

    /** Where a part stands in the neutral model. */
    private record Position(int choice, int part) {}

    private final List<ReplyEvent> events = new ArrayList<>();
    /** The parts that have started and not finished, by the key that the format's decoder has for them. */
    private final Map<String, Position> openParts = new LinkedHashMap<>();
    /** How many parts each choice has had. */
    private final Map<Integer, Integer> partCounts = new HashMap<>();

    private final Set<Integer> finishedChoices = new HashSet<>();
    private boolean started;
    private boolean ended;

    /** Creates the decoder of one reply in a format. */
    public static ReplyDecoder of(ApiFormat format) {
        return switch (format) {
            case COMPLETIONS -> new CompletionsReplyDecoder();
            case CHAT -> new ChatReplyDecoder();
            case RESPONSES -> new ResponsesReplyDecoder();
            case MESSAGES -> new MessagesReplyDecoder();
        };
    }

    /**
     * Decodes an event of a stream.
     *
     * @param name of the server-sent event, or null
     * @param data of the event
     */
    public final List<ReplyEvent> decodeEvent(String name, String data) {
        if (ended) {
            return List.of();
        }
        if (data.equals(DONE_MARKER)) {
            decodeDoneMarker();
            return takeEvents();
        }
        JsonNode node = StrictJson.parse(data);
        if (!node.isObject()) {
            garbled("an event is not a JSON object");
        } else if (node.path("error").isObject() && !node.has("choices")) {
            fail(node);
        } else {
            decode(node.path("type").asText(name == null ? "" : name), node);
        }
        return takeEvents();
    }

    /** Decodes a complete reply that was not streamed. */
    public final List<ReplyEvent> decodeComplete(byte[] body) {
        JsonNode node;
        try {
            node = StrictJson.body(body);
        } catch (UntranslatableRequestException e) {
            garbled("the answer is not a JSON object");
            return takeEvents();
        }
        if (node.path("error").isObject()) {
            fail(node);
        } else {
            decodeBody(node);
        }
        return takeEvents();
    }

    /** The stream ended in order: a reply without its closing event has failed. */
    public final List<ReplyEvent> endOfStream() {
        if (!ended) {
            garbled("the answer ended without its closing event");
        }
        return takeEvents();
    }

    /** Decodes one event; {@code type} is its own, or the name of the server-sent event, or empty. */
    abstract void decode(String type, JsonNode event);

    /** Decodes a complete reply. */
    abstract void decodeBody(JsonNode body);

    /** Decodes the marker after the last event, which only some formats have. */
    void decodeDoneMarker() {
        garbled("a marker that does not belong there");
    }

    private List<ReplyEvent> takeEvents() {
        List<ReplyEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    // ---- What the formats' decoders report ----

    /** The reply starts; only the first call counts. */
    final void start(JsonNode reply, String createdField) {
        if (!started) {
            started = true;
            String id = reply.path("id").asText("");
            String model = reply.path("model").asText("");
            events.add(
                    new ReplyEvent.Started(id, model, reply.path(createdField).asLong()));
        }
    }

    /** A part starts that is no call, unless it is open already. */
    final void startPart(int choice, String key, ContentPart.Kind kind) {
        if (!isOpen(key)) {
            Position position = open(choice, key);
            events.add(new ReplyEvent.PartStarted(choice, position.part, kind, null, null));
        }
    }

    /** A call of a tool starts, unless it is open already. */
    final void startCall(int choice, String key, String callId, String tool) {
        if (!isOpen(key)) {
            Position position = open(choice, key);
            events.add(new ReplyEvent.PartStarted(choice, position.part, ContentPart.Kind.CALL, callId, tool));
        }
    }

    private Position open(int choice, String key) {
        Position position = new Position(choice, partCounts.merge(choice, 1, Integer::sum) - 1);
        openParts.put(key, position);
        return position;
    }

    final boolean isOpen(String key) {
        return openParts.containsKey(key);
    }

    /** A part grows; it must be open. */
    final void append(String key, String text) {
        append(key, text, null);
    }

    /** A part grows, with the log probabilities of its tokens, or null. */
    final void append(String key, String text, JsonNode logprobs) {
        Position position = openParts.get(key);
        if (position == null) {
            garbled("a piece of a part that is not open");
        } else if (!text.isEmpty() || logprobs != null) {
            events.add(new ReplyEvent.PartDelta(position.choice, position.part, text, logprobs));
        }
    }

    /** A part is signed or encrypted; a signature that is null or empty is none. */
    final void sign(String key, String signature) {
        Position position = openParts.get(key);
        if (position != null && signature != null && !signature.isEmpty()) {
            events.add(new ReplyEvent.PartSignature(position.choice, position.part, signature));
        }
    }

    /** A part is complete, if it is open. */
    final void finishPart(String key) {
        Position position = openParts.remove(key);
        if (position != null) {
            events.add(new ReplyEvent.PartFinished(position.choice, position.part));
        }
    }

    /** A choice is complete, and with it its open parts; {@code sequence} is the stop sequence, or null. */
    final void finishChoice(int choice, Reason reason, String sequence) {
        for (String key : openKeys(choice)) {
            finishPart(key);
        }
        if (finishedChoices.add(choice)) {
            events.add(new ReplyEvent.ChoiceFinished(choice, reason, sequence));
        }
    }

    private List<String> openKeys(int choice) {
        List<String> keys = new ArrayList<>();
        openParts.forEach((key, position) -> {
            if (position.choice == choice) {
                keys.add(key);
            }
        });
        return keys;
    }

    /** The engine reports its usage. */
    final void report(ReplyEvent.Usage usage) {
        events.add(usage);
    }

    /** The reply is complete, if at least one choice is and no part is open. */
    final void complete() {
        if (finishedChoices.isEmpty() || !openParts.isEmpty()) {
            garbled("the answer ended before it was whole");
        } else {
            ended = true;
            events.add(new ReplyEvent.Completed());
        }
    }

    /** The engine reports an error in the middle of the reply. */
    final void fail(JsonNode body) {
        fail(ErrorTranslator.decode(ErrorTranslator.IN_STREAM, body));
    }

    /** The reply cannot be understood. */
    final void garbled(String reason) {
        fail(new ApiError(ApiError.Kind.GARBLED, reason, Optional.empty()));
    }

    private void fail(ApiError error) {
        ended = true;
        events.add(new ReplyEvent.Failed(error));
    }

    // ---- Reading JSON ----

    /** A number of tokens, or {@link ReplyEvent.Usage#UNKNOWN_TOKENS}. */
    static long tokens(JsonNode node, String field) {
        return node.path(field).isNumber() ? node.get(field).asLong() : ReplyEvent.Usage.UNKNOWN_TOKENS;
    }

    /** A field's text, or empty. */
    static String text(JsonNode node, String field) {
        return node.path(field).isTextual() ? node.get(field).asText() : "";
    }

    /** A field's text, or null; not optional, since each token of a reply passes here. */
    static String textOrNull(JsonNode node, String field) {
        return node.path(field).asText(null);
    }

    /** Log probabilities, or null where there are none; not optional, since each token of a reply passes here. */
    static JsonNode logprobsOrNull(JsonNode logprobs) {
        return logprobs.isNull() || logprobs.isMissingNode() ? null : logprobs;
    }
}
