package dunlinladder.apiformat;

/**
 * Estimates from a JSON text how much heap its translation takes at a time: the parsed text, the neutral model and the
 * translated form. Many small values take far more heap than their text. The estimate reads the text once, keeps
 * nothing and does not check the syntax.
 */
public final class JsonFootprint {

    /** Heap for an object or an array in all forms that exist at a time, in bytes. */
    private static final long BYTES_PER_CONTAINER = 500;
    /** Heap for an element of an array or a field of an object in all forms, in bytes. */
    private static final long BYTES_PER_ELEMENT = 60;
    /** Heap for a string in all forms, without its characters, in bytes. */
    private static final long BYTES_PER_STRING = 150;
    /**
     * Heap for one byte of the text in all forms and copies; a string outside of Latin-1 takes two bytes a character.
     */
    private static final long BYTES_PER_TEXT_BYTE = 12;

    private JsonFootprint() {}

    /** Returns the estimate for a text in UTF-8, in bytes. */
    public static long estimate(byte[] text) {
        long containers = 0;
        long elements = 1;
        long quotes = 0;
        boolean quoted = false;
        for (int index = 0; index < text.length; index++) {
            byte character = text[index];
            if (character == '"') {
                quoted = !quoted;
                quotes++;
            } else if (quoted) {
                // Skips the character behind a backslash, which may be a quote.
                index += character == '\\' ? 1 : 0;
            } else if (character == '{' || character == '[') {
                containers++;
            } else if (character == ',') {
                elements++;
            }
        }
        return containers * BYTES_PER_CONTAINER
                + (containers + elements) * BYTES_PER_ELEMENT
                + quotes / 2 * BYTES_PER_STRING
                + text.length * BYTES_PER_TEXT_BYTE;
    }
}
