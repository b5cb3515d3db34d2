package dunlinladder.apiformat;

/**
 * Why a request was not answered, in no format.
 *
 * @param kind which decides the status, the type and the code in the client's format
 * @param message for the client's people
 * @param field the faulty field, or null
 */
public record ApiError(Kind kind, String message, String field) {

    /** The kinds of faults; each format has a row for each in {@link ErrorTranslator}. */
    public enum Kind {
        /** The request is malformed. */
        INVALID,
        /** The request is in order, but no server that may have it can express a field. */
        UNTRANSLATABLE,
        AUTHENTICATION,
        PERMISSION,
        NOT_FOUND,
        METHOD,
        TOO_LARGE,
        /** The client or its shop is over a limit. */
        RATE_LIMIT,
        /** No room now; it has not run. */
        OVERLOADED,
        /** No answer in time. */
        TIMEOUT,
        /** The content was filtered. */
        FILTERED,
        /** The engine failed; it may have run. */
        SERVER,
        /** The engine's answer can't be understood; it may have run. */
        GARBLED,
        /** The gateway failed. */
        INTERNAL
    }
}
