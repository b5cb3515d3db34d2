package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlinladder.apiformat.ApiError.Kind;
import dunlinladder.apiformat.ErrorTable.ClientError;
import dunlinladder.apiformat.ErrorTable.EngineError;
import java.util.Optional;

/**
 * Translates errors from an engine's format into the neutral {@link ApiError} and from there into a client's format,
 * according to {@link ErrorTable}.
 */
public final class ErrorTranslator {

    /** The consequence of an engine's error for the request. */
    public enum Verdict {
        /** The request was answered. */
        SERVED,
        /** The request never ran, and a retry is harmless. */
        REFUSED,
        /** The request may have run, and has no complete answer. */
        FAILED
    }

    /** The value to pass as the status of an error in the middle of a stream; the error itself has no HTTP status. */
    static final int IN_STREAM = ErrorTable.ANY_STATUS;

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private ErrorTranslator() {}

    /** Returns the HTTP status by which a client's format reports a kind of error. */
    public static int status(ApiFormat to, Kind kind) {
        return ErrorTable.clientError(to, kind).status();
    }

    /**
     * Returns the error object of a body: its field {@code error}, or the body itself if that field is not an object.
     */
    private static JsonNode errorObject(JsonNode body) {
        return body.path("error").isObject() ? body.path("error") : body;
    }

    /**
     * Translates an engine's error into the error for the client.
     *
     * @param status the status of the reply, 0 for an error in the middle of a stream
     * @param body the reply or event that contains the error
     */
    public static ApiError decode(int status, JsonNode body) {
        JsonNode error = errorObject(body);
        EngineError row = ErrorTable.engineError(status, error);
        Kind kind = row.kind() == Kind.NOT_FOUND ? Kind.SERVER : row.kind();
        if (!row.requestAtFault()) {
            // The engine's message may describe its own keys, limits and paths, which must not reach the client.
            return new ApiError(kind, publicMessage(row.kind()), Optional.empty());
        }
        String message = error.path("message").asText("the model's server refused the request");
        return new ApiError(
                kind, message, Optional.ofNullable(error.path("param").asText(null)));
    }

    private static String publicMessage(Kind kind) {
        return switch (kind) {
            case RATE_LIMIT, OVERLOADED -> "no capacity now";
            case TIMEOUT -> "no answer in time";
            default -> "the model's server failed";
        };
    }

    /**
     * Returns the error in the request itself that an engine's reply reports, if it reports one. Only a reply with a
     * status from 400 to 499 can report one. Rate limits, missing models and failures of the engine are not errors in
     * the request.
     */
    public static Optional<ApiError> requestError(int status, String body) {
        JsonNode error = StrictJson.parse(body);
        return HttpStatus.isClientError(status) && isRequestError(status, error)
                ? Optional.of(decode(status, error))
                : Optional.empty();
    }

    /**
     * Whether an engine's error shows that the request itself is at fault, so that no other engine of the format would
     * accept it.
     */
    public static boolean isRequestError(int status, JsonNode body) {
        return ErrorTable.engineError(status, errorObject(body)).requestAtFault();
    }

    /**
     * Whether the status of an engine's reply shows that the engine does not support the format at all: the path does
     * not exist, or the method, the media type or the function is not supported.
     */
    public static boolean isFormatUnsupported(int status) {
        return ErrorTable.engineError(status, MissingNode.getInstance()).kind() == Kind.NOT_FOUND;
    }

    /**
     * Returns the consequence of an engine's error for the request. The request counts as {@link Verdict#REFUSED} only
     * if the engine itself reported that it did not process the request, and nothing was delivered. Every other request
     * may have run and counts as {@link Verdict#FAILED}.
     *
     * @param neverRan whether the engine reported that it did not process the request
     * @param delivered whether a part of the reply was delivered
     */
    public static Verdict verdict(boolean neverRan, boolean delivered) {
        return neverRan && !delivered ? Verdict.REFUSED : Verdict.FAILED;
    }

    /** Returns the body of an error in a client's format. */
    public static ObjectNode encode(ApiFormat to, ApiError error) {
        ClientError row = ErrorTable.clientError(to, error.kind());
        ObjectNode body = JSON.objectNode();
        if (to == ApiFormat.MESSAGES) {
            body.put("type", "error").putObject("error").put("type", row.type()).put("message", error.message());
            return body;
        }
        body.putObject("error")
                .put("message", error.message())
                .put("type", row.type())
                .put("param", error.field().orElse(null))
                .put("code", row.code());
        return body;
    }
}
