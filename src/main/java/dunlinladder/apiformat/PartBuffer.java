package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;

/** A content part of a reply, put together from its events. */
final class PartBuffer {

    private final ReplyEvent.PartStarted start;
    private final StringBuilder text = new StringBuilder();
    private final ArrayNode logprobs = JsonNodeFactory.instance.arrayNode();
    private Optional<String> signature = Optional.empty();

    PartBuffer(ReplyEvent.PartStarted start) {
        this.start = start;
    }

    void append(ReplyEvent.PartDelta delta) {
        text.append(delta.text());
        if (delta.logprobs() != null) {
            delta.logprobs().forEach(logprobs::add);
        }
    }

    void sign(String partSignature) {
        signature = Optional.of(partSignature);
    }

    /** The event with which the part started. */
    ReplyEvent.PartStarted start() {
        return start;
    }

    ContentPart.Kind kind() {
        return start.kind();
    }

    /** The text so far. */
    String text() {
        return text.toString();
    }

    /** The log probabilities of the tokens so far; empty where the engine sent none. */
    ArrayNode logprobs() {
        return logprobs;
    }

    /** The signature of a part that is reasoning, where the engine sent one. */
    Optional<String> signature() {
        return signature;
    }
}
