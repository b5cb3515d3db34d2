package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ReplyEvent.Reason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Encodes replies in the legacy completions format. The format has no place for reasoning and tool calls, which are
 * left out. A refusal is written as text.
 */
final class CompletionsReplyEncoder extends ChoicesReplyEncoder {

    private static final String OBJECT = "text_completion";

    /** The kinds of the parts so far, by choice and part. */
    private final Map<Integer, Map<Integer, ContentPart.Kind>> kinds = new HashMap<>();
    /** The choices whose first chunk, which starts with the echo, has been sent. */
    private final Set<Integer> startedChoices = new HashSet<>();

    CompletionsReplyEncoder(Identity identity) {
        super(identity, "cmpl-", OBJECT, OBJECT);
    }

    @Override
    void encodeEvent(ReplyEvent event) {
        if (event instanceof ReplyEvent.PartStarted started) {
            kinds.computeIfAbsent(started.choice(), choice -> new HashMap<>()).put(started.part(), started.kind());
        } else if (event instanceof ReplyEvent.PartDelta delta) {
            if (isVisible(kinds.get(delta.choice()).get(delta.part()))) {
                sendChunk(delta.choice(), delta.text(), delta.logprobs(), null);
            }
        } else if (event instanceof ReplyEvent.ChoiceFinished finished) {
            sendChunk(finished.choice(), "", null, reason(finished.reason()));
        } else if (event instanceof ReplyEvent.Failed failed) {
            send(ErrorTranslator.encode(ApiFormat.COMPLETIONS, failed.error()));
        } else if (event instanceof ReplyEvent.Completed) {
            sendEnd();
        }
    }

    private static boolean isVisible(ContentPart.Kind kind) {
        return kind == ContentPart.Kind.TEXT || kind == ContentPart.Kind.REFUSAL;
    }

    /** Sends a choice's next text; {@code logprobs} and {@code reason} are null in most chunks. */
    private void sendChunk(int choice, String text, JsonNode logprobs, String reason) {
        boolean first = startedChoices.add(choice);
        ObjectNode chunk = chunk();
        ObjectNode node = chunk.putArray("choices")
                .addObject()
                .put("index", choice)
                .put("text", first ? identity().echo() + text : text);
        node.set("logprobs", logprobs == null ? null : parallelLists(logprobs));
        node.put("finish_reason", reason);
        send(chunk);
    }

    /** Converts the list of tokens that the newer formats have into the parallel lists of this format. */
    private static ObjectNode parallelLists(JsonNode logprobs) {
        ObjectNode node = JSON.objectNode();
        ArrayNode tokens = node.putArray("tokens");
        ArrayNode values = node.putArray("token_logprobs");
        ArrayNode alternatives = node.putArray("top_logprobs");
        for (JsonNode token : logprobs) {
            tokens.add(token.path("token").asText());
            values.add(token.path("logprob").asDouble());
            ObjectNode others = alternatives.addObject();
            for (JsonNode other : token.path("top_logprobs")) {
                others.put(other.path("token").asText(), other.path("logprob").asDouble());
            }
        }
        return node;
    }

    private static String reason(Reason reason) {
        return switch (reason) {
            case LENGTH -> "length";
            case FILTER -> "content_filter";
            default -> "stop";
        };
    }

    @Override
    void encodeChoice(ChoiceBuffer choice, ObjectNode node) {
        StringBuilder text = new StringBuilder(identity().echo());
        ArrayNode logprobs = JSON.arrayNode();
        for (PartBuffer part : choice.parts()) {
            if (isVisible(part.kind())) {
                text.append(part.text());
                logprobs.addAll(part.logprobs());
            }
        }
        node.put("text", text.toString());
        node.set("logprobs", logprobs.isEmpty() ? null : parallelLists(logprobs));
        node.put("finish_reason", reason(choice.finish().reason()));
    }
}
