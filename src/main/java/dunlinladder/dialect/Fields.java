package dunlinladder.dialect;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of each format, once: which setting each one is, and how it is written. What is read, what is written,
 * what each pair of formats does with a field and the table in the docs all come from here.
 */
final class Fields {

    /**
     * A field of a format.
     *
     * @param path its name, with a dot where it lies in an object
     * @param alias true for an older name, which is read but not written
     */
    record Field(String path, Setting setting, Shape shape, boolean alias) {}

    private static final Map<Format, Map<String, Field>> BY_PATH = new EnumMap<>(Format.class);
    private static final Map<Format, Map<Setting, Field>> BY_SETTING = new EnumMap<>(Format.class);

    private Fields() {}

    static {
        common(Format.COMPLETIONS);
        add(Format.COMPLETIONS, "stream_options.include_usage", Setting.STREAM_USAGE, Shape.FLAG);
        add(Format.COMPLETIONS, "max_tokens", Setting.MAX_OUTPUT, Shape.COUNT);
        add(Format.COMPLETIONS, "temperature", Setting.TEMPERATURE, Shape.HEAT);
        sampling(Format.COMPLETIONS);
        add(Format.COMPLETIONS, "best_of", Setting.BEST_OF, Shape.COUNT);
        add(Format.COMPLETIONS, "logprobs", Setting.LOGPROBS, Shape.ALTERNATIVES);
        add(Format.COMPLETIONS, "echo", Setting.ECHO, Shape.FLAG);
        add(Format.COMPLETIONS, "suffix", Setting.SUFFIX, Shape.TEXT);
        add(Format.COMPLETIONS, "user", Setting.USER, Shape.TEXT);

        common(Format.CHAT);
        add(Format.CHAT, "stream_options.include_usage", Setting.STREAM_USAGE, Shape.FLAG);
        add(Format.CHAT, "max_completion_tokens", Setting.MAX_OUTPUT, Shape.COUNT);
        alias(Format.CHAT, "max_tokens", Setting.MAX_OUTPUT, Shape.COUNT);
        add(Format.CHAT, "temperature", Setting.TEMPERATURE, Shape.HEAT);
        sampling(Format.CHAT);
        add(Format.CHAT, "top_logprobs", Setting.LOGPROBS, Shape.ALTERNATIVES);
        add(Format.CHAT, "user", Setting.USER, Shape.TEXT);
        add(Format.CHAT, "tools", Setting.TOOLS, Shape.CHAT_TOOLS);
        alias(Format.CHAT, "functions", Setting.TOOLS, Shape.FUNCTIONS);
        add(Format.CHAT, "tool_choice", Setting.TOOL_CHOICE, Shape.CHAT_CHOICE);
        alias(Format.CHAT, "function_call", Setting.TOOL_CHOICE, Shape.OLD_CHOICE);
        add(Format.CHAT, "response_format", Setting.OUTPUT_FORMAT, Shape.NESTED_FORMAT);
        add(Format.CHAT, "reasoning_effort", Setting.EFFORT, Shape.EFFORT);
        add(Format.CHAT, "verbosity", Setting.VERBOSITY, Shape.TEXT);
        add(Format.CHAT, "modalities", Setting.MODALITIES, Shape.LIST);
        add(Format.CHAT, "audio", Setting.AUDIO, Shape.OBJECT);
        add(Format.CHAT, "prediction", Setting.PREDICTION, Shape.OBJECT);
        add(Format.CHAT, "web_search_options", Setting.WEB_SEARCH, Shape.OBJECT);
        shared(Format.CHAT);

        common(Format.RESPONSES);
        add(Format.RESPONSES, "max_output_tokens", Setting.MAX_OUTPUT, Shape.COUNT);
        add(Format.RESPONSES, "temperature", Setting.TEMPERATURE, Shape.HEAT);
        add(Format.RESPONSES, "top_logprobs", Setting.LOGPROBS, Shape.ALTERNATIVES);
        add(Format.RESPONSES, "user", Setting.USER, Shape.TEXT);
        add(Format.RESPONSES, "tools", Setting.TOOLS, Shape.FLAT_TOOLS);
        add(Format.RESPONSES, "tool_choice", Setting.TOOL_CHOICE, Shape.FLAT_CHOICE);
        add(Format.RESPONSES, "text.format", Setting.OUTPUT_FORMAT, Shape.FLAT_FORMAT);
        add(Format.RESPONSES, "text.verbosity", Setting.VERBOSITY, Shape.TEXT);
        add(Format.RESPONSES, "reasoning.effort", Setting.EFFORT, Shape.EFFORT);
        add(Format.RESPONSES, "reasoning.summary", Setting.REASONING_SUMMARY, Shape.TEXT);
        add(Format.RESPONSES, "previous_response_id", Setting.PREVIOUS, Shape.TEXT);
        add(Format.RESPONSES, "conversation", Setting.CONVERSATION, Shape.ANY);
        add(Format.RESPONSES, "prompt", Setting.TEMPLATE, Shape.OBJECT);
        add(Format.RESPONSES, "background", Setting.BACKGROUND, Shape.FLAG);
        add(Format.RESPONSES, "truncation", Setting.TRUNCATION, Shape.TEXT);
        add(Format.RESPONSES, "include", Setting.INCLUDE, Shape.LIST);
        add(Format.RESPONSES, "max_tool_calls", Setting.MAX_TOOL_CALLS, Shape.COUNT);
        shared(Format.RESPONSES);

        common(Format.MESSAGES);
        add(Format.MESSAGES, "max_tokens", Setting.MAX_OUTPUT, Shape.COUNT);
        add(Format.MESSAGES, "temperature", Setting.TEMPERATURE, Shape.MILD);
        add(Format.MESSAGES, "top_k", Setting.TOP_K, Shape.COUNT);
        add(Format.MESSAGES, "stop_sequences", Setting.STOP, Shape.STOPS);
        add(Format.MESSAGES, "metadata.user_id", Setting.USER, Shape.TEXT);
        add(Format.MESSAGES, "tools", Setting.TOOLS, Shape.SCHEMA_TOOLS);
        add(Format.MESSAGES, "tool_choice", Setting.TOOL_CHOICE, Shape.TYPED_CHOICE);
        add(Format.MESSAGES, "tool_choice.disable_parallel_tool_use", Setting.PARALLEL_CALLS, Shape.NOT);
        add(Format.MESSAGES, "thinking", Setting.EFFORT, Shape.THINKING);
        add(Format.MESSAGES, "service_tier", Setting.SERVICE_TIER, Shape.TEXT);
        add(Format.MESSAGES, "mcp_servers", Setting.SERVERS, Shape.LIST);
        add(Format.MESSAGES, "container", Setting.CONTAINER, Shape.ANY);
    }

