package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A request in the neutral model, independent of any API format: its parameters, its messages, and the fields that the
 * client's format does not define.
 *
 * @param from the client's format
 * @param parameters the values that the client gave, each in the neutral form of its {@link ParameterCodec}
 * @param messages the conversation so far, oldest first
 * @param unknownFields fields that the {@link FieldTable} of the client's format lacks, by dotted path; empty unless
 *     the operator has them passed on
 * @param legacyTools whether the client defined tools by the older field {@code functions}, so that calls must be
 *     reported as {@code function_call}
 */
public record Conversation(
        ApiFormat from,
        Map<RequestParameter, JsonNode> parameters,
        List<Message> messages,
        Map<String, JsonNode> unknownFields,
        boolean legacyTools) {

    /** The neutral value of a parameter, if the client gave one. */
    public Optional<JsonNode> get(RequestParameter parameter) {
        return Optional.ofNullable(parameters.get(parameter));
    }

    /** A parameter as text, if the client gave it. */
    public Optional<String> text(RequestParameter parameter) {
        return get(parameter).map(JsonNode::asText);
    }

    /** A parameter as a whole number, or {@code absent} where the client gave none. */
    public long number(RequestParameter parameter, long absent) {
        JsonNode value = parameters.get(parameter);
        return value == null ? absent : value.asLong(absent);
    }

    /** Whether a parameter is given and true. */
    public boolean flag(RequestParameter parameter) {
        JsonNode value = parameters.get(parameter);
        return value != null && value.asBoolean();
    }

    /** The kinds of content parts that the messages hold. */
    public Set<ContentPart.Kind> kinds() {
        Set<ContentPart.Kind> kinds = EnumSet.noneOf(ContentPart.Kind.class);
        messages.forEach(message -> message.parts().forEach(part -> kinds.add(part.kind())));
        return kinds;
    }
}
