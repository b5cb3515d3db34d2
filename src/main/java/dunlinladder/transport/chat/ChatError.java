package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiError;
import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.ErrorTranslator;
import dunlinladder.transport.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** An error as the API words it. */
final class ChatError extends RuntimeException {

    private static final long serialVersionUID = 1L;

    final int status;
    private final String param;
    private final String code;

    ChatError(int status, String message, String param, String code) {
        super(message);
        this.status = status;
        this.param = param;
        this.code = code;
    }

    static ChatError invalid(String message, String param) {
        return new ChatError(400, message, param, "invalid_value");
    }

    /** The error object in a client's format. */
    String json(ApiFormat format) {
        return format == ApiFormat.CHAT
                ? json()
                : ErrorTranslator.encode(format, new ApiError(kind(), getMessage(), Optional.ofNullable(param)))
                        .toString();
    }

    /** The status in a client's format. */
    int status(ApiFormat format) {
        return format == ApiFormat.CHAT ? status : ErrorTranslator.status(format, kind());
    }

    ApiError.Kind kind() {
        return switch (status) {
            case 400 -> "unsupported_parameter".equals(code) ? ApiError.Kind.UNTRANSLATABLE : ApiError.Kind.INVALID;
            case 401 -> ApiError.Kind.AUTHENTICATION;
            case 404 -> ApiError.Kind.NOT_FOUND;
            case 405 -> ApiError.Kind.METHOD;
            case 413 -> ApiError.Kind.TOO_LARGE;
            case 429 -> ApiError.Kind.OVERLOADED;
            case 502 -> ApiError.Kind.SERVER;
            case 504 -> ApiError.Kind.TIMEOUT;
            default -> ApiError.Kind.INTERNAL;
        };
    }

    /** The error object. */
    String json() {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("message", getMessage());
        error.put(
                "type",
                status == 429
                        ? "rate_limit_error"
                        : status >= 500
                                ? "server_error"
                                : status == 401 ? "authentication_error" : "invalid_request_error");
        error.put("param", param);
        error.put("code", code);
        return JsonObject.write(Map.of("error", error));
    }
}
