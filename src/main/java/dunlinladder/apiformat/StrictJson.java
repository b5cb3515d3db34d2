package dunlinladder.apiformat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON as the formats want it read: bounded in depth, and with nothing behind the value. */
public final class StrictJson {

    /** Deepest nesting that is read; a body nested deeper is malformed. */
    public static final int DEPTH = 100;

    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private StrictJson() {}

    /** A body's object; {@link UntranslatableRequestException} where it is none. */
    public static JsonNode body(byte[] content) {
        try {
            JsonNode node = MAPPER.readTree(content);
            if (node == null || !node.isObject()) {
                throw UntranslatableRequestException.malformed("body", "must be a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw UntranslatableRequestException.malformed("body", "is not JSON, or nested over " + DEPTH + " deep");
        }
    }

    /** Text that must hold an object; {@link UntranslatableRequestException} names the field where it does not. */
    static ObjectNode object(String text, String field) {
        try {
            if (MAPPER.readTree(text.isBlank() ? "{}" : text) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            // Said below.
        }
        throw UntranslatableRequestException.malformed(field, "must be a JSON object as text");
    }

    /** A server's JSON, which may be anything; null where it is none. */
    static JsonNode lenient(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return null;
        }
    }
}
