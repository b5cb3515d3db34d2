package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Translates requests between API formats: from a client's format into a {@link Conversation}, and from there into an
 * engine's. What becomes of each field is not decided here but in {@link TranslationTable}.
 */
public final class RequestTranslator {

    /** What the operator wants done with fields that a format's {@link FieldTable} lacks. */
    public enum UnknownFields {
        /** Passed on as they are. */
        PASS,
        /** Left out, with a warning. */
        DROP,
        /** The request is rejected. */
        REFUSE
    }

    private RequestTranslator() {}

    /**
     * Decodes a request.
     *
     * @param from the client's format
     * @param body the request's JSON
     * @param unknownFields what to do with fields that the format does not define
     * @param warnings receives a line for each field that is left out
     * @throws UntranslatableRequestException where a field is malformed, or unknown and to be refused
     */
    public static Conversation decode(
            ApiFormat from, JsonNode body, UnknownFields unknownFields, List<String> warnings) {
        return new RequestDecoder(from, body).decode(unknownFields, warnings);
    }

    /**
     * Encodes a request in an engine's format.
     *
     * @param to the engine's format
     * @param conversation the client's request
     * @param maxOutputTokens the bound on the reply, in tokens, where the client gives none and the format needs one
     * @param warnings receives a line for each field that is left out
     * @throws UntranslatableRequestException naming the client's field that the engine's format lacks
     */
    public static ObjectNode encode(
            ApiFormat to, Conversation conversation, long maxOutputTokens, List<String> warnings) {
        return new RequestEncoder(to, conversation).encode(maxOutputTokens, warnings);
    }

    /**
     * The client's field that a format cannot express, if there is one. Nothing is encoded, so that this may be asked
     * for each format and request.
     */
    public static Optional<String> unsupportedField(ApiFormat to, Conversation conversation) {
        TranslationTable table = TranslationTable.of(conversation.from(), to);
        for (Map.Entry<RequestParameter, JsonNode> entry :
                conversation.parameters().entrySet()) {
            RequestParameter parameter = entry.getKey();
            if (table.action(parameter) == Action.REFUSED && !parameter.isNeutral(entry.getValue())) {
                return Optional.of(fieldName(conversation, parameter));
            }
        }
        for (ContentPart.Kind kind : conversation.kinds()) {
            if (table.action(kind) == Action.REFUSED) {
                return Optional.of(MessageCodec.partName(conversation.from(), kind));
            }
        }
        return Optional.empty();
    }

    /** A parameter's name in the client's format, for messages to the client. */
    static String fieldName(Conversation conversation, RequestParameter parameter) {
        return FieldTable.of(conversation.from())
                .find(parameter)
                .map(FieldTable.Field::path)
                .orElse(parameter.name());
    }
}
