package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Tests and maps the elements of a JSON list. */
final class JsonLists {

    private JsonLists() {}

    /** Whether all elements pass a test. */
    static boolean all(JsonNode list, Predicate<JsonNode> test) {
        for (JsonNode element : list) {
            if (!test.test(element)) {
                return false;
            }
        }
        return true;
    }

    /** Returns a new list with the result of a function for each element. */
    static ArrayNode map(JsonNode list, UnaryOperator<JsonNode> mapper) {
        ArrayNode mapped = JsonNodeFactory.instance.arrayNode();
        list.forEach(element -> mapped.add(mapper.apply(element)));
        return mapped;
    }
}
