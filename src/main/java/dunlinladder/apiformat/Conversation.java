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
 * @param messages the messages of the conversation so far, oldest first
 * @param unknownFields the fields that the {@link FieldTable} of the client's format does not define, by dotted path;
 *     empty unless the operator has configured {@link RequestTranslator.UnknownFields#PASS}
 * @param legacyTools whether the client defined tools in the older field {@code functions}, so that calls must be
 *     reported as {@code function_call}
 */
public record Conversation(
        ApiFormat from,
        Map<RequestParameter, JsonNode> parameters,
        List<Message> messages,
        Map<String, JsonNode> unknownFields,
        boolean legacyTools) {

    /** Returns the neutral value of a parameter, if the client gave one. */
    public Optional<JsonNode> get(RequestParameter parameter) {
        return Optional.ofNullable(parameters.get(parameter));
    }

    /** Returns a parameter as text, if the client gave it. */
    public Optional<String> text(RequestParameter parameter) {
        return get(parameter).map(JsonNode::asText);
    }

    /** Returns a parameter as a whole number, or {@code defaultValue} if the client gave none. */
    public long number(RequestParameter parameter, long defaultValue) {
        JsonNode value = parameters.get(parameter);
        return value == null ? defaultValue : value.asLong(defaultValue);
    }

    /** Whether the client gave a parameter and its value is true. */
    public boolean flag(RequestParameter parameter) {
        JsonNode value = parameters.get(parameter);
        return value != null && value.asBoolean();
    }

    /** Returns the kinds of content parts in the messages. */
    public Set<ContentPart.Kind> kinds() {
        Set<ContentPart.Kind> kinds = EnumSet.noneOf(ContentPart.Kind.class);
        messages.forEach(message -> message.parts().forEach(part -> kinds.add(part.kind())));
        return kinds;
    }
}
