package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ApiError.Kind;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The errors of each API format as tables: what an engine's error is to the client, and how each kind of error is
 * written to a client.
 */
final class ErrorTable {

    /** Stands for any status; an error in the middle of a stream has no status of its own. */
    static final int ANY_STATUS = 0;
    /** Stands for any type or code. */
    static final String ANY = "";

    /**
     * A row for an engine's error.
     *
     * @param status the status of the reply, or {@link #ANY_STATUS}
     * @param type the error's {@code type}, or {@link #ANY}
     * @param code the error's {@code code}, or {@link #ANY}
     * @param kind what the error is to the client
     * @param requestAtFault whether the engine understood the request and found it faulty, so that another engine of
     *     the same format would say the same
     */
    record EngineError(int status, String type, String code, Kind kind, boolean requestAtFault) {

        private boolean matches(int actualStatus, String actualType, String actualCode) {
            return (status == ANY_STATUS || status == actualStatus)
                    && (type.equals(ANY) || type.equals(actualType))
                    && (code.equals(ANY) || code.equals(actualCode));
        }
    }

    /** How a format writes a kind of error; the messages format has no {@code code}. */
    record ClientError(int status, String type, String code) {}

    /** Fits what no other row fits. */
    private static final EngineError UNKNOWN = new EngineError(ANY_STATUS, ANY, ANY, Kind.SERVER, false);

    /** The first row that fits holds: a code says more than a type, a type more than a status. */
    private static final List<EngineError> ENGINE_ERRORS = List.of(
            byCode("context_length_exceeded", Kind.INVALID, true),
            byCode("content_filter", Kind.FILTERED, true),
            byCode("content_policy_violation", Kind.FILTERED, true),
            byCode("insufficient_quota", Kind.RATE_LIMIT, false),
            byCode("rate_limit_exceeded", Kind.RATE_LIMIT, false),
            byCode("model_not_found", Kind.NOT_FOUND, false),
            byCode("invalid_api_key", Kind.SERVER, false),
            byCode("server_error", Kind.SERVER, false),
            byCode("invalid_prompt", Kind.INVALID, true),
            byType("overloaded_error", Kind.OVERLOADED, false),
            byType("rate_limit_error", Kind.RATE_LIMIT, false),
            byType("rate_limit_exceeded", Kind.RATE_LIMIT, false),
            byType("timeout_error", Kind.TIMEOUT, false),
            byType("request_too_large", Kind.TOO_LARGE, true),
            byType("not_found_error", Kind.NOT_FOUND, false),
            byType("authentication_error", Kind.SERVER, false),
            byType("permission_error", Kind.SERVER, false),
            byType("billing_error", Kind.SERVER, false),
            byType("api_error", Kind.SERVER, false),
            byType("server_error", Kind.SERVER, false),
            new EngineError(HttpStatus.BAD_REQUEST, "invalid_request_error", ANY, Kind.INVALID, true),
            byStatus(HttpStatus.UNPROCESSABLE_CONTENT, Kind.INVALID, true),
            byStatus(HttpStatus.BAD_REQUEST, Kind.INVALID, true),
            byStatus(HttpStatus.UNAUTHORIZED, Kind.SERVER, false),
            byStatus(HttpStatus.FORBIDDEN, Kind.SERVER, false),
            byStatus(HttpStatus.NOT_FOUND, Kind.NOT_FOUND, false),
            byStatus(HttpStatus.METHOD_NOT_ALLOWED, Kind.NOT_FOUND, false),
            byStatus(HttpStatus.REQUEST_TIMEOUT, Kind.TIMEOUT, false),
            byStatus(HttpStatus.CONTENT_TOO_LARGE, Kind.TOO_LARGE, true),
            byStatus(HttpStatus.UNSUPPORTED_MEDIA_TYPE, Kind.NOT_FOUND, false),
            byStatus(HttpStatus.TOO_MANY_REQUESTS, Kind.RATE_LIMIT, false),
            byStatus(HttpStatus.NOT_IMPLEMENTED, Kind.NOT_FOUND, false),
            byStatus(HttpStatus.SERVICE_UNAVAILABLE, Kind.OVERLOADED, false),
            byStatus(HttpStatus.GATEWAY_TIMEOUT, Kind.TIMEOUT, false),
            byStatus(HttpStatus.OVERLOADED, Kind.OVERLOADED, false),
            UNKNOWN);

