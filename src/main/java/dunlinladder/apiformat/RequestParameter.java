package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/**
 * What a request may ask for besides its conversation, independent of the name that a format has for it. Each parameter
 * has one neutral form (see {@link ParameterCodec}) and says what happens where an engine's format has no field for it.
 */
public enum RequestParameter {
    /** The model that is to answer. */
    MODEL(Loss.REFUSE),
    /** Whether the reply is to be streamed. */
    STREAM(Loss.REFUSE, JsonNode::isBoolean),
    /** Whether a stream ends with its token usage; the formats without the field always send it. */
    STREAM_USAGE(Loss.HERE),
    /** The bound on the reply, in tokens. */
    MAX_OUTPUT(Loss.DROP),
    /** Sampling temperature. */
    TEMPERATURE(Loss.DROP),
    /** Nucleus sampling: the probability mass to sample from. */
    TOP_P(Loss.DROP),
    /** How many of the most probable tokens to sample from. */
    TOP_K(Loss.DROP),
    /** The least probability of a token to sample, relative to the most probable one. */
    MIN_P(Loss.DROP),
    /** How many replies are wanted. */
    CHOICES(Loss.REFUSE, isOne()),
    /** How many replies the engine is to choose from. */
    BEST_OF(Loss.REFUSE, isOne()),
    /** Sequences that end the reply. */
    STOP(Loss.REFUSE, isEmpty()),
    /** The seed of the sampling. */
    SEED(Loss.DROP),
    /** How far tokens that occurred are made less probable. */
    PRESENCE_PENALTY(Loss.DROP, isZero()),
    /** How far tokens are made less probable with each occurrence. */
    FREQUENCY_PENALTY(Loss.DROP, isZero()),
    /** Changes of the probability of single tokens. */
    LOGIT_BIAS(Loss.REFUSE, isEmpty()),
    /** How many alternatives are wanted for each token. */
    LOGPROBS(Loss.REFUSE),
    /** The prompt repeated before the reply; the gateway does it where the engine cannot. */
    ECHO(Loss.HERE),
    /** What follows the text to be inserted. */
    SUFFIX(Loss.REFUSE, isEmpty()),
    /** The client's own user. */
    USER(Loss.DROP),
    /** The client's own user, by the newer name. */
    SAFETY_USER(Loss.DROP),
    /** Which requests share a prompt cache. */
    CACHE_KEY(Loss.DROP),
    /** Labels that the client sets. */
    METADATA(Loss.DROP, isEmpty()),
    /** Whether the engine is to store the reply. */
    STORE(Loss.DROP, isFalse()),
    /** The tools that the model may call. */
    TOOLS(Loss.REFUSE, isEmpty()),
    /** Whether the model may, must or must not call a tool, or which. */
    TOOL_CHOICE(
            Loss.REFUSE, node -> node.asText().equals("none") || node.asText().equals("auto")),
    /** Whether the model may call several tools at once. */
    PARALLEL_CALLS(Loss.DROP, JsonNode::asBoolean),
    /** Text, JSON, or JSON of a schema. */
    OUTPUT_FORMAT(Loss.REFUSE, node -> node.path("type").asText().equals("text")),
    /** How long the reply should be. */
    VERBOSITY(Loss.DROP),
    /** How much the model should reason. */
    EFFORT(Loss.DROP),
    /** Whether the reasoning is to be summarised. */
    REASONING_SUMMARY(Loss.DROP),
    /** The class of service. */
    SERVICE_TIER(Loss.DROP, node -> node.asText().equals("auto")),
    /** The stored reply to continue. */
    PREVIOUS(Loss.REFUSE),
    /** The stored conversation to continue. */
    CONVERSATION(Loss.REFUSE),
    /** A stored prompt. */
    TEMPLATE(Loss.REFUSE),
    /** Whether the engine is to answer later. */
    BACKGROUND(Loss.REFUSE, isFalse()),
    /** Whether a conversation that is too long is to be cut. */
    TRUNCATION(Loss.REFUSE, node -> node.asText().equals("disabled")),
    /** What else the reply should hold. */
    INCLUDE(Loss.DROP, isEmpty()),
    /** The bound on calls of built-in tools. */
    MAX_TOOL_CALLS(Loss.DROP),
    /** Text or sound. */
    MODALITIES(Loss.REFUSE, node -> node.size() == 1 && node.path(0).asText().equals("text")),
    /** The voice and format of sound. */
    AUDIO(Loss.REFUSE),
    /** A text that the reply will resemble. */
    PREDICTION(Loss.DROP),
    /** Options of the built-in web search. */
    WEB_SEARCH(Loss.REFUSE),
    /** Tool servers that the engine is to ask. */
    SERVERS(Loss.REFUSE, isEmpty()),
    /** The container for built-in tools. */
    CONTAINER(Loss.REFUSE);

    /** What happens to a parameter for which an engine's format has no field. */
    public enum Loss {
        /** Left out, and the client is warned: the reply still answers its question. */
        DROP,
        /** The request is rejected, naming the field: without it the reply would answer another question. */
        REFUSE,
        /** Done by the gateway itself. */
        HERE
    }

    private final Loss loss;
    private final Predicate<JsonNode> neutral;

    RequestParameter(Loss loss) {
        this(loss, node -> false);
    }

    RequestParameter(Loss loss, Predicate<JsonNode> neutral) {
        this.loss = loss;
        this.neutral = neutral;
    }

    /** What happens to it where a format has no field for it. */
    public Loss loss() {
        return loss;
    }

    /** Whether a value asks for nothing beyond what happens anyway, so that leaving it out changes nothing. */
    public boolean isNeutral(JsonNode value) {
        return neutral.test(value);
    }

    private static Predicate<JsonNode> isOne() {
        return node -> node.asInt() == 1;
    }

    private static Predicate<JsonNode> isZero() {
        return node -> node.asDouble() == 0;
    }

    private static Predicate<JsonNode> isEmpty() {
        return node -> node.isContainerNode() ? node.isEmpty() : node.asText().isEmpty();
    }

    private static Predicate<JsonNode> isFalse() {
        return node -> !node.asBoolean();
    }
}
