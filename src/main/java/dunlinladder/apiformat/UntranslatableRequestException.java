package dunlinladder.apiformat;

/** A request is malformed, or cannot be expressed in an engine's format; the exception names the field. */
public final class UntranslatableRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final String field;
    private final boolean malformed;

    private UntranslatableRequestException(String field, String message, boolean malformed) {
        super(message);
        this.field = field;
        this.malformed = malformed;
    }

    /** The field is not what the client's own format allows. */
    public static UntranslatableRequestException malformed(String field, String message) {
        return new UntranslatableRequestException(field, field + ": " + message, true);
    }

    /** The field is valid, but the engine's format has nothing that corresponds to it. */
    public static UntranslatableRequestException unsupported(String field, ApiFormat to) {
        return new UntranslatableRequestException(
                field,
                field + " can't be expressed in the format " + to.key() + " that the model's servers speak",
                false);
    }

    /** The field at fault, as the client's format calls it. */
    public String field() {
        return field;
    }

    /** Whether the request itself is at fault, rather than the format that it is to be translated into. */
    public boolean malformed() {
        return malformed;
    }
}
