package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A request in no format: what it asks for, the messages so far, and the fields that no table knows.
 *
 * @param from the format in which it came
 * @param settings what it asks for, in neutral shapes, by setting
 * @param unknown fields that the format's table does not have, by name; kept only where the operator passes them on
 * @param legacy whether tools were given by the older names, and so are to be called by them
 */
public record Conversation(
        ApiFormat from,
        Map<RequestParameter, JsonNode> settings,
        List<Message> turns,
        Map<String, JsonNode> unknown,
        boolean legacy) {

    /** A setting's value; null where it was not given. */
    public JsonNode get(RequestParameter setting) {
        return settings.get(setting);
    }

    /** A setting as text; null where it was not given. */
    public String text(RequestParameter setting) {
        JsonNode value = settings.get(setting);
        return value == null ? null : value.asText();
    }

    /** A setting as a whole number, {@code absent} where it was not given. */
    public long number(RequestParameter setting, long absent) {
        JsonNode value = settings.get(setting);
        return value == null ? absent : value.asLong(absent);
    }

    /** Whether a setting is given and true. */
    public boolean flag(RequestParameter setting) {
        JsonNode value = settings.get(setting);
        return value != null && value.asBoolean();
    }

    /** The kinds of parts that it holds. */
    public Set<ContentPart.Kind> kinds() {
        Set<ContentPart.Kind> kinds = EnumSet.noneOf(ContentPart.Kind.class);
        turns.forEach(turn -> turn.parts().forEach(part -> kinds.add(part.kind())));
        return kinds;
    }
}
