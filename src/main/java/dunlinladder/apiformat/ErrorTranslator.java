package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ApiError.Kind;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Errors of each format, both ways, as tables. What an engine's error means for the request is one of three: served,
 * refused (it never ran, and asking again is harmless) or failed.
 */
public final class ErrorTranslator {

    /** What an engine's error means for the request. */
    public enum Verdict {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * A row for engines' errors; null and 0 stand for any.
     *
     * @param kind what it is to the client
     * @param mine whether the request was understood and is itself at fault, so that another engine of the same format
     *     would say the same
     */
    record Row(int status, String type, String code, Kind kind, boolean mine) {}

    /** A format's own words for a kind. */
    record Words(int status, String type, String code) {}

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    /** The first row that fits holds; a code says more than a type, a type more than a status. */
    private static final List<Row> ROWS = List.of(
            new Row(0, null, "context_length_exceeded", Kind.INVALID, true),
            new Row(0, null, "content_filter", Kind.FILTERED, true),
            new Row(0, null, "content_policy_violation", Kind.FILTERED, true),
            new Row(0, null, "insufficient_quota", Kind.RATE_LIMIT, false),
            new Row(0, null, "rate_limit_exceeded", Kind.RATE_LIMIT, false),
            new Row(0, null, "model_not_found", Kind.NOT_FOUND, false),
            new Row(0, null, "invalid_api_key", Kind.SERVER, false),
            new Row(0, null, "server_error", Kind.SERVER, false),
            new Row(0, null, "invalid_prompt", Kind.INVALID, true),
            new Row(0, "overloaded_error", null, Kind.OVERLOADED, false),
            new Row(0, "rate_limit_error", null, Kind.RATE_LIMIT, false),
            new Row(0, "rate_limit_exceeded", null, Kind.RATE_LIMIT, false),
            new Row(0, "timeout_error", null, Kind.TIMEOUT, false),
            new Row(0, "request_too_large", null, Kind.TOO_LARGE, true),
            new Row(0, "not_found_error", null, Kind.NOT_FOUND, false),
            new Row(0, "authentication_error", null, Kind.SERVER, false),
            new Row(0, "permission_error", null, Kind.SERVER, false),
            new Row(0, "billing_error", null, Kind.SERVER, false),
            new Row(0, "api_error", null, Kind.SERVER, false),
            new Row(0, "server_error", null, Kind.SERVER, false),
            new Row(400, "invalid_request_error", null, Kind.INVALID, true),
            new Row(422, null, null, Kind.INVALID, true),
            new Row(400, null, null, Kind.INVALID, true),
            new Row(401, null, null, Kind.SERVER, false),
            new Row(403, null, null, Kind.SERVER, false),
            new Row(404, null, null, Kind.NOT_FOUND, false),
            new Row(405, null, null, Kind.NOT_FOUND, false),
            new Row(408, null, null, Kind.TIMEOUT, false),
            new Row(413, null, null, Kind.TOO_LARGE, true),
            new Row(415, null, null, Kind.NOT_FOUND, false),
            new Row(429, null, null, Kind.RATE_LIMIT, false),
            new Row(501, null, null, Kind.NOT_FOUND, false),
            new Row(503, null, null, Kind.OVERLOADED, false),
            new Row(504, null, null, Kind.TIMEOUT, false),
            new Row(529, null, null, Kind.OVERLOADED, false),
            new Row(0, null, null, Kind.SERVER, false));

    private static final Map<Kind, Words> OPEN = new EnumMap<>(Kind.class);
    private static final Map<Kind, Words> BLOCKS = new EnumMap<>(Kind.class);

    static {
        words(Kind.INVALID, 400, "invalid_request_error", "invalid_value", "invalid_request_error");
        words(Kind.UNTRANSLATABLE, 400, "invalid_request_error", "unsupported_parameter", "invalid_request_error");
        words(Kind.AUTHENTICATION, 401, "authentication_error", "invalid_api_key", "authentication_error");
        words(Kind.PERMISSION, 403, "permission_error", "permission_denied", "permission_error");
        words(Kind.NOT_FOUND, 404, "invalid_request_error", "not_found", "not_found_error");
        words(Kind.METHOD, 405, "invalid_request_error", "method_not_allowed", "invalid_request_error");
        words(Kind.TOO_LARGE, 413, "invalid_request_error", "request_too_large", "request_too_large");
        words(Kind.RATE_LIMIT, 429, "rate_limit_error", "rate_limit_exceeded", "rate_limit_error");
        words(Kind.OVERLOADED, 429, "rate_limit_error", "overloaded", "overloaded_error");
        words(Kind.TIMEOUT, 504, "server_error", "timeout", "timeout_error");
        words(Kind.FILTERED, 400, "invalid_request_error", "content_filter", "invalid_request_error");
        words(Kind.SERVER, 502, "server_error", "upstream_error", "api_error");
        words(Kind.GARBLED, 502, "server_error", "upstream_garbled", "api_error");
        words(Kind.INTERNAL, 500, "server_error", "internal_error", "api_error");
    }

    private ErrorTranslator() {}

    private static void words(Kind kind, int status, String type, String code, String blocks) {
        OPEN.put(kind, new Words(status, type, code));
        BLOCKS.put(kind, new Words(kind == Kind.OVERLOADED ? 529 : status, blocks, null));
    }

