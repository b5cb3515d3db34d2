package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The codecs of the tools that a model may call, and of the choice among them, for each format. The neutral form of a
 * tool is an object with {@code name}, {@code description} and {@code parameters}. The neutral form of a choice is
 * {@code auto}, {@code none}, {@code required} or an object with the {@code name} of a tool.
 */
final class ToolCodecs {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final String NAME = "name";
    private static final String TYPE = "type";
    private static final String FUNCTION = "function";
    private static final String INPUT_SCHEMA = "input_schema";
    private static final String PARAMETERS = "parameters";

    /** The tools of chat, where the function is a nested object. */
    static final ParameterCodec CHAT_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> isListOf(node, tool -> isFunction(tool) && hasName(tool.path(FUNCTION))),
            node -> JsonLists.map(node, tool -> tool.get(FUNCTION)),
            node -> JsonLists.map(node, tool -> functionObject().set(FUNCTION, tool)));
    /** The tools of chat in the older field {@code functions}. */
    static final ParameterCodec CHAT_FUNCTIONS =
            ParameterCodec.unchanged("a list of functions", node -> isListOf(node, ToolCodecs::hasName));
    /** The tools of responses, where the fields of the function are next to the type. */
    static final ParameterCodec RESPONSES_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> isListOf(node, tool -> isFunction(tool) && hasName(tool)),
            node -> JsonLists.map(node, tool -> ((ObjectNode) tool.deepCopy()).without(TYPE)),
            node -> JsonLists.map(node, tool -> functionObject().setAll((ObjectNode) tool.deepCopy())));
    /** The tools of messages, where the schema is named {@code input_schema}. */
    static final ParameterCodec MESSAGES_TOOLS = new ParameterCodec(
            "a list of tools with name and input_schema",
            node -> isListOf(node, ToolCodecs::isMessagesTool),
            node -> JsonLists.map(
                    node, tool -> renameField(tool, INPUT_SCHEMA, PARAMETERS).without(TYPE)),
            node -> JsonLists.map(node, ToolCodecs::messagesTool));

    /** The choice of chat, where the function's name is in a nested object. */
    static final ParameterCodec CHAT_TOOL_CHOICE = choice(
            node -> isFunction(node) ? node.path(FUNCTION).path(NAME) : MissingNode.getInstance(),
            name -> functionObject().set(FUNCTION, objectWithName(name)));
    /** The choice of chat in the older field {@code function_call}. */
    static final ParameterCodec CHAT_FUNCTION_CALL = choice(node -> node.path(NAME), ToolCodecs::objectWithName);
    /** The choice of responses, where the function's name is next to the type. */
    static final ParameterCodec RESPONSES_TOOL_CHOICE = choice(
            node -> isFunction(node) ? node.path(NAME) : MissingNode.getInstance(),
            name -> functionObject().put(NAME, name));
    /** The choice of messages, which is always an object. */
    static final ParameterCodec MESSAGES_TOOL_CHOICE = new ParameterCodec(
            "an object whose type is auto, any, tool or none",
            ToolCodecs::isMessagesChoice,
            ToolCodecs::neutralChoice,
            ToolCodecs::messagesChoice);

    private ToolCodecs() {}

    private static boolean isListOf(JsonNode node, Predicate<JsonNode> test) {
        return node.isArray() && JsonLists.all(node, test);
    }

    private static boolean hasName(JsonNode tool) {
        return tool.path(NAME).isTextual();
    }

    private static boolean isFunction(JsonNode tool) {
        return tool.path(TYPE).asText().equals(FUNCTION);
    }

    private static ObjectNode functionObject() {
        return JSON.objectNode().put(TYPE, FUNCTION);
    }

    private static ObjectNode objectWithName(String name) {
        return JSON.objectNode().put(NAME, name);
    }

    private static boolean isMessagesTool(JsonNode tool) {
        boolean custom = !tool.has(TYPE) || tool.path(TYPE).asText().equals("custom");
        return hasName(tool) && tool.path(INPUT_SCHEMA).isObject() && custom;
    }

    private static JsonNode messagesTool(JsonNode tool) {
        ObjectNode encoded = renameField(tool, PARAMETERS, INPUT_SCHEMA);
        encoded.remove("strict");
        return encoded.has(INPUT_SCHEMA)
                ? encoded
                : encoded.set(INPUT_SCHEMA, JSON.objectNode().put(TYPE, "object"));
    }

    private static ObjectNode renameField(JsonNode node, String from, String to) {
        ObjectNode copy = (ObjectNode) node.deepCopy();
        JsonNode value = copy.remove(from);
        if (value != null) {
            copy.set(to, value);
        }
        return copy;
    }

    /**
     * Returns the codec of a choice whose strings are the same as the neutral ones.
     *
     * @param extractName returns the tool's name in the format's object, or a node that is not textual if there is none
     * @param createObject creates the format's object with the name of a tool
     */
    private static ParameterCodec choice(UnaryOperator<JsonNode> extractName, Function<String, JsonNode> createObject) {
        return new ParameterCodec(
                "auto, none, required or an object that names a function",
                node -> node.isTextual()
                        ? node.asText().matches("auto|none|required")
                        : node.isObject() && extractName.apply(node).isTextual(),
                node -> node.isTextual()
                        ? node
                        : objectWithName(extractName.apply(node).asText()),
                node -> node.isTextual()
                        ? node
                        : createObject.apply(node.path(NAME).asText()));
    }

    private static boolean isMessagesChoice(JsonNode node) {
        return switch (node.path(TYPE).asText()) {
            case "auto", "any", "none" -> true;
            case "tool" -> hasName(node);
            default -> false;
        };
    }

    private static JsonNode neutralChoice(JsonNode node) {
        return switch (node.path(TYPE).asText()) {
            case "any" -> TextNode.valueOf("required");
            case "tool" -> objectWithName(node.path(NAME).asText());
            default -> node.get(TYPE);
        };
    }

    private static JsonNode messagesChoice(JsonNode choice) {
        if (choice.isObject()) {
            return JSON.objectNode()
                    .put(TYPE, "tool")
                    .put(NAME, choice.path(NAME).asText());
        }
        return JSON.objectNode().put(TYPE, choice.asText().equals("required") ? "any" : choice.asText());
    }
}
