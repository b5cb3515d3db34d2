package dunlinladder.apiformat;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The fields of one API format: for each field, its {@link RequestParameter} and the {@link ParameterCodec} that reads
 * and writes its values. Decoding, encoding, {@link TranslationTable} and the page {@code docs/fields.md} are all
 * derived from these tables. The fields are taken from the published references of the formats.
 */
final class FieldTable {

    /**
     * A field of a format.
     *
     * @param path the field's name; if the field is inside an object, prefixed with the object's name and a dot
     * @param parameter the parameter that the field sets
     * @param codec the codec for the values of the field
     * @param alias whether the name is an older one, which is read but not written
     */
    record Field(String path, RequestParameter parameter, ParameterCodec codec, boolean alias) {}

    private static final Map<ApiFormat, FieldTable> TABLES = new EnumMap<>(ApiFormat.class);

    static {
        for (ApiFormat format : ApiFormat.values()) {
            TABLES.put(format, new FieldTable(format));
        }
    }

    private final Map<String, Field> byPath = new LinkedHashMap<>();
    private final Map<RequestParameter, Field> byParameter = new EnumMap<>(RequestParameter.class);
    private final Set<String> objects = new HashSet<>();

    private FieldTable(ApiFormat format) {
        switch (format) {
            case COMPLETIONS -> addCompletions();
            case CHAT -> addChat();
            case RESPONSES -> addResponses();
            case MESSAGES -> addMessages();
        }
    }

    /** Returns the fields of a format. */
    static FieldTable of(ApiFormat format) {
        return TABLES.get(format);
    }

    /** Returns the field with a dotted path, if the format has it. */
    Optional<Field> find(String path) {
        return Optional.ofNullable(byPath.get(path));
    }

    /** Returns the field by which the format writes a parameter, if it has one. */
    Optional<Field> find(RequestParameter parameter) {
        return Optional.ofNullable(byParameter.get(parameter));
    }

    /** Returns all fields, in the order of the reference page. */
    List<Field> fields() {
        return List.copyOf(byPath.values());
    }

    /** Whether the format has fields inside an object of this name. */
    boolean hasFieldsIn(String name) {
        return objects.contains(name);
    }

    private void add(String path, RequestParameter parameter, ParameterCodec codec) {
        Field field = new Field(path, parameter, codec, false);
        put(field);
        byParameter.put(parameter, field);
    }

    private void addAlias(String path, RequestParameter parameter, ParameterCodec codec) {
        put(new Field(path, parameter, codec, true));
    }

    private void put(Field field) {
        byPath.put(field.path(), field);
        int dot = field.path().indexOf('.');
        if (dot >= 0) {
            objects.add(field.path().substring(0, dot));
        }
    }