    /** The status with which a fault is told in the head of an answer. */
    public static int status(ApiFormat to, Kind kind) {
        return words(to, kind).status;
    }

    private static Words words(ApiFormat to, Kind kind) {
        return (to == ApiFormat.MESSAGES ? BLOCKS : OPEN).get(kind);
    }

    private static Row row(int status, JsonNode error) {
        String type = error.path("type").asText("");
        String code = error.path("code").asText("");
        for (Row row : ROWS) {
            if ((row.status == 0 || row.status == status)
                    && (row.type == null || row.type.equals(type))
                    && (row.code == null || row.code.equals(code))) {
                return row;
            }
        }
        throw new IllegalStateException("the last row fits all");
    }

    private static JsonNode error(JsonNode body) {
        JsonNode none = JSON.objectNode();
        return body == null ? none : body.path("error").isObject() ? body.path("error") : body;
    }

    /**
     * What an engine's error is to the client. {@code status} is that of the head, 0 for an error in the midst of a
     * stream; {@code body} may be null.
     */
    public static ApiError read(int status, JsonNode body) {
        JsonNode error = error(body);
        Row row = row(status, error);
        // What an engine says of its own keys, limits and paths is nothing to the client.
        String message = row.mine
                ? error.path("message").asText("the model's server refused the request")
                : switch (row.kind) {
                    case RATE_LIMIT, OVERLOADED -> "no capacity now";
                    case TIMEOUT -> "no answer in time";
                    default -> "the model's server failed";
                };
        return new ApiError(
                row.kind == Kind.NOT_FOUND ? Kind.SERVER : row.kind,
                message,
                row.mine ? error.path("param").asText(null) : null);
    }

    /**
     * The fault that an engine's answer finds in the request itself; null where it finds none. A limit, a missing model
     * or a failure is none.
     */
    public static ApiError rejection(int status, String body) {
        JsonNode node = StrictJson.lenient(body);
        boolean client = status >= 400 && status < 500;
        return client && ofTheRequest(status, node) ? read(status, node) : null;
    }

    /** Whether the request itself is at fault, so that no other engine would take it. */
    public static boolean ofTheRequest(int status, JsonNode body) {
        return row(status, error(body)).mine;
    }

    /**
     * Whether an engine's error shows that it does not speak the format at all: nothing at that path, no such method,
     * media type or function.
     */
    public static boolean knowsNot(int status, JsonNode body) {
        return row(status, error(body)).kind == Kind.NOT_FOUND
                && !error(body).path("code").asText().equals("model_not_found");
    }

    /**
     * What an error means for the request. Only an engine's own word that it did not process a request makes it a
     * refusal; what may have run has failed, and so has what has no row of its own.
     */
    public static Verdict verdict(boolean neverRan, boolean delivered) {
        return neverRan && !delivered ? Verdict.REFUSED : Verdict.FAILED;
    }

    /** The body of an error in a client's format. */
    public static ObjectNode write(ApiFormat to, ApiError fault) {
        Words words = words(to, fault.kind());
        ObjectNode body = JSON.objectNode();
        if (to == ApiFormat.MESSAGES) {
            body.put("type", "error").putObject("error").put("type", words.type).put("message", fault.message());
            return body;
        }
        body.putObject("error")
                .put("message", fault.message())
                .put("type", words.type)
                .put("param", fault.field())
                .put("code", words.code);
        return body;
    }

    /** The tables as a page of Markdown. */
    public static String markdown() {
        StringBuilder page = new StringBuilder("""
                # What becomes of each error

                Printed by `dunlinladder.apiformat.ErrorTranslator` from the tables that the program carries out; a test
                holds this page against them.

                ## From engines

                The first row that fits holds. `-` stands for any, status 0 for the midst of a stream. Refused
                is only what the engine says it did not process (`X-Not-Processed`) and of which nothing was
                delivered; all else has failed, for what must not run twice with the header that keeps client
                libraries from asking again.

                | status | type | code | to the client | its own fault |
                | --- | --- | --- | --- | --- |
                """);
        for (Row row : ROWS) {
            page.append("| ")
                    .append(row.status == 0 ? "-" : row.status)
                    .append(" | ")
                    .append(row.type == null ? "-" : row.type)
                    .append(" | ")
                    .append(row.code == null ? "-" : row.code)
                    .append(" | ")
                    .append(row.kind)
                    .append(" | ")
                    .append(row.mine ? "yes" : "no")
                    .append(" |\n");
        }
        page.append("""

                ## To clients

                | kind | `completions`, `chat`, `responses` | `messages` |
                | --- | --- | --- |
                """);
        for (Kind kind : Kind.values()) {
            Words open = OPEN.get(kind);
            Words blocks = BLOCKS.get(kind);
            page.append("| ")
                    .append(kind)
                    .append(" | ")
                    .append(open.status)
                    .append(' ')
                    .append(open.type)
                    .append(", ")
                    .append(open.code)
                    .append(" | ")
                    .append(blocks.status)
                    .append(' ')
                    .append(blocks.type)
                    .append(" |\n");
        }
        return page.toString();
    }
}
