package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/**
 * What a request may ask for beside its conversation, whatever a format calls it. Each has one neutral shape (see
 * {@link FieldTable}), and says what is lost where a format has no field for it.
 */
public enum RequestParameter {
    MODEL(Loss.REFUSE),
    STREAM(Loss.REFUSE, JsonNode::isBoolean),
    /** Whether a stream ends with its usage; the formats without the field always send it. */
    STREAM_USAGE(Loss.HERE),
    MAX_OUTPUT(Loss.DROP),
    TEMPERATURE(Loss.DROP),
    TOP_P(Loss.DROP),
    TOP_K(Loss.DROP),
    MIN_P(Loss.DROP),
    CHOICES(Loss.REFUSE, one()),
    BEST_OF(Loss.REFUSE, one()),
    STOP(Loss.REFUSE, empty()),
    SEED(Loss.DROP),
    PRESENCE_PENALTY(Loss.DROP, zero()),
    FREQUENCY_PENALTY(Loss.DROP, zero()),
    LOGIT_BIAS(Loss.REFUSE, empty()),
    /** How many alternatives are wanted with each token. */
    LOGPROBS(Loss.REFUSE),
    /** The prompt repeated ahead of the answer; the gateway does it where the engine cannot. */
    ECHO(Loss.HERE),
    SUFFIX(Loss.REFUSE, empty()),
    USER(Loss.DROP),
    SAFETY_USER(Loss.DROP),
    CACHE_KEY(Loss.DROP),
    METADATA(Loss.DROP, empty()),
    STORE(Loss.DROP, no()),
    TOOLS(Loss.REFUSE, empty()),
    TOOL_CHOICE(
            Loss.REFUSE, node -> node.asText().equals("none") || node.asText().equals("auto")),
    PARALLEL_CALLS(Loss.DROP, JsonNode::asBoolean),
    OUTPUT_FORMAT(Loss.REFUSE, node -> node.path("type").asText().equals("text")),
    VERBOSITY(Loss.DROP),
    EFFORT(Loss.DROP),
    REASONING_SUMMARY(Loss.DROP),
    SERVICE_TIER(Loss.DROP, node -> node.asText().equals("auto")),
    PREVIOUS(Loss.REFUSE),
    CONVERSATION(Loss.REFUSE),
    TEMPLATE(Loss.REFUSE),
    BACKGROUND(Loss.REFUSE, no()),
    TRUNCATION(Loss.REFUSE, node -> node.asText().equals("disabled")),
    INCLUDE(Loss.DROP, empty()),
    MAX_TOOL_CALLS(Loss.DROP),
    MODALITIES(Loss.REFUSE, node -> node.size() == 1 && node.path(0).asText().equals("text")),
    AUDIO(Loss.REFUSE),
    PREDICTION(Loss.DROP),
    WEB_SEARCH(Loss.REFUSE),
    SERVERS(Loss.REFUSE, empty()),
    CONTAINER(Loss.REFUSE);

    /** What becomes of a setting for which a format has no field. */
    public enum Loss {
        /** Left out, and the client is warned: the answer is still one to its question. */
        DROP,
        /** Refused by name: without it the answer would be one to another question. */
        REFUSE,
        /** Done by the gateway itself. */
        HERE
    }

    private final Loss loss;
    private final Predicate<JsonNode> idle;

    RequestParameter(Loss loss) {
        this(loss, node -> false);
    }

    RequestParameter(Loss loss, Predicate<JsonNode> idle) {
        this.loss = loss;
        this.idle = idle;
    }

    /** What becomes of it where a format has no field for it. */
    public Loss loss() {
        return loss;
    }

    /** Whether a value asks for nothing beyond what happens anyway, so that nothing is lost with it. */
    public boolean idle(JsonNode value) {
        return idle.test(value);
    }

    private static Predicate<JsonNode> one() {
        return node -> node.asInt() == 1;
    }

    private static Predicate<JsonNode> zero() {
        return node -> node.asDouble() == 0;
    }

    private static Predicate<JsonNode> empty() {
        return node -> node.isContainerNode() ? node.isEmpty() : node.asText().isEmpty();
    }

    private static Predicate<JsonNode> no() {
        return node -> !node.asBoolean();
    }
}
