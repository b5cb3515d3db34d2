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
 * How each format writes the tools that a model may call, and the choice among them. The neutral form of a tool is an
 * object with {@code name}, {@code description} and {@code parameters}; that of a choice is {@code auto}, {@code none},
 * {@code required} or an object with the {@code name} of a tool.
 */
final class ToolCodecs {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final String NAME = "name";
    private static final String TYPE = "type";
    private static final String FUNCTION = "function";
    private static final String INPUT_SCHEMA = "input_schema";
    private static final String PARAMETERS = "parameters";

    /** Chat's tools, with the function in an object of its own. */
    static final ParameterCodec CHAT_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> isListOf(node, tool -> isFunction(tool) && hasName(tool.path(FUNCTION))),
            node -> JsonLists.map(node, tool -> tool.get(FUNCTION)),
            node -> JsonLists.map(node, tool -> ofTypeFunction().set(FUNCTION, tool)));
    /** Chat's tools by the older field {@code functions}. */
    static final ParameterCodec CHAT_FUNCTIONS =
            ParameterCodec.unchanged("a list of functions", node -> isListOf(node, ToolCodecs::hasName));
    /** Responses' tools, whose fields lie beside their type. */
    static final ParameterCodec RESPONSES_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> isListOf(node, tool -> isFunction(tool) && hasName(tool)),
            node -> JsonLists.map(node, tool -> ((ObjectNode) tool.deepCopy()).without(TYPE)),
            node -> JsonLists.map(node, tool -> ofTypeFunction().setAll((ObjectNode) tool.deepCopy())));
    /** Messages' tools, whose schema has another name. */
    static final ParameterCodec MESSAGES_TOOLS = new ParameterCodec(
            "a list of tools with name and input_schema",
            node -> isListOf(node, ToolCodecs::isMessagesTool),
            node -> JsonLists.map(
                    node, tool -> renameField(tool, INPUT_SCHEMA, PARAMETERS).without(TYPE)),
            node -> JsonLists.map(node, ToolCodecs::messagesTool));

    /** Chat's choice, with the function's name in an object of its own. */
    static final ParameterCodec CHAT_TOOL_CHOICE = choice(
            node -> isFunction(node) ? node.path(FUNCTION).path(NAME) : MissingNode.getInstance(),
            name -> ofTypeFunction().set(FUNCTION, named(name)));
    /** Chat's choice by the older field {@code function_call}. */
    static final ParameterCodec CHAT_FUNCTION_CALL = choice(node -> node.path(NAME), ToolCodecs::named);
    /** Responses' choice, with the function's name beside its type. */
    static final ParameterCodec RESPONSES_TOOL_CHOICE = choice(
            node -> isFunction(node) ? node.path(NAME) : MissingNode.getInstance(),
            name -> ofTypeFunction().put(NAME, name));
    /** Messages' choice, always an object. */
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

    private static ObjectNode ofTypeFunction() {
        return JSON.objectNode().put(TYPE, FUNCTION);
    }

    private static ObjectNode named(String name) {
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

    /** A choice whose words are the neutral ones, and whose object holds the tool's name in the format's own way. */
    private static ParameterCodec choice(UnaryOperator<JsonNode> nameIn, Function<String, JsonNode> objectFor) {
        return new ParameterCodec(
                "auto, none, required or an object that names a function",
                node -> node.isTextual()
                        ? node.asText().matches("auto|none|required")
                        : node.isObject() && nameIn.apply(node).isTextual(),
                node -> node.isTextual() ? node : named(nameIn.apply(node).asText()),
                node -> node.isTextual()
                        ? node
                        : objectFor.apply(node.path(NAME).asText()));
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
            case "tool" -> named(node.path(NAME).asText());
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
