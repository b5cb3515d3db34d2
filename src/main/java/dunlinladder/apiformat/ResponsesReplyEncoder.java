package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes replies in the responses format as typed events with sequence numbers. {@link ResponsesObjects} builds the
 * objects in the events.
 */
final class ResponsesReplyEncoder extends ReplyEncoder {

    private static final int ONLY_CHOICE = 0;

    private final ResponsesObjects objects;
    /** The parts that have started but not finished, by index. */
    private final Map<Integer, PartBuffer> openParts = new HashMap<>();
    /** All parts so far, in the order of their indexes. */
    private final List<PartBuffer> parts = new ArrayList<>();

    private int sequenceNumber;
    private Reason reason = Reason.UNKNOWN;
    private boolean begun;

    ResponsesReplyEncoder(Identity identity) {
        super(identity);
        objects = new ResponsesObjects(identity);
    }

    @Override
    void encodeEvent(ReplyEvent event) {
        if (event instanceof ReplyEvent.Failed failed) {
            sendError(failed.error());
            return;
        }
        if (!begun) {
            begin();
        }
        if (event instanceof ReplyEvent.PartStarted started) {
            startPart(started);
        } else if (event instanceof ReplyEvent.PartDelta delta) {
            sendDelta(delta);
        } else if (event instanceof ReplyEvent.PartSignature signature) {
            parts.get(signature.part()).setSignature(signature.signature());
        } else if (event instanceof ReplyEvent.PartFinished finished) {
            finishPart(finished.part());
        } else if (event instanceof ReplyEvent.ChoiceFinished finished) {
            reason = finished.reason();
        } else if (event instanceof ReplyEvent.Completed) {
            sendEnd();
        }
    }

    private void begin() {
        begun = true;
        sendResponse("response.created", objects.inProgress());
        sendResponse("response.in_progress", objects.inProgress());
    }

    private void sendResponse(String type, ObjectNode response) {
        sendNumbered(type, JSON.objectNode().<ObjectNode>set("response", response));
    }

    /** Sends an event that consists of its type, the given fields and its sequence number, in this order. */
    private void sendNumbered(String type, ObjectNode fields) {
        ObjectNode event = JSON.objectNode().put("type", type);
        event.setAll(fields);
        event.put("sequence_number", sequenceNumber++);
        send(type, event);
    }

    private void sendError(ApiError error) {
        ObjectNode encoded =
                (ObjectNode) ErrorTranslator.encode(ApiFormat.RESPONSES, error).get("error");
        if (begun) {
            sendResponse("response.failed", objects.failed(parts, encoded));
        } else {
            sendNumbered("error", encoded);
        }
    }

    private void sendEnd() {
        String type = ResponsesObjects.isIncomplete(reason) ? "response.incomplete" : "response.completed";
        sendResponse(type, objects.finished(parts, reason, usage()));
    }

    /** Returns the fields by which an event refers to a part. */
    private ObjectNode reference(PartBuffer part) {
        return JSON.objectNode()
                .put("item_id", objects.itemId(part))
                .put("output_index", part.start().part());
    }

    private ObjectNode contentReference(PartBuffer part) {
        return reference(part).put("content_index", 0);
    }

    private ObjectNode summaryReference(PartBuffer part) {
        return reference(part).put("summary_index", 0);
    }

    private void sendItem(String type, PartBuffer part, String status) {
        ObjectNode fields = JSON.objectNode().put("output_index", part.start().part());
        sendNumbered(type, fields.<ObjectNode>set("item", objects.item(part, status)));
    }

    private void startPart(ReplyEvent.PartStarted started) {
        PartBuffer part = new PartBuffer(started);
        parts.add(part);
        openParts.put(started.part(), part);
        sendItem("response.output_item.added", part, ResponsesObjects.IN_PROGRESS);
        switch (started.kind()) {
            case TEXT, REFUSAL -> {
                ObjectNode fields = contentReference(part).set("part", objects.content(part));
                sendNumbered("response.content_part.added", fields);
            }
            case THOUGHT -> {
                ObjectNode fields = summaryReference(part).set("part", objects.summary(""));
                sendNumbered("response.reasoning_summary_part.added", fields);
            }
            default -> {
                // A tool call has no content.
            }
        }
    }

    private void sendDelta(ReplyEvent.PartDelta delta) {
        PartBuffer part = openParts.get(delta.part());
        part.append(delta);
        String text = delta.text();
        switch (part.kind()) {
            case CALL ->
                sendNumbered(
                        "response.function_call_arguments.delta",
                        reference(part).put("delta", text));
            case THOUGHT ->
                sendNumbered(
                        "response.reasoning_summary_text.delta",
                        summaryReference(part).put("delta", text));
            case REFUSAL ->
                sendNumbered("response.refusal.delta", contentReference(part).put("delta", text));
            default -> {
                ObjectNode fields = contentReference(part).put("delta", text);
                fields.set("logprobs", delta.logprobs() == null ? JSON.arrayNode() : delta.logprobs());
                sendNumbered("response.output_text.delta", fields);
            }
        }
    }

    private void finishPart(int index) {
        PartBuffer part = openParts.remove(index);
        switch (part.kind()) {
            case CALL ->
                sendNumbered(
                        "response.function_call_arguments.done", reference(part).put("arguments", part.text()));
            case THOUGHT -> finishReasoning(part);
            default -> finishContent(part);
        }
        sendItem("response.output_item.done", part, ResponsesObjects.COMPLETED);
    }

    private void finishReasoning(PartBuffer part) {
        String text = part.text();
        sendNumbered(
                "response.reasoning_summary_text.done", summaryReference(part).put("text", text));
        sendNumbered(
                "response.reasoning_summary_part.done",
                summaryReference(part).<ObjectNode>set("part", objects.summary(text)));
    }

    private void finishContent(PartBuffer part) {
        if (part.kind() == ContentPart.Kind.REFUSAL) {
            sendNumbered("response.refusal.done", contentReference(part).put("refusal", part.text()));
        } else {
            ObjectNode fields = contentReference(part).put("text", part.text());
            fields.set("logprobs", part.logprobs());
            sendNumbered("response.output_text.done", fields);
        }
        sendNumbered(
                "response.content_part.done", contentReference(part).<ObjectNode>set("part", objects.content(part)));
    }

    /** Encodes the only choice that the format has. */
    @Override
    ObjectNode encodeBody(Map<Integer, ChoiceBuffer> choices) {
        ChoiceBuffer choice = choices.get(ONLY_CHOICE);
        return objects.finished(choice.parts(), choice.finish().reason(), usage());
    }
}
