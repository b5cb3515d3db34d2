package dunlinladder.apiformat;

import java.util.Optional;

/**
 * The reason why a request was not answered, independent of any API format.
 *
 * @param kind the kind of error, which determines the status, the type and the code in the client's format
 * @param message a text for the developers of the client
 * @param field the faulty field of the request, if the error concerns one
 */
public record ApiError(Kind kind, String message, Optional<String> field) {

    /** The kinds of errors; {@link ErrorTable} has a row for each in each format. */
    public enum Kind {
        /** The request is malformed. */
        INVALID,
        /**
         * The request is valid, but one of its fields cannot be expressed in any format of the engines that may serve
         * it.
         */
        UNTRANSLATABLE,
        /** The client did not authenticate itself. */
        AUTHENTICATION,
        /** The client is not permitted to do this. */
        PERMISSION,
        /** There is no such path or model. */
        NOT_FOUND,
        /** The path does not support this HTTP method. */
        METHOD,
        /** The request exceeds a size limit. */
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
        /** The engine's reply is malformed or incomplete; the request may have run. */
        GARBLED,
        /** The gateway failed. */
        INTERNAL
    }
}
