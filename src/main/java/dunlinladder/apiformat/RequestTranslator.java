package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests into the neutral model and out of it. What happens to a field is not decided here but in
 * {@link TranslationTable}, which this class carries out.
 */
public final class RequestTranslator {

    /** What an operator has done with fields that a format's table does not have. */
    public enum Unknown {
        PASS,
        DROP,
        REFUSE
    }

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    /** Fields that hold the conversation, by format; their codec is {@link MessageCodec}. */
    private static final Map<ApiFormat, Set<String>> TALK = Map.of(
            ApiFormat.COMPLETIONS,
            Set.of("prompt"),
            ApiFormat.CHAT,
            Set.of("messages", "logprobs"),
            ApiFormat.RESPONSES,
            Set.of("input", "instructions"),
            ApiFormat.MESSAGES,
            Set.of("messages", "system"));

    private RequestTranslator() {}

    /**
     * Reads a request.
     *
     * @param warnings gets a line for each field that is left out
     * @throws UntranslatableRequestException where a field is malformed, or unknown and refused
     */
    public static Conversation read(ApiFormat from, JsonNode body, Unknown unknown, List<String> warnings) {
        if (body == null || !body.isObject()) {
            throw UntranslatableRequestException.malformed("body", "must be a JSON object");
        }
        Map<RequestParameter, JsonNode> settings = new EnumMap<>(RequestParameter.class);
        Map<String, JsonNode> others = new LinkedHashMap<>();
        boolean[] legacy = {body.has("functions") && !body.has("tools")};
        body.properties().forEach(entry -> {
            String name = entry.getKey();
            JsonNode value = entry.getValue();
            FieldTable.Field field = FieldTable.find(from, name);
            boolean holds = FieldTable.holds(from, name);
            if (value.isNull() || TALK.get(from).contains(name)) {
                return;
            }
            if (field != null) {
                take(field, value, settings);
            }
            if (holds) {
                if (!value.isObject()) {
                    throw UntranslatableRequestException.malformed(name, "must be an object");
                }
                value.properties().forEach(inner -> {
                    FieldTable.Field nested = FieldTable.find(from, name + "." + inner.getKey());
                    if (nested != null && !inner.getValue().isNull()) {
                        take(nested, inner.getValue(), settings);
                    } else if (nested == null && field == null) {
                        others.put(name + "." + inner.getKey(), inner.getValue());
                    }
                });
            } else if (field == null) {
                others.put(name, value);
            }
        });
        if (from == ApiFormat.CHAT
                && body.path("logprobs").asBoolean()
                && !settings.containsKey(RequestParameter.LOGPROBS)) {
            settings.put(RequestParameter.LOGPROBS, IntNode.valueOf(0));
        }
        if (!settings.containsKey(RequestParameter.MODEL)) {
            throw UntranslatableRequestException.malformed("model", "is missing");
        }
        if (from == ApiFormat.MESSAGES && !settings.containsKey(RequestParameter.MAX_OUTPUT)) {
            throw UntranslatableRequestException.malformed("max_tokens", "is missing");
        }
        if (unknown == Unknown.REFUSE && !others.isEmpty()) {
            throw UntranslatableRequestException.malformed(
                    others.keySet().iterator().next(), "is not known");
        }
        if (unknown == Unknown.DROP) {
            others.keySet().forEach(name -> warnings.add(name + " is not known and was left out"));
            others.clear();
        }
        return new Conversation(from, settings, MessageCodec.read(from, body), others, legacy[0]);
    }

    /** An older name gives way to the newer one beside it. */
    private static void take(FieldTable.Field field, JsonNode value, Map<RequestParameter, JsonNode> settings) {
        if (!field.shape().allows().test(value)) {
            throw UntranslatableRequestException.malformed(
                    field.path(), "must be " + field.shape().wants());
        }
        JsonNode neutral = field.shape().toNeutral().apply(value);
        if (field.alias()) {
            settings.putIfAbsent(field.setting(), neutral);
        } else {
            settings.put(field.setting(), neutral);
        }
    }

