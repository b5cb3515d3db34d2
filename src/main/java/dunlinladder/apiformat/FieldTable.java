package dunlinladder.apiformat;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of each format, once: which setting each one is, and how it is written. What is read, what is written,
 * what each pair of formats does with a field and the table in the docs all come from here.
 */
final class FieldTable {

    /**
     * A field of a format.
     *
     * @param path its name, with a dot where it lies in an object
     * @param alias true for an older name, which is read but not written
     */
    record Field(String path, RequestParameter setting, ParameterCodec shape, boolean alias) {}

    private static final Map<ApiFormat, Map<String, Field>> BY_PATH = new EnumMap<>(ApiFormat.class);
    private static final Map<ApiFormat, Map<RequestParameter, Field>> BY_SETTING = new EnumMap<>(ApiFormat.class);

    private FieldTable() {}

    static {
        common(ApiFormat.COMPLETIONS);
        add(ApiFormat.COMPLETIONS, "stream_options.include_usage", RequestParameter.STREAM_USAGE, ParameterCodec.FLAG);
        add(ApiFormat.COMPLETIONS, "max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add(ApiFormat.COMPLETIONS, "temperature", RequestParameter.TEMPERATURE, ParameterCodec.HEAT);
        sampling(ApiFormat.COMPLETIONS);
        add(ApiFormat.COMPLETIONS, "best_of", RequestParameter.BEST_OF, ParameterCodec.COUNT);
        add(ApiFormat.COMPLETIONS, "logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add(ApiFormat.COMPLETIONS, "echo", RequestParameter.ECHO, ParameterCodec.FLAG);
        add(ApiFormat.COMPLETIONS, "suffix", RequestParameter.SUFFIX, ParameterCodec.TEXT);
        add(ApiFormat.COMPLETIONS, "user", RequestParameter.USER, ParameterCodec.TEXT);

        common(ApiFormat.CHAT);
        add(ApiFormat.CHAT, "stream_options.include_usage", RequestParameter.STREAM_USAGE, ParameterCodec.FLAG);
        add(ApiFormat.CHAT, "max_completion_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        alias(ApiFormat.CHAT, "max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add(ApiFormat.CHAT, "temperature", RequestParameter.TEMPERATURE, ParameterCodec.HEAT);
        sampling(ApiFormat.CHAT);
        add(ApiFormat.CHAT, "top_logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add(ApiFormat.CHAT, "user", RequestParameter.USER, ParameterCodec.TEXT);
        add(ApiFormat.CHAT, "tools", RequestParameter.TOOLS, ParameterCodec.CHAT_TOOLS);
        alias(ApiFormat.CHAT, "functions", RequestParameter.TOOLS, ParameterCodec.FUNCTIONS);
        add(ApiFormat.CHAT, "tool_choice", RequestParameter.TOOL_CHOICE, ParameterCodec.CHAT_CHOICE);
        alias(ApiFormat.CHAT, "function_call", RequestParameter.TOOL_CHOICE, ParameterCodec.OLD_CHOICE);
        add(ApiFormat.CHAT, "response_format", RequestParameter.OUTPUT_FORMAT, ParameterCodec.NESTED_FORMAT);
        add(ApiFormat.CHAT, "reasoning_effort", RequestParameter.EFFORT, ParameterCodec.EFFORT);
        add(ApiFormat.CHAT, "verbosity", RequestParameter.VERBOSITY, ParameterCodec.TEXT);
        add(ApiFormat.CHAT, "modalities", RequestParameter.MODALITIES, ParameterCodec.LIST);
        add(ApiFormat.CHAT, "audio", RequestParameter.AUDIO, ParameterCodec.OBJECT);
        add(ApiFormat.CHAT, "prediction", RequestParameter.PREDICTION, ParameterCodec.OBJECT);
        add(ApiFormat.CHAT, "web_search_options", RequestParameter.WEB_SEARCH, ParameterCodec.OBJECT);
        shared(ApiFormat.CHAT);

        common(ApiFormat.RESPONSES);
        add(ApiFormat.RESPONSES, "max_output_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add(ApiFormat.RESPONSES, "temperature", RequestParameter.TEMPERATURE, ParameterCodec.HEAT);
        add(ApiFormat.RESPONSES, "top_logprobs", RequestParameter.LOGPROBS, ParameterCodec.ALTERNATIVES);
        add(ApiFormat.RESPONSES, "user", RequestParameter.USER, ParameterCodec.TEXT);
        add(ApiFormat.RESPONSES, "tools", RequestParameter.TOOLS, ParameterCodec.FLAT_TOOLS);
        add(ApiFormat.RESPONSES, "tool_choice", RequestParameter.TOOL_CHOICE, ParameterCodec.FLAT_CHOICE);
        add(ApiFormat.RESPONSES, "text.format", RequestParameter.OUTPUT_FORMAT, ParameterCodec.FLAT_FORMAT);
        add(ApiFormat.RESPONSES, "text.verbosity", RequestParameter.VERBOSITY, ParameterCodec.TEXT);
        add(ApiFormat.RESPONSES, "reasoning.effort", RequestParameter.EFFORT, ParameterCodec.EFFORT);
        add(ApiFormat.RESPONSES, "reasoning.summary", RequestParameter.REASONING_SUMMARY, ParameterCodec.TEXT);
        add(ApiFormat.RESPONSES, "previous_response_id", RequestParameter.PREVIOUS, ParameterCodec.TEXT);
        add(ApiFormat.RESPONSES, "conversation", RequestParameter.CONVERSATION, ParameterCodec.ANY);
        add(ApiFormat.RESPONSES, "prompt", RequestParameter.TEMPLATE, ParameterCodec.OBJECT);
        add(ApiFormat.RESPONSES, "background", RequestParameter.BACKGROUND, ParameterCodec.FLAG);
        add(ApiFormat.RESPONSES, "truncation", RequestParameter.TRUNCATION, ParameterCodec.TEXT);
        add(ApiFormat.RESPONSES, "include", RequestParameter.INCLUDE, ParameterCodec.LIST);
        add(ApiFormat.RESPONSES, "max_tool_calls", RequestParameter.MAX_TOOL_CALLS, ParameterCodec.COUNT);
        shared(ApiFormat.RESPONSES);

        common(ApiFormat.MESSAGES);
        add(ApiFormat.MESSAGES, "max_tokens", RequestParameter.MAX_OUTPUT, ParameterCodec.COUNT);
        add(ApiFormat.MESSAGES, "temperature", RequestParameter.TEMPERATURE, ParameterCodec.MILD);
        add(ApiFormat.MESSAGES, "top_k", RequestParameter.TOP_K, ParameterCodec.COUNT);
        add(ApiFormat.MESSAGES, "stop_sequences", RequestParameter.STOP, ParameterCodec.STOPS);
        add(ApiFormat.MESSAGES, "metadata.user_id", RequestParameter.USER, ParameterCodec.TEXT);
        add(ApiFormat.MESSAGES, "tools", RequestParameter.TOOLS, ParameterCodec.SCHEMA_TOOLS);
        add(ApiFormat.MESSAGES, "tool_choice", RequestParameter.TOOL_CHOICE, ParameterCodec.TYPED_CHOICE);
        add(
                ApiFormat.MESSAGES,
                "tool_choice.disable_parallel_tool_use",
                RequestParameter.PARALLEL_CALLS,
                ParameterCodec.NOT);
        add(ApiFormat.MESSAGES, "thinking", RequestParameter.EFFORT, ParameterCodec.THINKING);
        add(ApiFormat.MESSAGES, "service_tier", RequestParameter.SERVICE_TIER, ParameterCodec.TEXT);
        add(ApiFormat.MESSAGES, "mcp_servers", RequestParameter.SERVERS, ParameterCodec.LIST);
        add(ApiFormat.MESSAGES, "container", RequestParameter.CONTAINER, ParameterCodec.ANY);
    }

    private static void common(ApiFormat format) {
        add(format, "model", RequestParameter.MODEL, ParameterCodec.TEXT);
        add(format, "stream", RequestParameter.STREAM, ParameterCodec.FLAG);
        add(format, "top_p", RequestParameter.TOP_P, ParameterCodec.SHARE);
    }

    private static void sampling(ApiFormat format) {
        add(format, "n", RequestParameter.CHOICES, ParameterCodec.COUNT);
        add(format, "stop", RequestParameter.STOP, ParameterCodec.STOPS);
        add(format, "seed", RequestParameter.SEED, ParameterCodec.WHOLE);
        add(format, "presence_penalty", RequestParameter.PRESENCE_PENALTY, ParameterCodec.NUMBER);
        add(format, "frequency_penalty", RequestParameter.FREQUENCY_PENALTY, ParameterCodec.NUMBER);
        add(format, "logit_bias", RequestParameter.LOGIT_BIAS, ParameterCodec.OBJECT);
    }

    /** What the two newer formats of one maker have in common. */
    private static void shared(ApiFormat format) {
        add(format, "parallel_tool_calls", RequestParameter.PARALLEL_CALLS, ParameterCodec.FLAG);
        add(format, "metadata", RequestParameter.METADATA, ParameterCodec.OBJECT);
        add(format, "store", RequestParameter.STORE, ParameterCodec.FLAG);
        add(format, "service_tier", RequestParameter.SERVICE_TIER, ParameterCodec.TEXT);
        add(format, "safety_identifier", RequestParameter.SAFETY_USER, ParameterCodec.TEXT);
        add(format, "prompt_cache_key", RequestParameter.CACHE_KEY, ParameterCodec.TEXT);
    }

    private static void add(ApiFormat format, String path, RequestParameter setting, ParameterCodec shape) {
        put(format, new Field(path, setting, shape, false));
        BY_SETTING
                .computeIfAbsent(format, f -> new EnumMap<>(RequestParameter.class))
                .put(setting, BY_PATH.get(format).get(path));
    }

    private static void alias(ApiFormat format, String path, RequestParameter setting, ParameterCodec shape) {
        put(format, new Field(path, setting, shape, true));
    }

    private static void put(ApiFormat format, Field field) {
        BY_PATH.computeIfAbsent(format, f -> new LinkedHashMap<>()).put(field.path(), field);
    }

    /** The field of that name; null where the format has none. */
    static Field find(ApiFormat format, String path) {
        return BY_PATH.get(format).get(path);
    }

    /** The field by which a format says a setting; null where it can't. */
    static Field find(ApiFormat format, RequestParameter setting) {
        return BY_SETTING.get(format).get(setting);
    }

    /** All fields of a format, in order. */
    static List<Field> of(ApiFormat format) {
        return List.copyOf(BY_PATH.get(format).values());
    }

    /** Whether a name is an object that holds fields of the format and is none itself. */
    static boolean holds(ApiFormat format, String name) {
        return BY_PATH.get(format).keySet().stream().anyMatch(path -> path.startsWith(name + "."));
    }
}