    /** For completions, chat and responses, which write errors alike. */
    private static final Map<Kind, ClientError> CODED = new EnumMap<>(Kind.class);
    /** For the messages format. */
    private static final Map<Kind, ClientError> TYPED = new EnumMap<>(Kind.class);

    static {
        String invalid = "invalid_request_error";
        add(Kind.INVALID, HttpStatus.BAD_REQUEST, invalid, "invalid_value", invalid);
        add(Kind.UNTRANSLATABLE, HttpStatus.BAD_REQUEST, invalid, "unsupported_parameter", invalid);
        add(
                Kind.AUTHENTICATION,
                HttpStatus.UNAUTHORIZED,
                "authentication_error",
                "invalid_api_key",
                "authentication_error");
        add(Kind.PERMISSION, HttpStatus.FORBIDDEN, "permission_error", "permission_denied", "permission_error");
        add(Kind.NOT_FOUND, HttpStatus.NOT_FOUND, invalid, "not_found", "not_found_error");
        add(Kind.METHOD, HttpStatus.METHOD_NOT_ALLOWED, invalid, "method_not_allowed", invalid);
        add(Kind.TOO_LARGE, HttpStatus.CONTENT_TOO_LARGE, invalid, "request_too_large", "request_too_large");
        add(
                Kind.RATE_LIMIT,
                HttpStatus.TOO_MANY_REQUESTS,
                "rate_limit_error",
                "rate_limit_exceeded",
                "rate_limit_error");
        add(Kind.OVERLOADED, HttpStatus.TOO_MANY_REQUESTS, "rate_limit_error", "overloaded", "overloaded_error");
        add(Kind.TIMEOUT, HttpStatus.GATEWAY_TIMEOUT, "server_error", "timeout", "timeout_error");
        add(Kind.FILTERED, HttpStatus.BAD_REQUEST, invalid, "content_filter", invalid);
        add(Kind.SERVER, HttpStatus.BAD_GATEWAY, "server_error", "upstream_error", "api_error");
        add(Kind.GARBLED, HttpStatus.BAD_GATEWAY, "server_error", "upstream_garbled", "api_error");
        add(Kind.INTERNAL, HttpStatus.INTERNAL_SERVER_ERROR, "server_error", "internal_error", "api_error");
    }

    private ErrorTable() {}

    private static EngineError byCode(String code, Kind kind, boolean requestAtFault) {
        return new EngineError(ANY_STATUS, ANY, code, kind, requestAtFault);
    }

    private static EngineError byType(String type, Kind kind, boolean requestAtFault) {
        return new EngineError(ANY_STATUS, type, ANY, kind, requestAtFault);
    }

    private static EngineError byStatus(int status, Kind kind, boolean requestAtFault) {
        return new EngineError(status, ANY, ANY, kind, requestAtFault);
    }

    private static void add(Kind kind, int status, String type, String code, String messagesType) {
        CODED.put(kind, new ClientError(status, type, code));
        int messagesStatus = kind == Kind.OVERLOADED ? HttpStatus.OVERLOADED : status;
        TYPED.put(kind, new ClientError(messagesStatus, messagesType, ANY));
    }

    /** The rows for engines' errors, in the order in which they are tried. */
    static List<EngineError> engineErrors() {
        return ENGINE_ERRORS;
    }

    /** The row for an engine's error: its status, or 0 in the middle of a stream, and its error object. */
    static EngineError engineError(int status, JsonNode error) {
        String type = error.path("type").asText("");
        String code = error.path("code").asText("");
        for (EngineError row : ENGINE_ERRORS) {
            if (row.matches(status, type, code)) {
                return row;
            }
        }
        return UNKNOWN;
    }

    /** How a format writes a kind of error. */
    static ClientError clientError(ApiFormat to, Kind kind) {
        return (to == ApiFormat.MESSAGES ? TYPED : CODED).get(kind);
    }
}
