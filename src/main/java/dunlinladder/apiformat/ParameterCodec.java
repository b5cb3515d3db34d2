package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * How one format writes a setting: what it allows, and the way to the neutral shape and back. Each throws
 * {@link IllegalArgumentException} with the reason for a value that it does not allow.
 */
record ParameterCodec(
        String wants,
        Predicate<JsonNode> allows,
        UnaryOperator<JsonNode> toNeutral,
        UnaryOperator<JsonNode> fromNeutral) {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    static final ParameterCodec TEXT = same("a string", JsonNode::isTextual);
    static final ParameterCodec FLAG = same("true or false", JsonNode::isBoolean);
    static final ParameterCodec COUNT =
            same("a whole number from 1 on", node -> node.isIntegralNumber() && node.asLong() >= 1);
    static final ParameterCodec WHOLE = same("a whole number", JsonNode::isIntegralNumber);
    static final ParameterCodec NUMBER = same("a number", JsonNode::isNumber);
    static final ParameterCodec SHARE =
            same("a number from 0 to 1", node -> node.isNumber() && node.asDouble() >= 0 && node.asDouble() <= 1);
    static final ParameterCodec HEAT =
            same("a number from 0 to 2", node -> node.isNumber() && node.asDouble() >= 0 && node.asDouble() <= 2);
    static final ParameterCodec OBJECT = same("an object", JsonNode::isObject);
    static final ParameterCodec LIST = same("a list", JsonNode::isArray);
    static final ParameterCodec ANY = same("a value", node -> true);

    /** A temperature of at most 1: what another format allows beyond that is cut. */
    static final ParameterCodec MILD = new ParameterCodec(
            SHARE.wants, SHARE.allows, node -> node, node -> node.asDouble() > 1 ? IntNode.valueOf(1) : node);

    /** One stop sequence or a list of them; a list in neutral shape. */
    static final ParameterCodec STOPS = new ParameterCodec(
            "a string or a list of strings",
            node -> node.isTextual() || node.isArray() && all(node, JsonNode::isTextual),
            node -> node.isTextual() ? JSON.arrayNode().add(node) : node,
            node -> node);

    /** The number of alternatives as the legacy text API gives it, from 0. */
    static final ParameterCodec ALTERNATIVES = same(
            "a whole number from 0 to 20", node -> node.isIntegralNumber() && node.asInt() >= 0 && node.asInt() <= 20);

    /** Tools with their function one level down. */
    static final ParameterCodec CHAT_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> node.isArray()
                    && all(
                            node,
                            tool -> tool.path("type").asText().equals("function")
                                    && tool.path("function").path("name").isTextual()),
            node -> map(node, tool -> tool.get("function")),
            node -> map(node, tool -> JSON.objectNode().put("type", "function").set("function", tool)));
    /** Functions by the older name. */
    static final ParameterCodec FUNCTIONS = new ParameterCodec(
            "a list of functions",
            node -> node.isArray() && all(node, tool -> tool.path("name").isTextual()),
            node -> node,
            node -> node);
    /** Tools whose fields lie beside their type. */
    static final ParameterCodec FLAT_TOOLS = new ParameterCodec(
            "a list of function tools",
            node -> node.isArray()
                    && all(
                            node,
                            tool -> tool.path("type").asText().equals("function")
                                    && tool.path("name").isTextual()),
            node -> map(node, tool -> ((ObjectNode) tool.deepCopy()).without("type")),
            node -> map(node, tool -> JSON.objectNode().put("type", "function").setAll((ObjectNode) tool.deepCopy())));
    /** Tools with their schema by another name. */
    static final ParameterCodec SCHEMA_TOOLS = new ParameterCodec(
            "a list of tools with name and input_schema",
            node -> node.isArray()
                    && all(
                            node,
                            tool -> tool.path("name").isTextual()
                                    && tool.path("input_schema").isObject()
                                    && (!tool.has("type")
                                            || tool.path("type").asText().equals("custom"))),
            node -> map(
                    node, tool -> renamed(tool, "input_schema", "parameters").without("type")),
            node -> map(node, tool -> {
                ObjectNode schema = renamed(tool, "parameters", "input_schema");
                schema.remove("strict");
                return schema.has("input_schema")
                        ? schema
                        : schema.set("input_schema", JSON.objectNode().put("type", "object"));
            }));

    /** {@code auto}, {@code none}, {@code required}, or the tool's name in an object, as neutral. */
    static final ParameterCodec CHAT_CHOICE = choice(
            node -> node.path("type").asText().equals("function")
                    ? node.path("function").path("name")
                    : null,
            name -> JSON.objectNode()
                    .put("type", "function")
                    .set("function", JSON.objectNode().put("name", name)));

    static final ParameterCodec OLD_CHOICE =
            choice(node -> node.path("name"), name -> JSON.objectNode().put("name", name));
    static final ParameterCodec FLAT_CHOICE = choice(
            node -> node.path("type").asText().equals("function") ? node.path("name") : null,
            name -> JSON.objectNode().put("type", "function").put("name", name));
    static final ParameterCodec TYPED_CHOICE = new ParameterCodec(
            "an object whose type is auto, any, tool or none",
            node -> switch (node.path("type").asText()) {
                case "auto", "any", "none" -> true;
                case "tool" -> node.path("name").isTextual();
                default -> false;
            },
            node -> switch (node.path("type").asText()) {
                case "any" -> TextNode.valueOf("required");
                case "tool" -> JSON.objectNode().put("name", node.path("name").asText());
                default -> node.get("type");
            },
            node -> node.isObject()
                    ? JSON.objectNode()
                            .put("type", "tool")
                            .put("name", node.path("name").asText())
                    : JSON.objectNode().put("type", node.asText().equals("required") ? "any" : node.asText()));

    /** Whether calls beside each other are barred: the opposite of the neutral flag. */
    static final ParameterCodec NOT = new ParameterCodec(
            FLAG.wants,
            FLAG.allows,
            node -> BooleanNode.valueOf(!node.asBoolean()),
            node -> BooleanNode.valueOf(!node.asBoolean()));

    /** An output format with the schema one level down; neutral has it beside the type. */
    static final ParameterCodec NESTED_FORMAT = new ParameterCodec(
            "an object whose type is text, json_object or json_schema",
            ParameterCodec::isFormat,
            node -> node.has("json_schema")
                    ? JSON.objectNode().put("type", "json_schema").setAll((ObjectNode)
                            node.get("json_schema").deepCopy())
                    : node,
            node -> node.path("type").asText().equals("json_schema")
                    ? JSON.objectNode()
                            .put("type", "json_schema")
                            .set("json_schema", ((ObjectNode) node.deepCopy()).without("type"))
                    : node);

    static final ParameterCodec FLAT_FORMAT =
            new ParameterCodec(NESTED_FORMAT.wants, ParameterCodec::isFormat, node -> node, node -> node);

    static final ParameterCodec EFFORT = same(
            "one of none, minimal, low, medium, high, xhigh",
            node -> node.asText().matches("none|minimal|low|medium|high|xhigh"));
    /** Reasoning by a number of tokens. */
    static final ParameterCodec THINKING = new ParameterCodec(
            "an object of type enabled, with budget_tokens, or disabled",
            node -> node.path("type").asText().equals("disabled")
                    || node.path("type").asText().equals("enabled")
                            && node.path("budget_tokens").asInt() >= 1024,
            node -> TextNode.valueOf(
                    node.path("type").asText().equals("disabled")
                            ? "none"
                            : node.path("budget_tokens").asInt() < 4096
                                    ? "low"
                                    : node.path("budget_tokens").asInt() < 16384 ? "medium" : "high"),
            node -> switch (node.asText()) {
                case "none" -> JSON.objectNode().put("type", "disabled");
                case "minimal", "low" -> enabled(1024);
                case "medium" -> enabled(4096);
                default -> enabled(16384);
            });

    private static ObjectNode enabled(int tokens) {
        return JSON.objectNode().put("type", "enabled").put("budget_tokens", tokens);
    }

    private static ParameterCodec same(String wants, Predicate<JsonNode> allows) {
        return new ParameterCodec(wants, allows, node -> node, node -> node);
    }

    /** A choice of tools: words stay, a name is found and put in the format's own way. */
    private static ParameterCodec choice(UnaryOperator<JsonNode> nameIn, Function<String, JsonNode> of) {
        return new ParameterCodec(
                "auto, none, required or an object that names a function",
                node -> node.isTextual()
                        ? node.asText().matches("auto|none|required")
                        : node.isObject()
                                && nameIn.apply(node) != null
                                && nameIn.apply(node).isTextual(),
                node -> node.isTextual()
                        ? node
                        : JSON.objectNode().put("name", nameIn.apply(node).asText()),
                node -> node.isTextual() ? node : of.apply(node.path("name").asText()));
    }

    private static boolean isFormat(JsonNode node) {
        return node.isObject() && node.path("type").asText().matches("text|json_object|json_schema");
    }

    private static boolean all(JsonNode list, Predicate<JsonNode> test) {
        for (JsonNode each : list) {
            if (!test.test(each)) {
                return false;
            }
        }
        return true;
    }

    private static ArrayNode map(JsonNode list, UnaryOperator<JsonNode> change) {
        ArrayNode changed = JSON.arrayNode();
        list.forEach(each -> changed.add(change.apply(each)));
        return changed;
    }

    private static ObjectNode renamed(JsonNode node, String from, String to) {
        ObjectNode copy = (ObjectNode) node.deepCopy();
        JsonNode value = copy.remove(from);
        if (value != null) {
            copy.set(to, value);
        }
        return copy;
    }
}
