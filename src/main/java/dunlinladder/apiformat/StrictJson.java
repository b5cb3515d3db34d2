package dunlinladder.apiformat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Parses JSON strictly: the nesting depth is limited, and nothing may follow the value. */
public final class StrictJson {

    /** The maximum nesting depth; a body with deeper nesting is malformed. */
    public static final int MAX_DEPTH = 100;

    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private StrictJson() {}

    /**
     * Parses the body of a request or reply, which must be an object.
     *
     * @throws UntranslatableRequestException if it is not, or is nested too deeply
     */
    public static JsonNode body(byte[] content) {
        try {
            JsonNode node = MAPPER.readTree(content);
            if (node == null || !node.isObject()) {
                throw UntranslatableRequestException.malformed("body", "must be a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw UntranslatableRequestException.malformed(
                    "body", "is not JSON, or nested over " + MAX_DEPTH + " deep");
        }
    }

    /** Returns a tree as text in UTF-8. */
    public static byte[] bytes(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree can always be written", e);
        }
    }

    /**
     * Parses text that must contain an object; blank text counts as an empty object.
     *
     * @param field the field that contains the text, for the message to the client
     * @throws UntranslatableRequestException if the text is not an object
     */
    static ObjectNode object(String text, String field) {
        try {
            if (MAPPER.readTree(text.isBlank() ? "{}" : text) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            // Reported below, like a value of another type.
        }
        throw UntranslatableRequestException.malformed(field, "must be a JSON object as text");
    }

    /** Parses JSON of any type from an engine. Returns a {@link MissingNode} if the text is not JSON. */
    static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
