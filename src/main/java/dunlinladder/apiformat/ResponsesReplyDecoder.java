package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.HashSet;
import java.util.Set;

/**
 * Decodes replies in the responses format, which consist of items. An item may hold content parts. Typed events report
 * on the items and content parts.
 */
final class ResponsesReplyDecoder extends ReplyDecoder {

    /** The index of the choice: the format has only one. */
    private static final int ONLY_CHOICE = 0;

    private boolean hasCalls;
    private boolean hasRefusal;
    /**
     * The keys of tool calls whose arguments have arrived. The closing event of a call repeats its arguments; the
     * decoder uses them only if no delta has arrived before.
     */
    private final Set<String> callsWithArguments = new HashSet<>();

    @Override
    void decode(String type, JsonNode event) {
        String item = event.path("output_index").asText();
        switch (type) {
            case "response.created" -> start(event.path("response"), "created_at");
            case "response.output_item.added" -> startItem(item, event.path("item"));
            case "response.content_part.added" -> startContent(contentKey(item, event), event.path("part"));
            case "response.output_text.delta" ->
                append(contentKey(item, event), text(event, "delta"), logprobsIn(event));
            case "response.refusal.delta" -> append(contentKey(item, event), text(event, "delta"));
            case "response.content_part.done" -> finishPart(contentKey(item, event));
            case "response.function_call_arguments.delta" -> {
                callsWithArguments.add(item);
                append(item, text(event, "delta"));
            }
            case "response.function_call_arguments.done" -> {
                if (callsWithArguments.add(item)) {
                    append(item, text(event, "arguments"));
                }
            }
            case "response.reasoning_summary_text.delta", "response.reasoning_text.delta" ->
                append(item, text(event, "delta"));
            case "response.output_item.done" -> finishItem(item, event.path("item"));
            case "response.completed", "response.incomplete" -> finishResponse(event.path("response"));
            case "response.failed" -> fail(event.path("response"));
            case "error" -> fail(event);
            default -> {
                // Events of other types repeat the content of the events above, or have no counterpart in the neutral
                // model.
            }
        }
    }

    private static String contentKey(String item, JsonNode event) {
        return item + "/" + event.path("content_index").asText("0");
    }

    /** Returns the log probabilities in an event or a content part, or null if there are none. */
    private static JsonNode logprobsIn(JsonNode node) {
        JsonNode logprobs = node.path("logprobs");
        return logprobs.isEmpty() ? null : logprobs;
    }

    private void startItem(String key, JsonNode item) {
        switch (item.path("type").asText()) {
            case "function_call" -> {
                hasCalls = true;
                String callId = item.path("call_id").asText(item.path("id").asText());
                startCall(ONLY_CHOICE, key, callId, item.path("name").asText());
            }
            case "reasoning" -> startPart(ONLY_CHOICE, key, ContentPart.Kind.THOUGHT);
            default -> {
                // A message is not a part itself; each element of its content is one.
            }
        }
    }

    private static boolean isRefusal(JsonNode part) {
        return part.path("type").asText().equals("refusal");
    }

    private void startContent(String key, JsonNode part) {
        hasRefusal |= isRefusal(part);
        startPart(ONLY_CHOICE, key, isRefusal(part) ? ContentPart.Kind.REFUSAL : ContentPart.Kind.TEXT);
    }

    private void finishItem(String key, JsonNode item) {
        if (isOpen(key)) {
            addSignature(key, textOrNull(item, "encrypted_content"));
            finishPart(key);
        }
    }

    @Override
    void decodeBody(JsonNode body) {
        if (body.path("status").asText().equals("failed")) {
            fail(body);
            return;
        }
        start(body, "created_at");
        int position = 0;
        for (JsonNode item : body.path("output")) {
            decodeItem(Integer.toString(position++), item);
        }
        finishResponse(body);
    }

    private void decodeItem(String key, JsonNode item) {
        startItem(key, item);
        int position = 0;
        for (JsonNode part : item.path("content")) {
            String contentKey = key + "/" + position++;
            startContent(contentKey, part);
            append(contentKey, text(part, isRefusal(part) ? "refusal" : "text"), logprobsIn(part));
            finishPart(contentKey);
        }
        if (isOpen(key)) {
            for (JsonNode summary : item.path("summary")) {
                append(key, text(summary, "text"));
            }
            append(key, text(item, "arguments"));
            finishItem(key, item);
        }
    }

    private void finishResponse(JsonNode response) {
        finishChoice(ONLY_CHOICE, reason(response), null);
        JsonNode usage = response.path("usage");
        if (usage.isObject()) {
            reportUsage(new ReplyEvent.Usage(
                    tokens(usage, "input_tokens"),
                    tokens(usage.path("input_tokens_details"), "cached_tokens"),
                    tokens(usage, "output_tokens"),
                    tokens(usage.path("output_tokens_details"), "reasoning_tokens")));
        }
        complete();
    }

    private Reason reason(JsonNode response) {
        String incompleteReason =
                response.path("incomplete_details").path("reason").asText("");
        if (incompleteReason.equals("content_filter")) {
            return Reason.FILTER;
        }
        if (response.path("status").asText().equals("incomplete")) {
            return Reason.LENGTH;
        }
        if (hasRefusal) {
            return Reason.REFUSAL;
        }
        return hasCalls ? Reason.CALLS : Reason.STOP;
    }
}
