package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Defines how one format writes a parameter: the allowed values, and their conversion to the neutral form and back. The
 * codecs of tools are in {@link ToolCodecs}.
 *
 * @param expected a description of the allowed values, for the message to a client that sent another value
 * @param allows whether the format allows a value; the other two functions may rely on this check
 * @param toNeutral converts the format's form to the neutral one
 * @param fromNeutral converts the neutral form to the format's
 */
record ParameterCodec(
        String expected,
        Predicate<JsonNode> allows,
        UnaryOperator<JsonNode> toNeutral,
        UnaryOperator<JsonNode> fromNeutral) {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private static final int MAX_TEMPERATURE = 2;
    /** The highest temperature that the messages format allows. */
    private static final int CAPPED_TEMPERATURE_MAX = 1;
    /** The maximum number of alternatives for each token that the formats allow. */
    private static final int MAX_ALTERNATIVES = 20;

    /** The minimum reasoning budget that the messages format allows, in tokens; written for minimal and low effort. */
    private static final int LOW_BUDGET_TOKENS = 1024;
    /** The minimum reasoning budget that is read as medium effort, in tokens; also written for medium effort. */
    private static final int MEDIUM_BUDGET_TOKENS = 4096;
    /** The minimum reasoning budget that is read as high effort, in tokens; also written for high and xhigh effort. */
    private static final int HIGH_BUDGET_TOKENS = 16_384;

    private static final String OUTPUT_FORMAT_EXPECTED = "an object whose type is text, json_object or json_schema";
    private static final String JSON_SCHEMA = "json_schema";

    static final ParameterCodec TEXT = unchanged("a string", JsonNode::isTextual);
    static final ParameterCodec FLAG = unchanged("true or false", JsonNode::isBoolean);
    static final ParameterCodec COUNT =
            unchanged("a whole number from 1 on", node -> node.isIntegralNumber() && node.asLong() >= 1);
    static final ParameterCodec INTEGER = unchanged("a whole number", JsonNode::isIntegralNumber);
    static final ParameterCodec NUMBER = unchanged("a number", JsonNode::isNumber);
    static final ParameterCodec FRACTION = unchanged("a number from 0 to 1", node -> isBetween(node, 0, 1));
    static final ParameterCodec TEMPERATURE =
            unchanged("a number from 0 to 2", node -> isBetween(node, 0, MAX_TEMPERATURE));
    static final ParameterCodec OBJECT = unchanged("an object", JsonNode::isObject);
    static final ParameterCodec LIST = unchanged("a list", JsonNode::isArray);
    static final ParameterCodec ANY = unchanged("a value", node -> true);

    /** A temperature of at most 1. A higher one, which other formats allow, is written as 1. */
    static final ParameterCodec CAPPED_TEMPERATURE =
            new ParameterCodec(FRACTION.expected, FRACTION.allows, node -> node, ParameterCodec::capTemperature);

    /** One stop sequence or a list of them; the neutral form is a list. */
    static final ParameterCodec STOPS = new ParameterCodec(
            "a string or a list of strings",
            node -> node.isTextual() || node.isArray() && JsonLists.all(node, JsonNode::isTextual),
            node -> node.isTextual() ? JSON.arrayNode().add(node) : node,
            node -> node);

    /** The number of alternatives to report for each token. */
    static final ParameterCodec ALTERNATIVES = unchanged(
            "a whole number from 0 to 20",
            node -> node.isIntegralNumber() && node.asInt() >= 0 && node.asInt() <= MAX_ALTERNATIVES);

    /** A flag whose value is the negation of the neutral one. */
    static final ParameterCodec NEGATED_FLAG =
            new ParameterCodec(FLAG.expected, FLAG.allows, ParameterCodec::negate, ParameterCodec::negate);

    /**
     * The output format of chat, where the schema is in a nested object. The neutral form has the fields of that object
     * next to the type.
     */
    static final ParameterCodec CHAT_OUTPUT_FORMAT = new ParameterCodec(
            OUTPUT_FORMAT_EXPECTED,
            ParameterCodec::isOutputFormat,
            ParameterCodec::flattenSchema,
            ParameterCodec::nestSchema);

    static final ParameterCodec RESPONSES_OUTPUT_FORMAT =
            unchanged(OUTPUT_FORMAT_EXPECTED, ParameterCodec::isOutputFormat);

    /** The reasoning effort by name, which is the neutral form. */
    static final ParameterCodec EFFORT = unchanged(
            "one of none, minimal, low, medium, high, xhigh",
            node -> node.asText().matches("none|minimal|low|medium|high|xhigh"));
    /** The reasoning effort as a budget of tokens. */
    static final ParameterCodec THINKING = new ParameterCodec(
            "an object of type enabled, with budget_tokens, or disabled",
            ParameterCodec::isThinking,
            ParameterCodec::thinkingToEffort,
            ParameterCodec::effortToThinking);

    /** Returns a codec whose neutral form is the same as the format's. */
    static ParameterCodec unchanged(String expected, Predicate<JsonNode> allows) {
        return new ParameterCodec(expected, allows, node -> node, node -> node);
    }

    private static boolean isBetween(JsonNode node, int min, int max) {
        return node.isNumber() && node.asDouble() >= min && node.asDouble() <= max;
    }

    private static JsonNode capTemperature(JsonNode node) {
        return node.asDouble() > CAPPED_TEMPERATURE_MAX ? IntNode.valueOf(CAPPED_TEMPERATURE_MAX) : node;
    }

    private static JsonNode negate(JsonNode flag) {
        return BooleanNode.valueOf(!flag.asBoolean());
    }

    private static String type(JsonNode node) {
        return node.path("type").asText();
    }

    private static boolean isOutputFormat(JsonNode node) {
        return node.isObject() && type(node).matches("text|json_object|json_schema");
    }

    private static JsonNode flattenSchema(JsonNode format) {
        if (!format.has(JSON_SCHEMA)) {
            return format;
        }
        ObjectNode flat = JSON.objectNode().put("type", JSON_SCHEMA);
        return flat.setAll((ObjectNode) format.get(JSON_SCHEMA).deepCopy());
    }

    private static JsonNode nestSchema(JsonNode format) {
        if (!type(format).equals(JSON_SCHEMA)) {
            return format;
        }
        ObjectNode nested = JSON.objectNode().put("type", JSON_SCHEMA);
        return nested.set(JSON_SCHEMA, ((ObjectNode) format.deepCopy()).without("type"));
    }

    private static boolean isThinking(JsonNode node) {
        return type(node).equals("disabled")
                || type(node).equals("enabled") && node.path("budget_tokens").asInt() >= LOW_BUDGET_TOKENS;
    }

    private static JsonNode thinkingToEffort(JsonNode thinking) {
        int budget = thinking.path("budget_tokens").asInt();
        if (type(thinking).equals("disabled")) {
            return TextNode.valueOf("none");
        }
        if (budget < MEDIUM_BUDGET_TOKENS) {
            return TextNode.valueOf("low");
        }
        return TextNode.valueOf(budget < HIGH_BUDGET_TOKENS ? "medium" : "high");
    }

    private static JsonNode effortToThinking(JsonNode effort) {
        return switch (effort.asText()) {
            case "none" -> JSON.objectNode().put("type", "disabled");
            case "minimal", "low" -> thinking(LOW_BUDGET_TOKENS);
            case "medium" -> thinking(MEDIUM_BUDGET_TOKENS);
            default -> thinking(HIGH_BUDGET_TOKENS);
        };
    }

    private static ObjectNode thinking(int budgetTokens) {
        return JSON.objectNode().put("type", "enabled").put("budget_tokens", budgetTokens);
    }
}
