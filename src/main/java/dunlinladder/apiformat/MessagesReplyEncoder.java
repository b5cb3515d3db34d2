package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes replies in the messages format. Content blocks of this format never overlap: events of other parts wait until
 * the open block has ended.
 */
final class MessagesReplyEncoder extends ReplyEncoder {

    private static final int ONLY_CHOICE = 0;
    private static final int NO_PART = -1;

    private final Map<Integer, ContentPart.Kind> kinds = new HashMap<>();
    /** Events of other parts. They wait until the current part has finished. */
    private final List<ReplyEvent> waitingEvents = new ArrayList<>();
    /** The part whose block is open, or {@link #NO_PART}. */
    private int currentPart = NO_PART;
    /** The event that finished the choice. It is set before the reply is complete. */
    private ReplyEvent.ChoiceFinished finish;

    private boolean begun;

    MessagesReplyEncoder(Identity identity) {
        super(identity);
    }

    @Override
    void encodeEvent(ReplyEvent event) {
        if (event instanceof ReplyEvent.Failed failed) {
            send("error", ErrorTranslator.encode(ApiFormat.MESSAGES, failed.error()));
            return;
        }
        if (!begun) {
            begin();
        }
        if (part(event) != NO_PART) {
            encodeInOrder(event);
        } else if (event instanceof ReplyEvent.ChoiceFinished finished) {
            finish = finished;
        } else if (event instanceof ReplyEvent.Completed) {
            sendEnd();
        }
    }

    private static ObjectNode ofType(String type) {
        return JSON.objectNode().put("type", type);
    }

    private void begin() {
        begun = true;
        ObjectNode message = message();
        message.putArray("content");
        message.putNull("stop_reason");
        message.putNull("stop_sequence");
        message.putObject("usage").put("input_tokens", 0).put("output_tokens", 0);
        send("message_start", ofType("message_start").set("message", message));
    }

    private void sendEnd() {
        ObjectNode last = ofType("message_delta");
        last.putObject("delta").put("stop_reason", reason(finish.reason())).put("stop_sequence", finish.sequence());
        last.set("usage", encodeUsage());
        send("message_delta", last);
        send("message_stop", ofType("message_stop"));
    }

    /**
     * Returns the index of an event's part, or {@link #NO_PART}. Returns a primitive because the method runs for each
     * token.
     */
    private static int part(ReplyEvent event) {
        if (event instanceof ReplyEvent.PartDelta delta) {
            return delta.part();
        }
        if (event instanceof ReplyEvent.PartStarted started) {
            return started.part();
        }
        if (event instanceof ReplyEvent.PartSignature signature) {
            return signature.part();
        }
        return event instanceof ReplyEvent.PartFinished finished ? finished.part() : NO_PART;
    }

    private void encodeInOrder(ReplyEvent event) {
        if (currentPart != NO_PART && part(event) != currentPart) {
            waitingEvents.add(event);
            return;
        }
        currentPart = part(event);
        encodeBlockEvent(event);
        if (event instanceof ReplyEvent.PartFinished) {
            currentPart = NO_PART;
            List<ReplyEvent> next = List.copyOf(waitingEvents);
            waitingEvents.clear();
            next.forEach(this::encodeInOrder);
        }
    }

    private void encodeBlockEvent(ReplyEvent event) {
        if (event instanceof ReplyEvent.PartStarted started) {
            kinds.put(started.part(), started.kind());
            startBlock(started);
        } else if (event instanceof ReplyEvent.PartDelta delta) {
            if (!delta.text().isEmpty()) {
                sendDelta(delta.part(), encodeDelta(kinds.get(delta.part()), delta.text()));
            }
        } else if (event instanceof ReplyEvent.PartSignature signature) {
            sendDelta(signature.part(), ofType("signature_delta").put("signature", signature.signature()));
        } else if (event instanceof ReplyEvent.PartFinished finished) {
            send("content_block_stop", ofType("content_block_stop").put("index", finished.part()));
        }
    }

    private void startBlock(ReplyEvent.PartStarted started) {
        ObjectNode block = switch (started.kind()) {
            case CALL -> toolUse(started).set("input", JSON.objectNode());
            case THOUGHT -> ofType("thinking").put("thinking", "").put("signature", "");
            default -> ofType("text").put("text", "");
        };
        ObjectNode event = ofType("content_block_start").put("index", started.part());
        send("content_block_start", event.set("content_block", block));
    }

    private static ObjectNode toolUse(ReplyEvent.PartStarted started) {
        return ofType("tool_use").put("id", started.callId()).put("name", started.name());
    }

    private static ObjectNode encodeDelta(ContentPart.Kind kind, String text) {
        return switch (kind) {
            case CALL -> ofType("input_json_delta").put("partial_json", text);
            case THOUGHT -> ofType("thinking_delta").put("thinking", text);
            default -> ofType("text_delta").put("text", text);
        };
    }

    private void sendDelta(int part, ObjectNode delta) {
        ObjectNode event = ofType("content_block_delta").put("index", part);
        send("content_block_delta", event.set("delta", delta));
    }

    private ObjectNode message() {
        return JSON.objectNode()
                .put("id", "msg_" + identity().id())
                .put("type", "message")
                .put("role", "assistant")
                .put("model", identity().model());
    }

    /** Returns the usage. This format counts cached tokens of the prompt separately from its uncached ones. */
    private ObjectNode encodeUsage() {
        long cached = orZero(usage().cached());
        return JSON.objectNode()
                .put("input_tokens", orZero(usage().prompt() - cached))
                .put("cache_read_input_tokens", cached)
                .put("output_tokens", orZero(usage().output()));
    }

    private static String reason(Reason reason) {
        return switch (reason) {
            case SEQUENCE -> "stop_sequence";
            case LENGTH -> "max_tokens";
            case CALLS -> "tool_use";
            case FILTER, REFUSAL -> "refusal";
            default -> "end_turn";
        };
    }

    /** Encodes the only choice that the format has. */
    @Override
    ObjectNode encodeBody(Map<Integer, ChoiceBuffer> choices) {
        ChoiceBuffer choice = choices.get(ONLY_CHOICE);
        ObjectNode body = message();
        ArrayNode content = body.putArray("content");
        choice.parts().forEach(part -> content.add(completeBlock(part)));
        body.put("stop_reason", reason(choice.finish().reason()))
                .put("stop_sequence", choice.finish().sequence());
        body.set("usage", encodeUsage());
        return body;
    }

    private static ObjectNode completeBlock(PartBuffer part) {
        String text = part.text();
        return switch (part.kind()) {
            case CALL -> toolUse(part.start()).set("input", StrictJson.object(text, "arguments"));
            case THOUGHT ->
                ofType("thinking")
                        .put("thinking", text)
                        .put("signature", part.signature().orElse(""));
            default -> ofType("text").put("text", text);
        };
    }
}