    /**
     * Writes a request in a format.
     *
     * @param mostOutput the bound on the answer, in tokens, where the client gives none and the format needs one
     * @param warnings gets a line for each field that is left out
     * @throws UntranslatableRequestException naming the client's field that the format lacks
     */
    public static ObjectNode write(ApiFormat to, Conversation talk, long mostOutput, List<String> warnings) {
        TranslationTable table = TranslationTable.of(talk.from(), to);
        ObjectNode body = JSON.objectNode();
        talk.settings().forEach((setting, value) -> {
            Action action = table.action(setting);
            if (setting == RequestParameter.EFFORT && to == ApiFormat.MESSAGES && !fits(value, talk)) {
                warnings.add(name(talk, setting) + " needs more room than max_tokens leaves and was left out");
            } else if (action == Action.CARRIED || action == Action.CONVERTED) {
                FieldTable.Field field = FieldTable.find(to, setting);
                place(body, field.path(), field.shape().fromNeutral().apply(value));
            } else if (action == Action.REFUSED && !setting.idle(value)) {
                throw UntranslatableRequestException.lacking(name(talk, setting), to);
            } else if (action == Action.DROPPED && !setting.idle(value)) {
                warnings.add(name(talk, setting) + " is not known to the model's servers and was left out");
            }
        });
        if (to == ApiFormat.MESSAGES && !body.has("max_tokens")) {
            body.put("max_tokens", mostOutput);
        }
        if (to == ApiFormat.MESSAGES
                && body.path("tool_choice").size() == 1
                && body.path("tool_choice").has("disable_parallel_tool_use")) {
            ((ObjectNode) body.get("tool_choice")).put("type", "auto");
        }
        if (to == ApiFormat.CHAT && talk.get(RequestParameter.LOGPROBS) != null) {
            body.set("logprobs", BooleanNode.TRUE);
        }
        if (to == ApiFormat.RESPONSES && talk.get(RequestParameter.LOGPROBS) != null) {
            ArrayNode include = JSON.arrayNode();
            if (body.get("include") instanceof ArrayNode given) {
                given.forEach(each -> include.add(each));
            }
            if (!given(include, "message.output_text.logprobs")) {
                include.add("message.output_text.logprobs");
            }
            body.set("include", include);
        }
        if (to == ApiFormat.RESPONSES && talk.from() != ApiFormat.RESPONSES) {
            // The other formats keep nothing between requests.
            if (!body.has("store")) {
                body.put("store", false);
            }
        }
        talk.unknown().forEach((path, value) -> place(body, path, value));
        MessageCodec.write(to, talk, body, warnings);
        return body;
    }

    /**
     * The client's field that a format can't express; null where it can express all. Nothing is written, so that it may
     * be asked for each format and request.
     */
    public static String lacking(ApiFormat to, Conversation talk) {
        TranslationTable table = TranslationTable.of(talk.from(), to);
        for (Map.Entry<RequestParameter, JsonNode> entry : talk.settings().entrySet()) {
            if (table.action(entry.getKey()) == Action.REFUSED
                    && !entry.getKey().idle(entry.getValue())) {
                return name(talk, entry.getKey());
            }
        }
        for (ContentPart.Kind kind : talk.kinds()) {
            if (table.action(kind) == Action.REFUSED) {
                return MessageCodec.named(talk.from(), kind);
            }
        }
        return null;
    }

    private static boolean given(ArrayNode list, String word) {
        for (JsonNode each : list) {
            if (each.asText().equals(word)) {
                return true;
            }
        }
        return false;
    }

    /** Reasoning by tokens must leave room for the answer. */
    private static boolean fits(JsonNode effort, Conversation talk) {
        JsonNode thinking = ParameterCodec.THINKING.fromNeutral().apply(effort);
        return !thinking.has("budget_tokens")
                || thinking.path("budget_tokens").asInt() < talk.number(RequestParameter.MAX_OUTPUT, 0);
    }

    /** A setting's name in the client's format, for messages to it. */
    private static String name(Conversation talk, RequestParameter setting) {
        FieldTable.Field field = FieldTable.find(talk.from(), setting);
        return field == null ? setting.name() : field.path();
    }

    private static void place(ObjectNode body, String path, JsonNode value) {
        int dot = path.indexOf('.');
        if (dot < 0) {
            JsonNode there = body.get(path);
            // An object may have got one of its nested fields first.
            if (there instanceof ObjectNode object && value instanceof ObjectNode more) {
                object.setAll(more);
            } else {
                body.set(path, value);
            }
        } else {
            JsonNode inner = body.get(path.substring(0, dot));
            ObjectNode object = inner instanceof ObjectNode known ? known : body.putObject(path.substring(0, dot));
            object.set(path.substring(dot + 1), value);
        }
    }
}
