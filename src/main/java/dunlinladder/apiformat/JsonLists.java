package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Tests and changes the elements of a JSON list. */
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

    /** A new list of the elements, each changed. */
    static ArrayNode map(JsonNode list, UnaryOperator<JsonNode> change) {
        ArrayNode changed = JsonNodeFactory.instance.arrayNode();
        list.forEach(element -> changed.add(change.apply(element)));
        return changed;
    }
}
