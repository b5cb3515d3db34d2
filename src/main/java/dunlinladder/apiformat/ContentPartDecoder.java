package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the content of a message, which all formats write as a string or as a list of typed parts. A type has the
 * same meaning in each format that defines it, so one decoder handles all formats.
 */
final class ContentPartDecoder {

    private ContentPartDecoder() {}

    /**
     * Decodes the content of a message.
     *
     * @param path the path of the content, for messages to the client
     * @throws UntranslatableRequestException if the content is malformed
     */
    static List<ContentPart> parts(JsonNode content, String path) {
        if (content.isTextual()) {
            return List.of(new ContentPart.Text(content.asText()));
        }
        if (!content.isArray()) {
            throw UntranslatableRequestException.malformed(path, "must be a string or a list of parts");
        }
        List<ContentPart> parts = new ArrayList<>();
        for (JsonNode part : content) {
            parts.add(part(part, path));
        }
        return parts;
    }

    private static ContentPart part(JsonNode part, String path) {
        String type = part.path("type").asText();
        return switch (type) {
            case "text", "input_text", "output_text" -> new ContentPart.Text(text(part, "text", path));
            case "refusal" -> new ContentPart.Refusal(text(part, "refusal", path));
            case "image_url" -> image(part.path("image_url"), "url", path + ".image_url");
            case "input_image" -> image(part, "image_url", path);
            case "image" -> new ContentPart.Image(sourceUrl(part.path("source"), path), null);
            case "input_audio" -> audio(part.path("input_audio"), path + ".input_audio");
            case "file" -> file(part.path("file"));
            case "input_file" -> file(part);
            case "document" -> document(part, path);
            case "tool_use" -> toolUse(part, path);
            case "tool_result" -> toolResult(part, path);
            case "thinking" -> new ContentPart.Thought(part.path("thinking").asText(), optionalText(part, "signature"));
            case "redacted_thinking" -> new ContentPart.Thought("", optionalText(part, "data"));
            default -> throw UntranslatableRequestException.malformed(path + ".type", "is not known: " + type);
        };
    }

    private static ContentPart image(JsonNode image, String urlField, String path) {
        return new ContentPart.Image(text(image, urlField, path), optionalText(image, "detail"));
    }

    private static ContentPart audio(JsonNode audio, String path) {
        return new ContentPart.Audio(
                text(audio, "data", path), audio.path("format").asText("wav"));
    }

    private static ContentPart file(JsonNode file) {
        return new ContentPart.File(
                optionalText(file, "filename"), optionalText(file, "file_data"), optionalText(file, "file_id"));
    }

    private static ContentPart document(JsonNode part, String path) {
        return new ContentPart.File(optionalText(part, "title"), sourceUrl(part.path("source"), path), null);
    }

    private static ContentPart toolUse(JsonNode part, String path) {
        return new ContentPart.Call(
                text(part, "id", path),
                text(part, "name", path),
                part.path("input").toString());
    }

    private static ContentPart toolResult(JsonNode part, String path) {
        return new ContentPart.Result(
                text(part, "tool_use_id", path),
                part.has("content") ? flatText(part.get("content"), path + ".content") : "",
                part.path("is_error").asBoolean());
    }

    /**
     * Returns the source of an image or document as a URL. Content in the request itself becomes a {@code data:} URL.
     */
    private static String sourceUrl(JsonNode source, String parentPath) {
        String path = parentPath + ".source";
        return switch (source.path("type").asText()) {
            case "url" -> text(source, "url", path);
            case "base64" -> "data:" + text(source, "media_type", path) + ";base64," + text(source, "data", path);
            case "text" -> "data:text/plain," + text(source, "data", path);
            default -> throw UntranslatableRequestException.malformed(path + ".type", "must be url, base64 or text");
        };
    }

    /**
     * Returns the text of a tool's result, which must consist of text only.
     *
     * @param path the path of the result's content, for messages to the client
     * @throws UntranslatableRequestException if the content is malformed or has parts of another type
     */
    static String flatText(JsonNode content, String path) {
        StringBuilder text = new StringBuilder();
        for (ContentPart part : parts(content, path)) {
            if (!(part instanceof ContentPart.Text textPart)) {
                throw UntranslatableRequestException.malformed(path, "of a tool's result must be text");
            }
            text.append(textPart.text());
        }
        return text.toString();
    }

    /**
     * Returns the text of a field that must be a string.
     *
     * @param path the path of the object that contains the field, for messages to the client
     * @throws UntranslatableRequestException if the field is missing or is not a string
     */
    static String text(JsonNode node, String field, String path) {
        if (!node.path(field).isTextual()) {
            throw UntranslatableRequestException.malformed(path + "." + field, "must be a string");
        }
        return node.get(field).asText();
    }

    /**
     * Returns the text of a field, or null if the field is missing, for the nullable components of {@link ContentPart}.
     */
    static String optionalText(JsonNode node, String field) {
        return node.path(field).asText(null);
    }
}
