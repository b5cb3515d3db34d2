package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Decodes the parts of a reply that the completions and chat formats share: the list of choices, the usage and the done
 * marker.
 */
abstract class ChoicesReplyDecoder extends ReplyDecoder {

    @Override
    final void decode(String type, JsonNode event) {
        decodeReply(event, "delta");
    }

    @Override
    final void decodeBody(JsonNode body) {
        decodeReply(body, "message");
        complete();
    }

    private void decodeReply(JsonNode reply, String contentField) {
        start(reply, "created");
        for (JsonNode choice : reply.path("choices")) {
            decodeChoice(choice, contentField);
        }
        if (reply.path("usage").isObject()) {
            decodeUsage(reply.get("usage"));
        }
    }

    /** Decodes a choice. In the chat format, its content is in the field {@code contentField}. */
    abstract void decodeChoice(JsonNode choice, String contentField);

    private void decodeUsage(JsonNode usage) {
        reportUsage(new ReplyEvent.Usage(
                tokens(usage, "prompt_tokens"),
                tokens(usage.path("prompt_tokens_details"), "cached_tokens"),
                tokens(usage, "completion_tokens"),
                tokens(usage.path("completion_tokens_details"), "reasoning_tokens")));
    }

    @Override
    final void decodeDoneMarker() {
        complete();
    }
}
