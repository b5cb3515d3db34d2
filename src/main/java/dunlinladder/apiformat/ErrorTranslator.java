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
 * Translates errors from an engine's format into the neutral {@link ApiError} and from there into a client's format, as
 * {@link ErrorTable} has them.
 */
public final class ErrorTranslator {

    /** What an engine's error means for the request. */
    public enum Verdict {
        /** The request was answered. */
        SERVED,
        /** The request never ran, and asking again is harmless. */
        REFUSED,
        /** The request may have run, and has no complete answer. */
        FAILED
    }

    /** The status of an error that comes in the middle of a stream, where there is none. */
    static final int IN_STREAM = ErrorTable.ANY_STATUS;

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private ErrorTranslator() {}

    /** The HTTP status that a client's format has for a kind of error. */
    public static int status(ApiFormat to, Kind kind) {
        return ErrorTable.clientError(to, kind).status();
    }

    /** The error object of a body: its {@code error}, or the body itself where that is not an object. */
    private static JsonNode errorObject(JsonNode body) {
        return body.path("error").isObject() ? body.path("error") : body;
    }

    /**
     * What an engine's error is to the client.
     *
     * @param status the status of the reply, 0 for an error in the middle of a stream
     * @param body the reply or event that holds the error
     */
    public static ApiError decode(int status, JsonNode body) {
        JsonNode error = errorObject(body);
        EngineError row = ErrorTable.engineError(status, error);
        Kind kind = row.kind() == Kind.NOT_FOUND ? Kind.SERVER : row.kind();
        if (!row.requestAtFault()) {
            // What an engine says of its own keys, limits and paths must not reach the client.
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
     * The error that an engine's reply finds in the request itself. A rate limit, a missing model or a failure of the
     * engine is none.
     */
    public static Optional<ApiError> requestError(int status, String body) {
        JsonNode error = StrictJson.parse(body);
        return HttpStatus.isClientError(status) && isRequestError(status, error)
                ? Optional.of(decode(status, error))
                : Optional.empty();
    }

    /** Whether the request itself is at fault, so that no other engine of the format would accept it. */
    public static boolean isRequestError(int status, JsonNode body) {
        return ErrorTable.engineError(status, errorObject(body)).requestAtFault();
    }

    /**
     * Whether the status of an engine's reply shows that it does not speak the format at all: nothing at that path, no
     * such method, media type or function.
     */
    public static boolean isFormatUnsupported(int status) {
        return ErrorTable.engineError(status, MissingNode.getInstance()).kind() == Kind.NOT_FOUND;
    }

    /**
     * What an engine's error means for the request. Only the engine's own word that it did not process a request makes
     * it {@link Verdict#REFUSED}, and only while nothing was delivered; all else may have run and has failed.
     */
    public static Verdict verdict(boolean neverRan, boolean delivered) {
        return neverRan && !delivered ? Verdict.REFUSED : Verdict.FAILED;
    }

    /** The body of an error in a client's format. */
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
