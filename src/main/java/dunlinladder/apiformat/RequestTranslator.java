package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Translates requests between API formats: from a client's format into a {@link Conversation}, and from there into an
 * engine's format. {@link TranslationTable} determines the action for each field.
 */
public final class RequestTranslator {

    /**
     * The handling of fields that the {@link FieldTable} of a format does not define, as configured by the operator.
     */
    public enum UnknownFields {
        /** The fields are passed on unchanged. */
        PASS,
        /** The fields are left out, with a warning. */
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
     * @param unknownFields how fields that the format does not define are handled
     * @param warnings receives a line for each field that is left out
     * @throws UntranslatableRequestException if a field is malformed, or if a field is unknown and
     *     {@code unknownFields} is {@link UnknownFields#REFUSE}
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
     * @param maxOutputTokens the maximum length of the reply, in tokens, if the client gives none and the format
     *     requires one
     * @param warnings receives a line for each field that is left out
     * @throws UntranslatableRequestException if the engine's format cannot express one of the client's fields, which
     *     the exception names
     */
    public static ObjectNode encode(
            ApiFormat to, Conversation conversation, long maxOutputTokens, List<String> warnings) {
        return new RequestEncoder(to, conversation).encode(maxOutputTokens, warnings);
    }

    /**
     * Returns the first of the client's fields that a format cannot express, if there is one. The method encodes
     * nothing, so it is cheap enough to be called for each format and each request. It does not check the contents of
     * message parts, so {@link #encode} may still fail for a field that this method does not return.
     */
    public static Optional<String> unsupportedField(ApiFormat to, Conversation conversation) {
        TranslationTable table = TranslationTable.of(conversation.from(), to);
        for (Map.Entry<RequestParameter, JsonNode> entry :
                conversation.parameters().entrySet()) {
            RequestParameter parameter = entry.getKey();
            if (table.action(parameter) == Action.REFUSED && !parameter.canBeOmitted(entry.getValue())) {
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

    /** Returns a parameter's name in the client's format, for messages to the client. */
    static String fieldName(Conversation conversation, RequestParameter parameter) {
        return FieldTable.of(conversation.from())
                .find(parameter)
                .map(FieldTable.Field::path)
                .orElse(parameter.name());
    }
}
