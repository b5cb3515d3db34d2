package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.TranslationTable.Action;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Decodes and encodes the messages of a conversation in one API format. Each codec defines the JSON objects that
 * represent messages and content parts. Codecs are stateless.
 */
abstract class MessageCodec {

    static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    /** Returns the codec of a format. */
    static MessageCodec of(ApiFormat format) {
        return switch (format) {
            case COMPLETIONS -> CompletionsMessageCodec.INSTANCE;
            case CHAT -> ChatMessageCodec.INSTANCE;
            case RESPONSES -> ResponsesMessageCodec.INSTANCE;
            case MESSAGES -> MessagesMessageCodec.INSTANCE;
        };
    }

    /**
     * Decodes the messages of a request.
     *
     * @throws UntranslatableRequestException if they are malformed
     */
    abstract List<Message> decode(JsonNode body);

    /** Encodes messages into the body of a request. The messages contain only parts that the format can express. */
    abstract void encode(List<Message> messages, ObjectNode body, List<String> warnings);

    /**
     * Encodes a conversation's messages into the body of a request.
     *
     * @param warnings receives a line for each part that is left out
     * @throws UntranslatableRequestException if the format cannot express a part
     */
    static void encode(ApiFormat to, Conversation conversation, ObjectNode body, List<String> warnings) {
        List<Message> messages = new ArrayList<>();
        for (Message message : conversation.messages()) {
            List<ContentPart> parts = expressibleParts(message.parts(), conversation.from(), to, warnings);
            if (!parts.isEmpty() || message.parts().isEmpty()) {
                messages.add(new Message(message.role(), parts, message.name()));
            }
        }
        of(to).encode(messages, body, warnings);
    }

    private static List<ContentPart> expressibleParts(
            List<ContentPart> parts, ApiFormat from, ApiFormat to, List<String> warnings) {
        TranslationTable table = TranslationTable.of(from, to);
        List<ContentPart> expressible = new ArrayList<>();
        for (ContentPart part : parts) {
            Action action = table.action(part.kind());
            if (action == Action.REFUSED) {
                throw UntranslatableRequestException.unsupported(partName(from, part.kind()), to);
            }
            if (action == Action.DROPPED) {
                warnings.add("a part of type " + lowerCase(part.kind()) + " was left out");
            } else {
                expressible.add(part);
            }
        }
        return expressible;
    }

    /** Returns the client's field that contains a kind of part, and that kind, for messages to the client. */
    static String partName(ApiFormat from, ContentPart.Kind kind) {
        String field = switch (from) {
            case RESPONSES -> "input";
            case COMPLETIONS -> "prompt";
            case CHAT, MESSAGES -> "messages";
        };
        return field + " of type " + lowerCase(kind);
    }

    private static String lowerCase(ContentPart.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns a field that must be a list with at least one element.
     *
     * @throws UntranslatableRequestException if it is not
     */
    static JsonNode requiredList(JsonNode body, String field) {
        JsonNode list = body.path(field);
        if (!list.isArray() || list.isEmpty()) {
            throw UntranslatableRequestException.malformed(field, "must be a list that is not empty");
        }
        return list;
    }

    /**
     * Writes the name, the content and the id of a file into the object that represents it; those that are null are
     * omitted.
     */
    static void putFile(ObjectNode node, ContentPart.File file) {
        if (file.name() != null) {
            node.put("filename", file.name());
        }
        if (file.data() != null) {
            node.put("file_data", file.data());
        }
        if (file.id() != null) {
            node.put("file_id", file.id());
        }
    }

    /**
     * Returns a tool's result as text, for formats without a field for a failure of the tool. The result of a tool that
     * failed starts with {@code Error:}.
     */
    static String resultText(ContentPart.Result result) {
        return result.error() ? "Error: " + result.text() : result.text();
    }

    /** Appends a paragraph to system text that is collected from several messages. */
    static void appendParagraph(StringBuilder text, String paragraph) {
        text.append(text.isEmpty() ? "" : "\n\n").append(paragraph);
    }
}
