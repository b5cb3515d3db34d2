package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.List;

/** Decodes replies in the chat completions format. */
final class ChatReplyDecoder extends ChoicesReplyDecoder {

    private static final String REASONING = "thought";
    private static final String TEXT = "text";
    private static final String REFUSAL = "refusal";
    /**
     * The textual parts of a choice, which are all parts except tool calls. The key of a textual part is the index of
     * its choice followed by one of these names.
     */
    private static final List<String> TEXTUAL_PARTS = List.of(REASONING, TEXT, REFUSAL);
    /** Equals none of {@link #TEXTUAL_PARTS}. */
    private static final String NO_TEXTUAL_PART = "";

    @Override
    void decodeChoice(JsonNode choice, String contentField) {
        int index = choice.path("index").asInt();
        JsonNode delta = choice.path(contentField);
        decodeTextualParts(index, choice, delta);
        decodeCalls(index, delta);
        if (choice.path("finish_reason").isTextual()) {
            finishChoice(index, reason(choice.get("finish_reason").asText()), null);
        }
    }

    private void decodeTextualParts(int index, JsonNode choice, JsonNode delta) {
        String reasoning = text(delta, "reasoning_content");
        if (!reasoning.isEmpty()) {
            appendToTextualPart(index, REASONING, ContentPart.Kind.THOUGHT, reasoning, null);
        }
        String text = text(delta, "content");
        JsonNode logprobs = logprobsOrNull(choice.path("logprobs").path("content"));
        if (!text.isEmpty() || logprobs != null) {
            appendToTextualPart(index, TEXT, ContentPart.Kind.TEXT, text, logprobs);
        }
        String refusal = text(delta, "refusal");
        if (!refusal.isEmpty()) {
            appendToTextualPart(index, REFUSAL, ContentPart.Kind.REFUSAL, refusal, null);
        }
    }

    private void decodeCalls(int index, JsonNode delta) {
        int position = 0;
        for (JsonNode call : delta.path("tool_calls")) {
            String key = index + "call" + call.path("index").asInt(position++);
            decodeCall(index, key, textOrNull(call, "id"), call.path("function"));
        }
        if (delta.path("function_call").isObject()) {
            JsonNode function = delta.get("function_call");
            decodeCall(index, index + "call", "call_" + function.path("name").asText(), function);
        }
    }

    private static Reason reason(String name) {
        return switch (name) {
            case "stop" -> Reason.STOP;
            case "length" -> Reason.LENGTH;
            case "tool_calls", "function_call" -> Reason.CALLS;
            case "content_filter" -> Reason.FILTER;
            default -> Reason.UNKNOWN;
        };
    }

    /**
     * Adds text to a textual part. The format does not mark the end of a part: a textual part ends when another textual
     * part or a tool call starts in its choice.
     */
    private void appendToTextualPart(int index, String part, ContentPart.Kind kind, String text, JsonNode logprobs) {
        finishTextualPartsExcept(index, part);
        startPart(index, index + part, kind);
        append(index + part, text, logprobs);
    }

    private void finishTextualPartsExcept(int index, String currentPart) {
        for (String part : TEXTUAL_PARTS) {
            if (!part.equals(currentPart)) {
                finishPart(index + part);
            }
        }
    }

    /** Decodes a piece of a tool call. Several tool calls may be open at the same time. */
    private void decodeCall(int index, String key, String callId, JsonNode function) {
        finishTextualPartsExcept(index, NO_TEXTUAL_PART);
        if (!isOpen(key)) {
            if (callId == null || !function.path("name").isTextual()) {
                failGarbled("a tool's call without id or name");
                return;
            }
            startCall(index, key, callId, function.get("name").asText());
        }
        append(key, text(function, "arguments"));
    }
}
