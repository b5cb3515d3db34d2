package dunlinladder.wire.chat;

import dunlinladder.dialect.Fault;
import dunlinladder.dialect.Faults;
import dunlinladder.dialect.Format;
import dunlinladder.wire.Json;
import java.util.LinkedHashMap;
import java.util.Map;

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
    String json(Format format) {
        return format == Format.CHAT
                ? json()
                : Faults.write(format, new Fault(kind(), getMessage(), param)).toString();
    }

    /** The status in a client's format. */
    int status(Format format) {
        return format == Format.CHAT ? status : Faults.status(format, kind());
    }

    Fault.Kind kind() {
        return switch (status) {
            case 400 -> "unsupported_parameter".equals(code) ? Fault.Kind.UNTRANSLATABLE : Fault.Kind.INVALID;
            case 401 -> Fault.Kind.AUTHENTICATION;
            case 404 -> Fault.Kind.NOT_FOUND;
            case 405 -> Fault.Kind.METHOD;
            case 413 -> Fault.Kind.TOO_LARGE;
            case 429 -> Fault.Kind.OVERLOADED;
            case 502 -> Fault.Kind.SERVER;
            case 504 -> Fault.Kind.TIMEOUT;
            default -> Fault.Kind.INTERNAL;
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
        return Json.write(Map.of("error", error));
    }
}
