package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.List;

/** Replies in the chat completions format. */
final class ChatReplyDecoder extends ChoicesReplyDecoder {

    private static final String REASONING = "thought";
    private static final String TEXT = "text";
    private static final String REFUSAL = "refusal";
    /** The parts of a choice that are words; each key follows the choice's index. */
    private static final List<String> WORDS = List.of(REASONING, TEXT, REFUSAL);
    /** Stands for none of {@link #WORDS}. */
    private static final String NO_WORDS = "";

    @Override
    void decodeChoice(JsonNode choice, String contentField) {
        int index = choice.path("index").asInt();
        JsonNode delta = choice.path(contentField);
        decodeWords(index, choice, delta);
        decodeCalls(index, delta);
        if (choice.path("finish_reason").isTextual()) {
            finishChoice(index, reason(choice.get("finish_reason").asText()), null);
        }
    }

    private void decodeWords(int index, JsonNode choice, JsonNode delta) {
        String reasoning = text(delta, "reasoning_content");
        if (!reasoning.isEmpty()) {
            appendWords(index, REASONING, ContentPart.Kind.THOUGHT, reasoning, null);
        }
        String text = text(delta, "content");
        JsonNode logprobs = logprobsOrNull(choice.path("logprobs").path("content"));
        if (!text.isEmpty() || logprobs != null) {
            appendWords(index, TEXT, ContentPart.Kind.TEXT, text, logprobs);
        }
        String refusal = text(delta, "refusal");
        if (!refusal.isEmpty()) {
            appendWords(index, REFUSAL, ContentPart.Kind.REFUSAL, refusal, null);
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

    /** The format marks no end of a part: words of one kind end when those of another, or a call, begin. */
    private void appendWords(int index, String words, ContentPart.Kind kind, String text, JsonNode logprobs) {
        finishWordsExcept(index, words);
        startPart(index, index + words, kind);
        append(index + words, text, logprobs);
    }

    private void finishWordsExcept(int index, String growing) {
        for (String words : WORDS) {
            if (!words.equals(growing)) {
                finishPart(index + words);
            }
        }
    }

    /** Calls may grow side by side. */
    private void decodeCall(int index, String key, String callId, JsonNode function) {
        finishWordsExcept(index, NO_WORDS);
        if (!isOpen(key)) {
            if (callId == null || !function.path("name").isTextual()) {
                garbled("a tool's call without id or name");
                return;
            }
            startCall(index, key, callId, function.get("name").asText());
        }
        append(key, text(function, "arguments"));
    }
}
