package dunlinladder.apiformat;

/**
 * The HTTP status codes that have a meaning in the API formats. They are those of RFC 9110 and, for 429, RFC 6585,
 * except 529, which only the messages format defines.
 */
final class HttpStatus {

    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONTENT_TOO_LARGE = 413;
    static final int UNSUPPORTED_MEDIA_TYPE = 415;
    static final int UNPROCESSABLE_CONTENT = 422;
    static final int TOO_MANY_REQUESTS = 429;
    static final int INTERNAL_SERVER_ERROR = 500;
    static final int NOT_IMPLEMENTED = 501;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    static final int OVERLOADED = 529;

    private HttpStatus() {}

    /** Whether a status says that the client's request is at fault (400 to 499). */
    static boolean isClientError(int status) {
        return status >= BAD_REQUEST && status < INTERNAL_SERVER_ERROR;
    }
}
