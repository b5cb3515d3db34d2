package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.List;

/** Builds the objects of a reply in the responses format: the response, its items and their content. */
final class ResponsesObjects {

    static final String IN_PROGRESS = "in_progress";
    static final String COMPLETED = "completed";
    private static final String INCOMPLETE = "incomplete";
    private static final String FAILED = "failed";

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final ReplyEncoder.Identity identity;

    ResponsesObjects(ReplyEncoder.Identity identity) {
        this.identity = identity;
    }

    /** Whether a reply that ended for the given reason counts as incomplete. */
    static boolean isIncomplete(Reason reason) {
        return reason == Reason.LENGTH || reason == Reason.FILTER;
    }

    /** Returns the response before it has any item. */
    ObjectNode inProgress() {
        ObjectNode response = response(IN_PROGRESS);
        response.putNull("incomplete_details");
        response.putArray("output");
        response.putNull("usage");
        return response;
    }

    /** Returns a failed response with the items so far and the error's {@code code} and {@code message}. */
    ObjectNode failed(List<PartBuffer> parts, ObjectNode error) {
        ObjectNode response = response(FAILED);
        response.putNull("incomplete_details");
        putOutput(response, parts, COMPLETED);
        response.putNull("usage");
        response.putObject("error")
                .put("code", error.get("code").asText())
                .put("message", error.get("message").asText());
        return response;
    }

    /** Returns a response that has ended. It is incomplete or completed, depending on {@code reason}. */
    ObjectNode finished(List<PartBuffer> parts, Reason reason, ReplyEvent.Usage usage) {
        String status = isIncomplete(reason) ? INCOMPLETE : COMPLETED;
        ObjectNode response = response(status);
        if (isIncomplete(reason)) {
            response.putObject("incomplete_details")
                    .put("reason", reason == Reason.FILTER ? "content_filter" : "max_output_tokens");
        } else {
            response.putNull("incomplete_details");
        }
        putOutput(response, parts, status);
        putUsage(response, usage);
        return response;
    }

    private ObjectNode response(String status) {
        ObjectNode response = JSON.objectNode()
                .put("id", "resp_" + identity.id())
                .put("object", "response")
                .put("created_at", identity.created())
                .put("status", status)
                .put("model", identity.model());
        response.putNull("error");
        return response;
    }

    private void putOutput(ObjectNode response, List<PartBuffer> parts, String itemStatus) {
        ArrayNode output = response.putArray("output");
        parts.forEach(part -> output.add(item(part, itemStatus)));
    }

    private static void putUsage(ObjectNode response, ReplyEvent.Usage usage) {
        long input = ReplyEncoder.orZero(usage.prompt());
        long output = ReplyEncoder.orZero(usage.output());
        ObjectNode node = response.putObject("usage").put("input_tokens", input);
        node.putObject("input_tokens_details").put("cached_tokens", ReplyEncoder.orZero(usage.cached()));
        node.put("output_tokens", output);
        node.putObject("output_tokens_details").put("reasoning_tokens", ReplyEncoder.orZero(usage.reasoning()));
        node.put("total_tokens", input + output);
    }

    /** Returns the id of the item that represents a part. */
    String itemId(PartBuffer part) {
        String prefix = switch (part.kind()) {
            case CALL -> "fc_";
            case THOUGHT -> "rs_";
            default -> "msg_";
        };
        return prefix + identity.id() + "_" + part.start().part();
    }

    /** Returns the item that represents a part. */
    ObjectNode item(PartBuffer part, String status) {
        ObjectNode item = JSON.objectNode().put("id", itemId(part));
        switch (part.kind()) {
            case CALL -> putCall(item, part, status);
            case THOUGHT -> putReasoning(item, part);
            default -> putMessage(item, part, status);
        }
        return item;
    }

    private static void putCall(ObjectNode item, PartBuffer part, String status) {
        item.put("type", "function_call")
                .put("status", status)
                .put("call_id", part.start().callId())
                .put("name", part.start().name())
                .put("arguments", part.text());
    }

    private void putReasoning(ObjectNode item, PartBuffer part) {
        ArrayNode summary = item.put("type", "reasoning").putArray("summary");
        if (!part.text().isEmpty()) {
            summary.add(summary(part.text()));
        }
        part.signature().ifPresent(signature -> item.put("encrypted_content", signature));
    }

    private void putMessage(ObjectNode item, PartBuffer part, String status) {
        ArrayNode content = item.put("type", "message")
                .put("status", status)
                .put("role", "assistant")
                .putArray("content");
        if (!status.equals(IN_PROGRESS)) {
            content.add(content(part));
        }
    }

    /** Returns the content of a text or refusal part. */
    ObjectNode content(PartBuffer part) {
        if (part.kind() == ContentPart.Kind.REFUSAL) {
            return JSON.objectNode().put("type", "refusal").put("refusal", part.text());
        }
        ObjectNode node = JSON.objectNode().put("type", "output_text").put("text", part.text());
        node.putArray("annotations");
        node.set("logprobs", part.logprobs());
        return node;
    }

    /** Returns a summary of reasoning with the given text. */
    ObjectNode summary(String text) {
        return JSON.objectNode().put("type", "summary_text").put("text", text);
    }
}
