package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import dunlinladder.apiformat.ReplyEvent.Usage;

/** Decodes replies in the messages format, which consist of content blocks. Two events report the usage. */
final class MessagesReplyDecoder extends ReplyDecoder {

    /** The index of the choice: the format has only one. */
    private static final int ONLY_CHOICE = 0;

    private long promptTokens = Usage.UNKNOWN_TOKENS;
    private long cachedTokens = Usage.UNKNOWN_TOKENS;
    private long outputTokens = Usage.UNKNOWN_TOKENS;

    @Override
    void decode(String type, JsonNode event) {
        String key = event.path("index").asText("0");
        switch (type) {
            case "message_start" -> {
                start(event.path("message"), "created");
                updateUsage(event.path("message").path("usage"));
            }
            case "content_block_start" -> startBlock(key, event.path("content_block"));
            case "content_block_delta" -> decodeDelta(key, event.path("delta"));
            case "content_block_stop" -> finishPart(key);
            case "message_delta" -> {
                updateUsage(event.path("usage"));
                finishMessage(event.path("delta"));
            }
            case "message_stop" -> end();
            case "error" -> fail(event);
            default -> {
                // Pings and unknown events carry no part of the reply.
            }
        }
    }

    private void startBlock(String key, JsonNode block) {
        switch (block.path("type").asText()) {
            case "tool_use" ->
                startCall(
                        ONLY_CHOICE,
                        key,
                        block.path("id").asText(),
                        block.path("name").asText());
            case "thinking", "redacted_thinking" -> {
                startPart(ONLY_CHOICE, key, ContentPart.Kind.THOUGHT);
                append(key, text(block, "thinking"));
                addSignature(key, block.path("data").asText(textOrNull(block, "signature")));
            }
            default -> {
                startPart(ONLY_CHOICE, key, ContentPart.Kind.TEXT);
                append(key, text(block, "text"));
            }
        }
    }

    private void decodeDelta(String key, JsonNode delta) {
        switch (delta.path("type").asText()) {
            case "text_delta" -> append(key, text(delta, "text"));
            case "input_json_delta" -> append(key, text(delta, "partial_json"));
            case "thinking_delta" -> append(key, text(delta, "thinking"));
            case "signature_delta" -> addSignature(key, textOrNull(delta, "signature"));
            default -> {
                // The neutral model has no place for other deltas, such as citations.
            }
        }
    }

    private void updateUsage(JsonNode usage) {
        long cached = tokens(usage, "cache_read_input_tokens");
        long uncached = tokens(usage, "input_tokens");
        long output = tokens(usage, "output_tokens");
        if (cached >= 0) {
            cachedTokens = cached;
        }
        if (uncached >= 0) {
            // This format counts cached tokens of the prompt separately; the others include them in the prompt's count.
            long cacheCreation = Math.max(0, tokens(usage, "cache_creation_input_tokens"));
            promptTokens = uncached + Math.max(0, cached) + cacheCreation;
        }
        if (output >= 0) {
            outputTokens = output;
        }
    }

    private void finishMessage(JsonNode delta) {
        if (delta.path("stop_reason").isTextual()) {
            Reason reason = reason(delta.get("stop_reason").asText());
            finishChoice(ONLY_CHOICE, reason, textOrNull(delta, "stop_sequence"));
        }
    }

    private static Reason reason(String name) {
        return switch (name) {
            case "end_turn" -> Reason.STOP;
            case "stop_sequence" -> Reason.SEQUENCE;
            case "max_tokens", "model_context_window_exceeded" -> Reason.LENGTH;
            case "tool_use" -> Reason.CALLS;
            case "refusal" -> Reason.REFUSAL;
            default -> Reason.UNKNOWN;
        };
    }

    private void end() {
        reportUsage(new Usage(promptTokens, cachedTokens, outputTokens, Usage.UNKNOWN_TOKENS));
        complete();
    }

    @Override
    void decodeBody(JsonNode body) {
        start(body, "created");
        updateUsage(body.path("usage"));
        int position = 0;
        for (JsonNode block : body.path("content")) {
            String key = Integer.toString(position++);
            startBlock(key, block);
            if (block.path("type").asText().equals("tool_use")) {
                append(key, block.path("input").toString());
            }
            finishPart(key);
        }
        finishMessage(body);
        end();
    }
}
