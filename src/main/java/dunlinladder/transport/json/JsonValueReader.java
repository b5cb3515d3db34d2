package dunlinladder.transport.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Converts the tokens of a parser into plain Java values: {@code Map} in the order of the text, {@code List},
 * {@code String}, {@code Number}, {@code Boolean} or null. If a name occurs twice in an object, its last value counts.
 *
 * <p>Nested values need heap and no stack: the nesting comes from outside, and a stack overflow would end the calling
 * thread with everything else that it serves.
 */
final class JsonValueReader {

    private final JsonParser parser;
    /** The open containers, the innermost first. Each takes a name, which an array ignores, and a value. */
    private final Deque<BiConsumer<String, Object>> containers = new ArrayDeque<>();

    private JsonValueReader(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Returns the fields of the object whose opening brace is the parser's current token.
     *
     * @throws IOException if the input is not JSON, or is nested more deeply than the parser allows
     */
    static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        JsonValueReader reader = new JsonValueReader(parser);
        reader.containers.push(fields::put);
        reader.readUntilClosed();
        return fields;
    }

    private void readUntilClosed() throws IOException {
        String name = null;
        while (!containers.isEmpty()) {
            JsonToken token = parser.nextToken();
            switch (token) {
                case FIELD_NAME -> name = parser.currentName();
                case START_OBJECT -> openObject(name);
                case START_ARRAY -> openArray(name);
                case END_OBJECT, END_ARRAY -> containers.pop();
                default -> containers.element().accept(name, scalar(token));
            }
        }
    }

    private void openObject(String name) {
        Map<String, Object> fields = new LinkedHashMap<>();
        containers.element().accept(name, fields);
        containers.push(fields::put);
    }

    private void openArray(String name) {
        List<Object> entries = new ArrayList<>();
        containers.element().accept(name, entries);
        containers.push((ignoredName, value) -> entries.add(value));
    }

    private Object scalar(JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
