package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;

/** A content part of a reply, assembled from its events. */
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

    void setSignature(String partSignature) {
        signature = Optional.of(partSignature);
    }

    /** Returns the event with which the part started. */
    ReplyEvent.PartStarted start() {
        return start;
    }

    ContentPart.Kind kind() {
        return start.kind();
    }

    /** Returns the text so far. */
    String text() {
        return text.toString();
    }

    /** Returns the log probabilities of the tokens so far, empty if the engine sent none. */
    ArrayNode logprobs() {
        return logprobs;
    }

    /** Returns the signature of a reasoning part, if the engine sent one. */
    Optional<String> signature() {
        return signature;
    }
}
