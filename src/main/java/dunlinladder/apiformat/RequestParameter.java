package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/**
 * A parameter of a request, independent of its name in the API formats. The parameters cover everything that a request
 * may ask for besides its conversation. Each parameter has one neutral form (see {@link ParameterCodec}) and defines
 * what happens to it if an engine's format has no field for it.
 */
public enum RequestParameter {
    /** The model that is to answer. */
    MODEL(Fallback.REFUSE),
    /** Whether the reply is to be streamed. */
    STREAM(Fallback.REFUSE, JsonNode::isBoolean),
    /** Whether a stream ends with its token usage; the formats without the field always send it. */
    STREAM_USAGE(Fallback.HERE),
    /** The maximum length of the reply, in tokens. */
    MAX_OUTPUT(Fallback.DROP),
    /** Sampling temperature. */
    TEMPERATURE(Fallback.DROP),
    /** Nucleus sampling: the probability mass to sample from. */
    TOP_P(Fallback.DROP),
    /** How many of the most probable tokens to sample from. */
    TOP_K(Fallback.DROP),
    /** The minimum probability of a token to sample, relative to the most probable one. */
    MIN_P(Fallback.DROP),
    /** The number of replies to return. */
    CHOICES(Fallback.REFUSE, isOne()),
    /** The number of replies from which the engine chooses those that it returns. */
    BEST_OF(Fallback.REFUSE, isOne()),
    /** Sequences that end the reply. */
    STOP(Fallback.REFUSE, isEmpty()),
    /** The seed of the sampling. */
    SEED(Fallback.DROP),
    /** The penalty on the probability of tokens that have occurred. */
    PRESENCE_PENALTY(Fallback.DROP, isZero()),
    /** The penalty on the probability of tokens for each time that they have occurred. */
    FREQUENCY_PENALTY(Fallback.DROP, isZero()),
    /** Changes to the probabilities of individual tokens. */
    LOGIT_BIAS(Fallback.REFUSE, isEmpty()),
    /** The number of alternatives to report with log probabilities for each token. */
    LOGPROBS(Fallback.REFUSE),
    /** Whether the prompt is repeated before the reply; the gateway does this if the engine cannot. */
    ECHO(Fallback.HERE),
    /** The text that follows the place where the reply is inserted. */
    SUFFIX(Fallback.REFUSE, isEmpty()),
    /** The end user of the client. */
    USER(Fallback.DROP),
    /** The end user of the client, in the newer field {@code safety_identifier}. */
    SAFETY_USER(Fallback.DROP),
    /** The key that requests with the same prompt cache have in common. */
    CACHE_KEY(Fallback.DROP),
    /** Labels that the client sets. */
    METADATA(Fallback.DROP, isEmpty()),
    /** Whether the engine is to store the reply. */
    STORE(Fallback.DROP, isFalse()),
    /** The tools that the model may call. */
    TOOLS(Fallback.REFUSE, isEmpty()),
    /** Whether the model may, must or must not call a tool, or which tool it must call. */
    TOOL_CHOICE(
            Fallback.REFUSE,
            node -> node.asText().equals("none") || node.asText().equals("auto")),
    /** Whether the model may call several tools at once. */
    PARALLEL_CALLS(Fallback.DROP, JsonNode::asBoolean),
    /** The format of the reply: text, JSON, or JSON according to a schema. */
    OUTPUT_FORMAT(Fallback.REFUSE, node -> node.path("type").asText().equals("text")),
    /** How long the reply should be. */
    VERBOSITY(Fallback.DROP),
    /** How much the model should reason. */
    EFFORT(Fallback.DROP),
    /** Whether the reasoning is to be summarised. */
    REASONING_SUMMARY(Fallback.DROP),
    /** The service tier of the request. */
    SERVICE_TIER(Fallback.DROP, node -> node.asText().equals("auto")),
    /** The stored reply to continue. */
    PREVIOUS(Fallback.REFUSE),
    /** The stored conversation to continue. */
    CONVERSATION(Fallback.REFUSE),
    /** A stored prompt. */
    TEMPLATE(Fallback.REFUSE),
    /** Whether the engine is to answer later. */
    BACKGROUND(Fallback.REFUSE, isFalse()),
    /** Whether a conversation that is too long is to be cut. */
    TRUNCATION(Fallback.REFUSE, node -> node.asText().equals("disabled")),
    /** Additional data to include in the reply. */
    INCLUDE(Fallback.DROP, isEmpty()),
    /** The maximum number of calls of built-in tools. */
    MAX_TOOL_CALLS(Fallback.DROP),
    /** The kinds of output: text or sound. */
    MODALITIES(
            Fallback.REFUSE, node -> node.size() == 1 && node.path(0).asText().equals("text")),
    /** The voice and format of sound output. */
    AUDIO(Fallback.REFUSE),
    /** A text that the reply will probably resemble. */
    PREDICTION(Fallback.DROP),
    /** Options of the built-in web search. */
    WEB_SEARCH(Fallback.REFUSE),
    /** Tool servers that the engine may call. */
    SERVERS(Fallback.REFUSE, isEmpty()),
    /** The container for built-in tools. */
    CONTAINER(Fallback.REFUSE);

    /** The handling of a parameter for which an engine's format has no field. */
    public enum Fallback {
        /** The parameter is left out, and the client is warned: the reply still answers the client's question. */
        DROP,
        /**
         * The request is rejected with an error that names the field: without the field, the reply would answer another
         * question.
         */
        REFUSE,
        /** The gateway itself does what the parameter asks for. */
        HERE
    }

    private final Fallback fallback;
    private final Predicate<JsonNode> omittable;

    RequestParameter(Fallback fallback) {
        this(fallback, node -> false);
    }

    RequestParameter(Fallback fallback, Predicate<JsonNode> omittable) {
        this.fallback = fallback;
        this.omittable = omittable;
    }

    /** Returns how the parameter is handled if a format has no field for it. */
    public Fallback fallback() {
        return fallback;
    }

    /** Whether a value asks for nothing beyond the default behaviour, so that leaving it out changes nothing. */
    public boolean canBeOmitted(JsonNode value) {
        return omittable.test(value);
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
