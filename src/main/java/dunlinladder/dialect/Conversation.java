package dunlinladder.dialect;

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
        Format from, Map<Setting, JsonNode> settings, List<Turn> turns, Map<String, JsonNode> unknown, boolean legacy) {

    /** A setting's value; null where it was not given. */
    public JsonNode get(Setting setting) {
        return settings.get(setting);
    }

    /** A setting as text; null where it was not given. */
    public String text(Setting setting) {
        JsonNode value = settings.get(setting);
        return value == null ? null : value.asText();
    }

    /** A setting as a whole number, {@code absent} where it was not given. */
    public long number(Setting setting, long absent) {
        JsonNode value = settings.get(setting);
        return value == null ? absent : value.asLong(absent);
    }

    /** Whether a setting is given and true. */
    public boolean flag(Setting setting) {
        JsonNode value = settings.get(setting);
        return value != null && value.asBoolean();
    }

    /** The kinds of parts that it holds. */
    public Set<Part.Kind> kinds() {
        Set<Part.Kind> kinds = EnumSet.noneOf(Part.Kind.class);
        turns.forEach(turn -> turn.parts().forEach(part -> kinds.add(part.kind())));
        return kinds;
    }
}
