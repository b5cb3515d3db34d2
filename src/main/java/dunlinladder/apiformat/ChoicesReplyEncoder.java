package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Encodes the parts of a reply that the completions and chat formats share: the list of choices and the usage. */
abstract class ChoicesReplyEncoder extends ReplyEncoder {

    private final String idPrefix;
    private final String chunkObject;
    private final String bodyObject;

    /**
     * Creates an encoder.
     *
     * @param idPrefix the prefix that the format puts before a reply's id
     * @param chunkObject the {@code object} of an event's data
     * @param bodyObject the {@code object} of a complete reply
     */
    ChoicesReplyEncoder(Identity identity, String idPrefix, String chunkObject, String bodyObject) {
        super(identity);
        this.idPrefix = idPrefix;
        this.chunkObject = chunkObject;
        this.bodyObject = bodyObject;
    }

    /** Returns the data of an event without its choices. */
    final ObjectNode chunk() {
        return envelope(chunkObject);
    }

    private ObjectNode envelope(String object) {
        return JSON.objectNode()
                .put("id", idPrefix + identity().id())
                .put("object", object)
                .put("created", identity().created())
                .put("model", identity().model());
    }

    /** Ends a stream. Sends the usage before the end if the client asked for it. */
    final void sendEnd() {
        if (identity().includeUsage()) {
            ObjectNode last = chunk();
            last.putArray("choices");
            last.set("usage", encodeUsage());
            send(last);
        }
        sendDone();
    }

    private ObjectNode encodeUsage() {
        ObjectNode node = JSON.objectNode();
        node.put("prompt_tokens", orZero(usage().prompt()))
                .put("completion_tokens", orZero(usage().output()))
                .put("total_tokens", orZero(usage().prompt()) + orZero(usage().output()));
        if (usage().cached() >= 0) {
            node.putObject("prompt_tokens_details").put("cached_tokens", usage().cached());
        }
        if (usage().reasoning() >= 0) {
            node.putObject("completion_tokens_details").put("reasoning_tokens", usage().reasoning());
        }
        return node;
    }

    @Override
    final ObjectNode encodeBody(Map<Integer, ChoiceBuffer> choices) {
        ObjectNode body = envelope(bodyObject);
        ArrayNode list = body.putArray("choices");
        choices.forEach((index, choice) -> encodeChoice(choice, list.addObject().put("index", index)));
        body.set("usage", encodeUsage());
        return body;
    }

    /** Writes a complete choice into its object, which already holds the index. */
    abstract void encodeChoice(ChoiceBuffer choice, ObjectNode node);
}
