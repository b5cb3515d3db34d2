package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.apiformat.UntranslatableRequestException;
import dunlinladder.transport.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.HttpStatus;

/**
 * An error response to a client. It holds the status and the error object of the chat completions API, and converts
 * them for clients of the other formats.
 */
final class ChatError extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private static final String INVALID_VALUE = "invalid_value";
    private static final String UNSUPPORTED_PARAMETER = "unsupported_parameter";
    private static final String UPSTREAM_ERROR = "upstream_error";

    /** The HTTP status in the chat completions format. */
    final int status;

    private final transient Optional<String> param;
    private final String code;

    private ChatError(int status, String message, Optional<String> param, String code) {
        super(message);
        this.status = status;
        this.param = param;
        this.code = code;
    }

    private ChatError(int status, String message, String code) {
        this(status, message, Optional.empty(), code);
    }

    // ---- Faulty requests ----

    /** Creates the error for a field whose value is not allowed. */
    static ChatError invalid(String message, String param) {
        return new ChatError(HttpStatus.SC_BAD_REQUEST, message, Optional.of(param), INVALID_VALUE);
    }

    /** Creates the error for an invalid body; {@code message} describes the fault. */
    static ChatError invalid(String message) {
        return new ChatError(HttpStatus.SC_BAD_REQUEST, message, INVALID_VALUE);
    }

    /** Creates the error for a field that is malformed, or that the engine's format cannot express. */
    static ChatError untranslatable(UntranslatableRequestException cause) {
        String code = cause.isMalformed() ? INVALID_VALUE : UNSUPPORTED_PARAMETER;
        return new ChatError(HttpStatus.SC_BAD_REQUEST, cause.getMessage(), Optional.ofNullable(cause.field()), code);
    }

    /** Creates the error for a field that the format of no engine can express. */
    static ChatError inexpressible(String field) {
        return new ChatError(
                HttpStatus.SC_BAD_REQUEST,
                field + " can't be expressed in any format that the model's servers speak",
                Optional.of(field),
                UNSUPPORTED_PARAMETER);
    }

    static ChatError unauthenticated() {
        return new ChatError(HttpStatus.SC_UNAUTHORIZED, "no valid API key was given", "invalid_api_key");
    }

    static ChatError unknownPath(String path) {
        return new ChatError(HttpStatus.SC_NOT_FOUND, "unknown path " + path, "not_found");
    }

    static ChatError unknownModel(String model) {
        return new ChatError(
                HttpStatus.SC_NOT_FOUND,
                "The model '" + model + "' does not exist",
                Optional.of("model"),
                "model_not_found");
    }

    static ChatError methodNotAllowed(String allowed) {
        return new ChatError(HttpStatus.SC_METHOD_NOT_ALLOWED, "use " + allowed, "method_not_allowed");
    }

    static ChatError bodyTooLong(int maxBytes) {
        return new ChatError(
                HttpStatus.SC_REQUEST_TOO_LONG, "the body is over " + maxBytes + " bytes", "request_too_large");
    }

    static ChatError bodyTooComplex() {
        return new ChatError(
                HttpStatus.SC_REQUEST_TOO_LONG, "the body holds too many values to be translated", "request_too_large");
    }

    // ---- Requests that were not served ----

    static ChatError overloaded() {
        return new ChatError(
                HttpStatus.SC_TOO_MANY_REQUESTS, "no capacity now; trying again is harmless", "overloaded");
    }

    static ChatError timeout() {
        return new ChatError(HttpStatus.SC_GATEWAY_TIMEOUT, "no answer in time", "timeout");
    }

    static ChatError engineFailed() {
        return new ChatError(HttpStatus.SC_BAD_GATEWAY, "the model server failed", UPSTREAM_ERROR);
    }

    static ChatError replyInterrupted() {
        return new ChatError(HttpStatus.SC_BAD_GATEWAY, "the answer broke off", UPSTREAM_ERROR);
    }

    static ChatError internal() {
        return new ChatError(HttpStatus.SC_INTERNAL_SERVER_ERROR, "the gateway failed", "internal_error");
    }

    // ---- Conversion to the client's format ----

    /** Returns the HTTP status in a client's format. */
    int status(ApiFormat format) {
        return format == ApiFormat.CHAT ? status : ErrorTranslator.status(format, kind());
    }

    /** Returns the error object in a client's format. */
    String json(ApiFormat format) {
        return format == ApiFormat.CHAT
                ? json()
                : ErrorTranslator.encode(format, new ApiError(kind(), getMessage(), param))
                        .toString();
    }

    /** Returns the error object in the chat completions format. */
    String json() {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("message", getMessage());
        error.put("type", type());
        error.put("param", param.orElse(null));
        error.put("code", code);
        return JsonObject.write(Map.of("error", error));
    }

    private String type() {
        if (status == HttpStatus.SC_TOO_MANY_REQUESTS) {
            return "rate_limit_error";
        }
        if (status >= HttpStatus.SC_SERVER_ERROR) {
            return "server_error";
        }
        return status == HttpStatus.SC_UNAUTHORIZED ? "authentication_error" : "invalid_request_error";
    }

    private ApiError.Kind kind() {
        return switch (status) {
            case HttpStatus.SC_BAD_REQUEST ->
                code.equals(UNSUPPORTED_PARAMETER) ? ApiError.Kind.UNTRANSLATABLE : ApiError.Kind.INVALID;
            case HttpStatus.SC_UNAUTHORIZED -> ApiError.Kind.AUTHENTICATION;
            case HttpStatus.SC_NOT_FOUND -> ApiError.Kind.NOT_FOUND;
            case HttpStatus.SC_METHOD_NOT_ALLOWED -> ApiError.Kind.METHOD;
            case HttpStatus.SC_REQUEST_TOO_LONG -> ApiError.Kind.TOO_LARGE;
            case HttpStatus.SC_TOO_MANY_REQUESTS -> ApiError.Kind.OVERLOADED;
            case HttpStatus.SC_BAD_GATEWAY -> ApiError.Kind.SERVER;
            case HttpStatus.SC_GATEWAY_TIMEOUT -> ApiError.Kind.TIMEOUT;
            default -> ApiError.Kind.INTERNAL;
        };
    }
}