    private void addCompletions() {
        addCommon();
        add("stream_options.include_usage", RequestParameter.STREAM_USAGE, ParameterCodec.FLAG);
        add("max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add("temperature", RequestParameter.TEMPERATURE, ParameterCodec.TEMPERATURE);
        addSampling();
        add("best_of", RequestParameter.BEST_OF, ParameterCodec.COUNT);
        add("logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add("echo", RequestParameter.ECHO, ParameterCodec.FLAG);
        add("suffix", RequestParameter.SUFFIX, ParameterCodec.TEXT);
        add("user", RequestParameter.USER, ParameterCodec.TEXT);
    }

    private void addChat() {
        addCommon();
        add("stream_options.include_usage", RequestParameter.STREAM_USAGE, ParameterCodec.FLAG);
        add("max_completion_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        addAlias("max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add("temperature", RequestParameter.TEMPERATURE, ParameterCodec.TEMPERATURE);
        addSampling();
        add("top_logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add("user", RequestParameter.USER, ParameterCodec.TEXT);
        add("tools", RequestParameter.TOOLS, ToolCodecs.CHAT_TOOLS);
        addAlias("functions", RequestParameter.TOOLS, ToolCodecs.CHAT_FUNCTIONS);
        add("tool_choice", RequestParameter.TOOL_CHOICE, ToolCodecs.CHAT_TOOL_CHOICE);
        addAlias("function_call", RequestParameter.TOOL_CHOICE, ToolCodecs.CHAT_FUNCTION_CALL);
        add("response_format", RequestParameter.OUTPUT_FORMAT, ParameterCodec.CHAT_OUTPUT_FORMAT);
        add("reasoning_effort", RequestParameter.EFFORT, ParameterCodec.EFFORT);
        add("verbosity", RequestParameter.VERBOSITY, ParameterCodec.TEXT);
        add("modalities", RequestParameter.MODALITIES, ParameterCodec.LIST);
        add("audio", RequestParameter.AUDIO, ParameterCodec.OBJECT);
        add("prediction", RequestParameter.PREDICTION, ParameterCodec.OBJECT);
        add("web_search_options", RequestParameter.WEB_SEARCH, ParameterCodec.OBJECT);
        addChatAndResponses();
    }

    private void addResponses() {
        addCommon();
        add("max_output_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add("temperature", RequestParameter.TEMPERATURE, ParameterCodec.TEMPERATURE);
        add("top_logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add("user", RequestParameter.USER, ParameterCodec.TEXT);
        add("tools", RequestParameter.TOOLS, ToolCodecs.RESPONSES_TOOLS);
        add("tool_choice", RequestParameter.TOOL_CHOICE, ToolCodecs.RESPONSES_TOOL_CHOICE);
        add("text.format", RequestParameter.OUTPUT_FORMAT, ParameterCodec.RESPONSES_OUTPUT_FORMAT);
        add("text.verbosity", RequestParameter.VERBOSITY, ParameterCodec.TEXT);
        add("reasoning.effort", RequestParameter.EFFORT, ParameterCodec.EFFORT);
        add("reasoning.summary", RequestParameter.REASONING_SUMMARY, ParameterCodec.TEXT);
        add("previous_response_id", RequestParameter.PREVIOUS, ParameterCodec.TEXT);
        add("conversation", RequestParameter.CONVERSATION, ParameterCodec.ANY);
        add("prompt", RequestParameter.TEMPLATE, ParameterCodec.OBJECT);
        add("background", RequestParameter.BACKGROUND, ParameterCodec.FLAG);
        add("truncation", RequestParameter.TRUNCATION, ParameterCodec.TEXT);
        add("include", RequestParameter.INCLUDE, ParameterCodec.LIST);
        add("max_tool_calls", RequestParameter.MAX_TOOL_CALLS, ParameterCodec.COUNT);
        addChatAndResponses();
    }

    private void addMessages() {
        addCommon();
        add("max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add("temperature", RequestParameter.TEMPERATURE, ParameterCodec.CAPPED_TEMPERATURE);
        add("top_k", RequestParameter.TOP_K, ParameterCodec.COUNT);
        add("stop_sequences", RequestParameter.STOP, ParameterCodec.STOPS);
        add("metadata.user_id", RequestParameter.USER, ParameterCodec.TEXT);
        add("tools", RequestParameter.TOOLS, ToolCodecs.MESSAGES_TOOLS);
        add("tool_choice", RequestParameter.TOOL_CHOICE, ToolCodecs.MESSAGES_TOOL_CHOICE);
        add("tool_choice.disable_parallel_tool_use", RequestParameter.PARALLEL_CALLS, ParameterCodec.NEGATED_FLAG);
        add("thinking", RequestParameter.EFFORT, ParameterCodec.THINKING);
        add("service_tier", RequestParameter.SERVICE_TIER, ParameterCodec.TEXT);
        add("mcp_servers", RequestParameter.SERVERS, ParameterCodec.LIST);
        add("container", RequestParameter.CONTAINER, ParameterCodec.ANY);
    }

    /** Adds the fields that all formats have. */
    private void addCommon() {
        add("model", RequestParameter.MODEL, ParameterCodec.TEXT);
        add("stream", RequestParameter.STREAM, ParameterCodec.FLAG);
        add("top_p", RequestParameter.TOP_P, ParameterCodec.FRACTION);
    }

    /** Adds the fields that only completions and chat have. */
    private void addSampling() {
        add("n", RequestParameter.CHOICES, ParameterCodec.COUNT);
        add("stop", RequestParameter.STOP, ParameterCodec.STOPS);
        add("seed", RequestParameter.SEED, ParameterCodec.INTEGER);
        add("presence_penalty", RequestParameter.PRESENCE_PENALTY, ParameterCodec.NUMBER);
        add("frequency_penalty", RequestParameter.FREQUENCY_PENALTY, ParameterCodec.NUMBER);
        add("logit_bias", RequestParameter.LOGIT_BIAS, ParameterCodec.OBJECT);
    }

    /** Adds the fields that chat and responses have in common. */
    private void addChatAndResponses() {
        add("parallel_tool_calls", RequestParameter.PARALLEL_CALLS, ParameterCodec.FLAG);
        add("metadata", RequestParameter.METADATA, ParameterCodec.OBJECT);
        add("store", RequestParameter.STORE, ParameterCodec.FLAG);
        add("service_tier", RequestParameter.SERVICE_TIER, ParameterCodec.TEXT);
        add("safety_identifier", RequestParameter.SAFETY_USER, ParameterCodec.TEXT);
        add("prompt_cache_key", RequestParameter.CACHE_KEY, ParameterCodec.TEXT);
    }
}
