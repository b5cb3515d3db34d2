package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;

/** Decodes replies in the legacy completions format, which has one text part in each choice. */
final class CompletionsReplyDecoder extends ChoicesReplyDecoder {

    @Override
    void decodeChoice(JsonNode choice, String contentField) {
        int index = choice.path("index").asInt();
        String text = text(choice, "text");
        JsonNode logprobs = logprobsOrNull(choice.path("logprobs"));
        if (!text.isEmpty() || logprobs != null) {
            String key = index + "text";
            startPart(index, key, ContentPart.Kind.TEXT);
            append(key, text, logprobs == null ? null : tokenList(logprobs));
        }
        if (choice.path("finish_reason").isTextual()) {
            finishChoice(index, reason(choice.get("finish_reason").asText()), null);
        }
    }

    private static Reason reason(String name) {
        return switch (name) {
            case "stop" -> Reason.STOP;
            case "length" -> Reason.LENGTH;
            case "content_filter" -> Reason.FILTER;
            default -> Reason.UNKNOWN;
        };
    }

    /** Converts the parallel lists of this format into the list of tokens that the newer formats have. */
    private static ArrayNode tokenList(JsonNode logprobs) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        for (int i = 0; i < logprobs.path("tokens").size(); i++) {
            ObjectNode token = list.addObject();
            putToken(
                    token,
                    logprobs.get("tokens").get(i).asText(),
                    logprobs.path("token_logprobs").path(i));
            ArrayNode alternatives = token.putArray("top_logprobs");
            logprobs.path("top_logprobs")
                    .path(i)
                    .properties()
                    .forEach(other -> putToken(alternatives.addObject(), other.getKey(), other.getValue()));
        }
        return list;
    }

    private static void putToken(ObjectNode node, String token, JsonNode logprob) {
        node.put("token", token).put("logprob", logprob.asDouble()).putNull("bytes");
    }
}
