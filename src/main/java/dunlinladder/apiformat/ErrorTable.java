package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlinladder.apiformat.ApiError.Kind;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The errors of each API format as tables. One table maps an engine's error to its neutral kind; the others map each
 * kind to the error that a client gets.
 */
final class ErrorTable {

    /**
     * Matches any status. An error in the middle of a stream has no HTTP status itself and is looked up by this value.
     */
    static final int ANY_STATUS = 0;
    /** Matches any type or code. */
    static final String ANY = "";

    /**
     * A row of the table of engines' errors.
     *
     * @param status the status of the reply, or {@link #ANY_STATUS}
     * @param type the error's {@code type}, or {@link #ANY}
     * @param code the error's {@code code}, or {@link #ANY}
     * @param kind the neutral kind of the error, on which the client's error depends
     * @param requestAtFault whether the engine understood the request and found it faulty, so that another engine of
     *     the same format would reject it as well
     */
    record EngineError(int status, String type, String code, Kind kind, boolean requestAtFault) {

        private boolean matches(int actualStatus, String actualType, String actualCode) {
            return (status == ANY_STATUS || status == actualStatus)
                    && (type.equals(ANY) || type.equals(actualType))
                    && (code.equals(ANY) || code.equals(actualCode));
        }
    }

    /**
     * The status, type and code of an error for a client; the code is {@link #ANY} in the messages format, which has no
     * {@code code}.
     */
    record ClientError(int status, String type, String code) {}

    /** The last row, which matches every error that no other row matches. */
    private static final EngineError UNKNOWN = new EngineError(ANY_STATUS, ANY, ANY, Kind.SERVER, false);

    /**
     * The first matching row applies. Rows with a code come before rows with a type, and those before rows with only a
     * status: a code is more specific than a type, and a type more specific than a status.
     */
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

    /** The errors of completions, chat and responses, which write errors in the same form. */
    private static final Map<Kind, ClientError> ERRORS_WITH_CODE = new EnumMap<>(Kind.class);
    /** The errors of the messages format. */
    private static final Map<Kind, ClientError> MESSAGES_ERRORS = new EnumMap<>(Kind.class);

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
        ERRORS_WITH_CODE.put(kind, new ClientError(status, type, code));
        int messagesStatus = kind == Kind.OVERLOADED ? HttpStatus.OVERLOADED : status;
        MESSAGES_ERRORS.put(kind, new ClientError(messagesStatus, messagesType, ANY));
    }

    /** Returns the rows of engines' errors, in the order in which they are matched. */
    static List<EngineError> engineErrors() {
        return ENGINE_ERRORS;
    }

    /**
     * Returns the row for an engine's error.
     *
     * @param status the status of the reply, or {@link #ANY_STATUS} in the middle of a stream
     * @param error the error object of the reply
     */
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

    /** Returns the error by which a format reports a kind of error. */
    static ClientError clientError(ApiFormat to, Kind kind) {
        return (to == ApiFormat.MESSAGES ? MESSAGES_ERRORS : ERRORS_WITH_CODE).get(kind);
    }
}