    private static void common(Format format) {
        add(format, "model", Setting.MODEL, Shape.TEXT);
        add(format, "stream", Setting.STREAM, Shape.FLAG);
        add(format, "top_p", Setting.TOP_P, Shape.SHARE);
    }

    private static void sampling(Format format) {
        add(format, "n", Setting.CHOICES, Shape.COUNT);
        add(format, "stop", Setting.STOP, Shape.STOPS);
        add(format, "seed", Setting.SEED, Shape.WHOLE);
        add(format, "presence_penalty", Setting.PRESENCE_PENALTY, Shape.NUMBER);
        add(format, "frequency_penalty", Setting.FREQUENCY_PENALTY, Shape.NUMBER);
        add(format, "logit_bias", Setting.LOGIT_BIAS, Shape.OBJECT);
    }

    /** What the two newer formats of one maker have in common. */
    private static void shared(Format format) {
        add(format, "parallel_tool_calls", Setting.PARALLEL_CALLS, Shape.FLAG);
        add(format, "metadata", Setting.METADATA, Shape.OBJECT);
        add(format, "store", Setting.STORE, Shape.FLAG);
        add(format, "service_tier", Setting.SERVICE_TIER, Shape.TEXT);
        add(format, "safety_identifier", Setting.SAFETY_USER, Shape.TEXT);
        add(format, "prompt_cache_key", Setting.CACHE_KEY, Shape.TEXT);
    }

    private static void add(Format format, String path, Setting setting, Shape shape) {
        put(format, new Field(path, setting, shape, false));
        BY_SETTING
                .computeIfAbsent(format, f -> new EnumMap<>(Setting.class))
                .put(setting, BY_PATH.get(format).get(path));
    }

    private static void alias(Format format, String path, Setting setting, Shape shape) {
        put(format, new Field(path, setting, shape, true));
    }

    private static void put(Format format, Field field) {
        BY_PATH.computeIfAbsent(format, f -> new LinkedHashMap<>()).put(field.path(), field);
    }

    /** The field of that name; null where the format has none. */
    static Field find(Format format, String path) {
        return BY_PATH.get(format).get(path);
    }

    /** The field by which a format says a setting; null where it can't. */
    static Field find(Format format, Setting setting) {
        return BY_SETTING.get(format).get(setting);
    }

    /** All fields of a format, in order. */
    static List<Field> of(Format format) {
        return List.copyOf(BY_PATH.get(format).values());
    }

    /** Whether a name is an object that holds fields of the format and is none itself. */
    static boolean holds(Format format, String name) {
        return BY_PATH.get(format).keySet().stream().anyMatch(path -> path.startsWith(name + "."));
    }
}
