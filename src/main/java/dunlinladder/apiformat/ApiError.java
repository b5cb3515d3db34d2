package dunlinladder.apiformat;

import java.util.Optional;

/**
 * Why a request was not answered, independent of any API format.
 *
 * @param kind decides the status, the type and the code in the client's format
 * @param message what the client's developers are to read
 * @param field the faulty field of the request, where the error is of one
 */
public record ApiError(Kind kind, String message, Optional<String> field) {

    /** The kinds of errors; {@link ErrorTable} has a row for each in each format. */
    public enum Kind {
        /** The request is malformed. */
        INVALID,
        /** The request is valid, but no engine that may serve it speaks a format that can express one of its fields. */
        UNTRANSLATABLE,
        /** The client did not say who it is. */
        AUTHENTICATION,
        /** The client may not do this. */
        PERMISSION,
        /** There is no such path or model. */
        NOT_FOUND,
        /** The path does not take this HTTP method. */
        METHOD,
        /** The request exceeds a limit of size. */
        TOO_LARGE,
        /** The client or its tenant is over its rate limit. */
        RATE_LIMIT,
        /** There is no capacity now; the request has not run. */
        OVERLOADED,
        /** There was no answer in time. */
        TIMEOUT,
        /** The content was filtered. */
        FILTERED,
        /** The engine failed; the request may have run. */
        SERVER,
        /** The engine's reply cannot be understood; the request may have run. */
        GARBLED,
        /** The gateway failed. */
        INTERNAL
    }
}
