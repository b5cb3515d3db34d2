package dunlinladder.apiformat;

/** Thrown if a request is malformed, or cannot be expressed in an engine's format. The exception names the field. */
public final class UntranslatableRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final String field;
    private final boolean malformed;

    private UntranslatableRequestException(String field, String message, boolean malformed) {
        super(message);
        this.field = field;
        this.malformed = malformed;
    }

    /** Creates the exception for a field that violates the client's own format. */
    public static UntranslatableRequestException malformed(String field, String message) {
        return new UntranslatableRequestException(field, field + ": " + message, true);
    }

    /** Creates the exception for a valid field that has no counterpart in the engine's format. */
    public static UntranslatableRequestException unsupported(String field, ApiFormat to) {
        return new UntranslatableRequestException(
                field,
                field + " can't be expressed in the format " + to.key() + " that the model's servers speak",
                false);
    }

    /** Returns the field at fault, by its name in the client's format. */
    public String field() {
        return field;
    }

    /** Whether the request itself is malformed. Otherwise it is valid, but the engine's format cannot express it. */
    public boolean isMalformed() {
        return malformed;
    }
}
