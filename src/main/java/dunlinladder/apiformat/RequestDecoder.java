package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import dunlinladder.apiformat.RequestTranslator.UnknownFields;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decodes one request of a client into a {@link Conversation}. */
final class RequestDecoder {

    /**
     * The fields that are decoded separately from the other fields: those of the conversation, which
     * {@link MessageCodec} decodes, and {@code logprobs} of the chat format, which belongs to {@code top_logprobs}.
     */
    private static final Map<ApiFormat, Set<String>> SEPARATELY_DECODED_FIELDS = Map.of(
            ApiFormat.COMPLETIONS,
            Set.of("prompt"),
            ApiFormat.CHAT,
            Set.of("messages", "logprobs"),
            ApiFormat.RESPONSES,
            Set.of("input", "instructions"),
            ApiFormat.MESSAGES,
            Set.of("messages", "system"));

    private final ApiFormat from;
    private final JsonNode body;
    private final FieldTable fields;
    private final Map<RequestParameter, JsonNode> parameters = new EnumMap<>(RequestParameter.class);
    private final Map<String, JsonNode> unknown = new LinkedHashMap<>();

    RequestDecoder(ApiFormat from, JsonNode body) {
        this.from = from;
        this.body = body;
        this.fields = FieldTable.of(from);
    }

    Conversation decode(UnknownFields unknownFields, List<String> warnings) {
        if (body == null || !body.isObject()) {
            throw UntranslatableRequestException.malformed("body", "must be a JSON object");
        }
        body.properties().forEach(entry -> decodeField(entry.getKey(), entry.getValue()));
        if (from == ApiFormat.CHAT && body.path("logprobs").asBoolean()) {
            // In this format, the flag logprobs asks for the log probabilities of the chosen tokens, and the number
            // top_logprobs for those of alternatives.
            parameters.putIfAbsent(RequestParameter.LOGPROBS, IntNode.valueOf(0));
        }
        checkRequired();
        handleUnknownFields(unknownFields, warnings);
        boolean legacyTools = body.has("functions") && !body.has("tools");
        return new Conversation(from, parameters, MessageCodec.of(from).decode(body), unknown, legacyTools);
    }

    private void decodeField(String name, JsonNode value) {
        if (value.isNull() || SEPARATELY_DECODED_FIELDS.get(from).contains(name)) {
            return;
        }
        Optional<FieldTable.Field> field = fields.find(name);
        field.ifPresent(known -> decodeParameter(known, value));
        if (fields.hasFieldsIn(name)) {
            decodeObject(name, value, field.isPresent());
        } else if (field.isEmpty()) {
            unknown.put(name, value);
        }
    }

    /**
     * Decodes the fields inside an object. If the object is a field itself ({@code isField}), the codec of that field
     * handles the other names in it, so they do not count as unknown.
     */
    private void decodeObject(String name, JsonNode object, boolean isField) {
        if (!object.isObject()) {
            throw UntranslatableRequestException.malformed(name, "must be an object");
        }
        object.properties().forEach(entry -> {
            String path = name + "." + entry.getKey();
            JsonNode value = entry.getValue();
            Optional<FieldTable.Field> field = fields.find(path);
            if (field.isPresent() && !value.isNull()) {
                decodeParameter(field.get(), value);
            } else if (field.isEmpty() && !isField) {
                unknown.put(path, value);
            }
        });
    }

    /**
     * Decodes a field into its parameter. If the client gives a field by both its older and its newer name, the newer
     * one applies.
     */
    private void decodeParameter(FieldTable.Field field, JsonNode value) {
        ParameterCodec codec = field.codec();
        if (!codec.allows().test(value)) {
            throw UntranslatableRequestException.malformed(field.path(), "must be " + codec.expected());
        }
        JsonNode neutral = codec.toNeutral().apply(value);
        if (field.alias()) {
            parameters.putIfAbsent(field.parameter(), neutral);
        } else {
            parameters.put(field.parameter(), neutral);
        }
    }

    private void checkRequired() {
        if (!parameters.containsKey(RequestParameter.MODEL)) {
            throw UntranslatableRequestException.malformed("model", "is missing");
        }
        if (from == ApiFormat.MESSAGES && !parameters.containsKey(RequestParameter.MAX_OUTPUT)) {
            throw UntranslatableRequestException.malformed("max_tokens", "is missing");
        }
    }

    private void handleUnknownFields(UnknownFields unknownFields, List<String> warnings) {
        if (unknownFields == UnknownFields.REFUSE && !unknown.isEmpty()) {
            String first = unknown.keySet().iterator().next();
            throw UntranslatableRequestException.malformed(first, "is not known");
        }
        if (unknownFields == UnknownFields.DROP) {
            unknown.keySet().forEach(name -> warnings.add(name + " is not known and was left out"));
            unknown.clear();
        }
    }
}
