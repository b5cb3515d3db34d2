package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.List;

/** Encodes one {@link Conversation} in an engine's format. */
final class RequestEncoder {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    /** The value of {@code include} by which a request in the responses format asks for log probabilities. */
    private static final String INCLUDE_LOGPROBS = "message.output_text.logprobs";

    private final ApiFormat to;
    private final Conversation conversation;
    private final TranslationTable table;
    private final ObjectNode body = JSON.objectNode();

    RequestEncoder(ApiFormat to, Conversation conversation) {
        this.to = to;
        this.conversation = conversation;
        this.table = TranslationTable.of(conversation.from(), to);
    }

    ObjectNode encode(long maxOutputTokens, List<String> warnings) {
        conversation.parameters().forEach((parameter, value) -> encodeParameter(parameter, value, warnings));
        switch (to) {
            case CHAT -> completeChat();
            case RESPONSES -> completeResponses();
            case MESSAGES -> completeMessages(maxOutputTokens);
            case COMPLETIONS -> {}
        }
        conversation.unknownFields().forEach(this::setField);
        MessageCodec.encode(to, conversation, body, warnings);
        return body;
    }

    private void encodeParameter(RequestParameter parameter, JsonNode value, List<String> warnings) {
        Action action = table.action(parameter);
        if (parameter == RequestParameter.EFFORT && to == ApiFormat.MESSAGES && !fitsReplyLimit(value)) {
            warnings.add(name(parameter) + " needs more room than max_tokens leaves and was left out");
        } else if (action == Action.CARRIED || action == Action.CONVERTED) {
            FieldTable.Field field = FieldTable.of(to).find(parameter).orElseThrow();
            setField(field.path(), field.codec().fromNeutral().apply(value));
        } else if (action == Action.REFUSED && !parameter.canBeOmitted(value)) {
            throw UntranslatableRequestException.unsupported(name(parameter), to);
        } else if (action == Action.DROPPED && !parameter.canBeOmitted(value)) {
            warnings.add(name(parameter) + " is not known to the model's servers and was left out");
        }
    }

    private String name(RequestParameter parameter) {
        return RequestTranslator.fieldName(conversation, parameter);
    }

    private boolean hasLogprobs() {
        return conversation.parameters().containsKey(RequestParameter.LOGPROBS);
    }

    private void completeChat() {
        if (hasLogprobs()) {
            body.set("logprobs", BooleanNode.TRUE);
        }
    }

    private void completeResponses() {
        if (hasLogprobs()) {
            ArrayNode include = JSON.arrayNode();
            if (body.get("include") instanceof ArrayNode given) {
                given.forEach(include::add);
            }
            if (!contains(include, INCLUDE_LOGPROBS)) {
                include.add(INCLUDE_LOGPROBS);
            }
            body.set("include", include);
        }
        // The other formats store nothing between requests, so their clients do not expect the reply to be stored.
        if (conversation.from() != ApiFormat.RESPONSES && !body.has("store")) {
            body.put("store", false);
        }
    }

    private void completeMessages(long maxOutputTokens) {
        if (!body.has("max_tokens")) {
            body.put("max_tokens", maxOutputTokens);
        }
        if (body.get("tool_choice") instanceof ObjectNode choice
                && choice.size() == 1
                && choice.has("disable_parallel_tool_use")) {
            choice.put("type", "auto");
        }
    }

    private static boolean contains(ArrayNode list, String text) {
        for (JsonNode element : list) {
            if (element.asText().equals(text)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the reasoning budget for an effort fits the client's limit on the reply. The budget counts towards that
     * limit and must be below it, so no budget fits if the client gave no limit. An effort without a budget always
     * fits.
     */
    private boolean fitsReplyLimit(JsonNode effort) {
        JsonNode thinking = ParameterCodec.THINKING.fromNeutral().apply(effort);
        return !thinking.has("budget_tokens")
                || thinking.path("budget_tokens").asInt() < conversation.number(RequestParameter.MAX_OUTPUT, 0);
    }

    private void setField(String path, JsonNode value) {
        int dot = path.indexOf('.');
        if (dot >= 0) {
            setNestedField(path.substring(0, dot), path.substring(dot + 1), value);
            return;
        }
        // A field inside the object may have been set first.
        if (body.get(path) instanceof ObjectNode object && value instanceof ObjectNode fields) {
            object.setAll(fields);
        } else {
            body.set(path, value);
        }
    }

    private void setNestedField(String object, String name, JsonNode value) {
        JsonNode existing = body.get(object);
        ObjectNode target = existing instanceof ObjectNode existingObject ? existingObject : body.putObject(object);
        target.set(name, value);
    }
}
