package dunlinladder.apiformat;

/** A request that is malformed, or that a format cannot express; names the field. */
public final class UntranslatableRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final String field;
    private final boolean malformed;

    private UntranslatableRequestException(String field, String message, boolean malformed) {
        super(message);
        this.field = field;
        this.malformed = malformed;
    }

    /** The field is not what its own format allows. */
    public static UntranslatableRequestException malformed(String field, String message) {
        return new UntranslatableRequestException(field, field + ": " + message, true);
    }

    /** The field is in order, but the other format has nothing like it. */
    public static UntranslatableRequestException lacking(String field, ApiFormat to) {
        return new UntranslatableRequestException(
                field,
                field + " can't be expressed in the format " + to.key() + " that the model's servers speak",
                false);
    }

    /** The faulty field, as its format calls it. */
    public String field() {
        return field;
    }

    /** Whether the request itself is at fault, and not what it is to be turned into. */
    public boolean malformed() {
        return malformed;
    }
}
