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
 * Decodes one reply of an engine into the neutral model, event by event. Input that cannot be understood becomes a
 * {@link ReplyEvent.Failed} of kind {@link ApiError.Kind#GARBLED}. After a failure or the closing event, the rest of
 * the stream is ignored.
 *
 * <p>The decoder of a format calls the methods of this class, which keep the order of events: a part starts before it
 * grows, a part finishes before its choice does, and the reply completes last. The decoder of a format identifies each
 * part by a key that it chooses itself.
 *
 * <p>Not thread-safe.
 */
public abstract class ReplyDecoder {

    private static final String DONE_MARKER = "[DONE]";

    /** The position of a part in the neutral model: the index of its choice and its index within the choice. */
    private record Position(int choice, int part) {}

    private final List<ReplyEvent> events = new ArrayList<>();
    /** The parts that have started but not finished, by the key that the decoder of the format gives them. */
    private final Map<String, Position> openParts = new LinkedHashMap<>();
    /** The number of parts that each choice has had so far, by the choice's index. */
    private final Map<Integer, Integer> partCounts = new HashMap<>();

    private final Set<Integer> finishedChoices = new HashSet<>();
    private boolean started;
    private boolean ended;

    /** Creates the decoder of one reply in the given format. */
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
     * @param name the name of the server-sent event, or null
     * @param data the data of the event
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
            failGarbled("an event is not a JSON object");
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
            failGarbled("the answer is not a JSON object");
            return takeEvents();
        }
        if (node.path("error").isObject()) {
            fail(node);
        } else {
            decodeBody(node);
        }
        return takeEvents();
    }

    /** Handles the normal end of the stream. A reply whose closing event has not arrived fails. */
    public final List<ReplyEvent> endOfStream() {
        if (!ended) {
            failGarbled("the answer ended without its closing event");
        }
        return takeEvents();
    }

    /**
     * Decodes one event. {@code type} is the event's own type, or else the name of the server-sent event, or else
     * empty.
     */
    abstract void decode(String type, JsonNode event);

    /** Decodes a complete reply. */
    abstract void decodeBody(JsonNode body);

    /** Decodes the marker after the last event. Only some formats have it; in the others it makes the reply fail. */
    void decodeDoneMarker() {
        failGarbled("a marker that does not belong there");
    }

    private List<ReplyEvent> takeEvents() {
        List<ReplyEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    // ---- Methods for the decoders of the formats ----

    /**
     * Starts the reply with the id, the model and the creation time of {@code reply}. Only the first call has an
     * effect.
     */
    final void start(JsonNode reply, String createdField) {
        if (!started) {
            started = true;
            String id = reply.path("id").asText("");
            String model = reply.path("model").asText("");
            events.add(
                    new ReplyEvent.Started(id, model, reply.path(createdField).asLong()));
        }
    }

    /** Starts a part that is not a tool call, unless it is already open. */
    final void startPart(int choice, String key, ContentPart.Kind kind) {
        if (!isOpen(key)) {
            Position position = open(choice, key);
            events.add(new ReplyEvent.PartStarted(choice, position.part, kind, null, null));
        }
    }

    /** Starts a tool call, unless it is already open. */
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

    /** Adds text to a part, which must be open. */
    final void append(String key, String text) {
        append(key, text, null);
    }

    /** Adds text to a part, which must be open, with the log probabilities of its tokens, or null. */
    final void append(String key, String text, JsonNode logprobs) {
        Position position = openParts.get(key);
        if (position == null) {
            failGarbled("a piece of a part that is not open");
        } else if (!text.isEmpty() || logprobs != null) {
            events.add(new ReplyEvent.PartDelta(position.choice, position.part, text, logprobs));
        }
    }

    /**
     * Adds the signature or the encrypted form of a part. A null or empty {@code signature} is ignored, and so is one
     * for a part that is not open.
     */
    final void addSignature(String key, String signature) {
        Position position = openParts.get(key);
        if (position != null && signature != null && !signature.isEmpty()) {
            events.add(new ReplyEvent.PartSignature(position.choice, position.part, signature));
        }
    }

    /** Finishes a part if it is open. */
    final void finishPart(String key) {
        Position position = openParts.remove(key);
        if (position != null) {
            events.add(new ReplyEvent.PartFinished(position.choice, position.part));
        }
    }

    /**
     * Finishes a choice and its open parts. A choice finishes only once. {@code sequence} is the stop sequence, or
     * null.
     */
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

    /** Reports the usage that the engine sent. */
    final void reportUsage(ReplyEvent.Usage usage) {
        events.add(usage);
    }

    /** Completes the reply. A reply without a finished choice, or with an open part, fails instead. */
    final void complete() {
        if (finishedChoices.isEmpty() || !openParts.isEmpty()) {
            failGarbled("the answer ended before it was whole");
        } else {
            ended = true;
            events.add(new ReplyEvent.Completed());
        }
    }

    /**
     * Fails the reply with the error that the engine reports in {@code body}. The error is decoded as one in the middle
     * of a stream, which has no HTTP status.
     */
    final void fail(JsonNode body) {
        fail(ErrorTranslator.decode(ErrorTranslator.IN_STREAM, body));
    }

    /** Fails the reply because it cannot be understood. */
    final void failGarbled(String reason) {
        fail(new ApiError(ApiError.Kind.GARBLED, reason, Optional.empty()));
    }

    private void fail(ApiError error) {
        ended = true;
        events.add(new ReplyEvent.Failed(error));
    }

    // ---- Reading JSON ----

    /** Returns a token count, or {@link ReplyEvent.Usage#UNKNOWN_TOKENS} if the field holds no number. */
    static long tokens(JsonNode node, String field) {
        return node.path(field).isNumber() ? node.get(field).asLong() : ReplyEvent.Usage.UNKNOWN_TOKENS;
    }

    /** Returns a field's text, or an empty string if the field holds no string. */
    static String text(JsonNode node, String field) {
        return node.path(field).isTextual() ? node.get(field).asText() : "";
    }

    /**
     * Returns a field's text, or null if the field is missing or null. Nullable rather than optional because the method
     * runs for each token of a reply.
     */
    static String textOrNull(JsonNode node, String field) {
        return node.path(field).asText(null);
    }

    /**
     * Returns log probabilities, or null if there are none. Nullable rather than optional because the method runs for
     * each token of a reply.
     */
    static JsonNode logprobsOrNull(JsonNode logprobs) {
        return logprobs.isNull() || logprobs.isMissingNode() ? null : logprobs;
    }
}
